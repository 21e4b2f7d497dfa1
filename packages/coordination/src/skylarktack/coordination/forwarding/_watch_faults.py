"""Failed calls of the task that follows one kind of store objects.

A watch that ends without a response shows nothing of the store: the store may
cut off a watch that waits, or leave it without a response, while it serves
other calls. The next call is then a check, which does not wait. An outage is
only recorded if a call that does not wait fails.
"""

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _shared_watch
from skylarktack.coordination.forwarding import _store_events
from skylarktack.coordination.forwarding import _store_health
from skylarktack.coordination.forwarding import _store_outage
from skylarktack.coordination.forwarding import _watch_ports
from skylarktack.coordination.ports import Clock

#: Wait of a watch that only fetches missing changes. It is so short that the
#: watch counts as a call that does not wait.
CATCH_UP_WAIT_S = 0.05


class WatchFaults:
    """Decides what the failed calls for one kind show, and what is due."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        settings: _watch_ports.WatchSettings,
        health: _store_health.StoreHealth,
        shared_watch: _shared_watch.SharedWatch | None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._settings = settings
        self._health = health
        self._shared_watch = shared_watch
        #: Monotonic time of the first failure since the last success.
        self._failing_since_s: float | None = None
        self._is_outage_logged = False
        self._must_check = False
        self._must_list = False

    @property
    def must_check(self) -> bool:
        """Return whether to check that the store responds.

        It need not be checked once it has responded to another task.
        """
        return self._must_check and not self._has_responded()

    @property
    def must_list(self) -> bool:
        """Return whether the changes have to be read as a list."""
        return self._must_list

    def record_watch_fault(
        self, fault: _watch_ports.StoreFault, asked_at_s: float, wait_s: float
    ) -> None:
        """Record that a watch failed.

        :param asked_at_s: monotonic time at which it was sent.
        :param wait_s: time after which the store had to respond.
        """
        is_timeout = fault.kind is _watch_ports.StoreFaultKind.TIMED_OUT
        now_s = self._clock.monotonic_s()
        # A connection that ended was in order before, unless the response
        # was already due.
        since_s = now_s
        if is_timeout or now_s >= asked_at_s + wait_s:
            since_s = asked_at_s
        shows_outage = wait_s <= CATCH_UP_WAIT_S or self._takes_turns()
        self._record(
            fault,
            _store_outage.CallFailure(since_s, shows_outage),
            _store_health.MAX_RETRY_DELAY_S,
        )
        if fault.kind is not _watch_ports.StoreFaultKind.UNREADABLE:
            self._require_list_if_due(is_timeout)
        # A list does not wait either.
        self._must_check = not shows_outage and not self._must_list

    def record_call_fault(
        self,
        fault: _watch_ports.StoreFault,
        asked_at_s: float,
        max_delay_s: float = _store_health.MAX_RETRY_DELAY_S,
    ) -> None:
        """Record that a call that does not wait failed.

        :param asked_at_s: monotonic time at which it was sent.
        :param max_delay_s: upper limit of the delay before the next call.
        """
        self._must_check = False
        self._record(
            fault,
            _store_outage.CallFailure(asked_at_s, shows_outage=True),
            max_delay_s,
        )

    def record_check(self) -> None:
        """Record that the store responded to a check."""
        self._must_check = False
        self._health.record_response()

    def record_success(self) -> bool:
        """Record a list or a watch; return whether entries may have expired.

        They may if the calls before failed in an outage.
        """
        failing_since_s = self._failing_since_s
        after_outage = (
            failing_since_s is not None
            and self._health.may_have_expired(failing_since_s)
        )
        self._record_recovery()
        self._health.record_response()
        return after_outage

    def record_forwarded(self) -> None:
        """Record that peers reach the store and no change is missing."""
        self._health.record_peer_response()
        self._record_recovery()

    def _record_recovery(self) -> None:
        """Record that the cached objects are up to date again."""
        self._must_check = False
        self._must_list = False
        if self._failing_since_s is None:
            return
        outage_s = self._clock.monotonic_s() - self._failing_since_s
        self._failing_since_s = None
        if not self._is_outage_logged:
            return
        self._is_outage_logged = False
        self._log.record(
            _store_events.StoreRecovered(
                self._settings.name, round(outage_s * 1000)
            )
        )

    def _record(
        self,
        fault: _watch_ports.StoreFault,
        failure: _store_outage.CallFailure,
        max_delay_s: float,
    ) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
            if not failure.shows_outage:
                self._log.record(
                    _store_events.WatchEnded(self._settings.name, fault.detail)
                )
        if failure.shows_outage and not self._is_outage_logged:
            self._is_outage_logged = True
            self._log.record(
                _store_events.StoreUnavailable(
                    self._settings.name, fault.detail
                )
            )
        self._health.record_fault(self._settings.name, max_delay_s, failure)

    def _require_list_if_due(self, is_timeout: bool) -> None:
        """List next if a watch cannot return the changes.

        They may be too long to be sent in time, or the store may cut off each
        watch.
        """
        if self._must_list or self._failing_since_s is None:
            return
        # Peers that receive forwarded changes would all have to ask the store
        # after a list, so a large fleet needs a sign that the store is not
        # just unavailable, and does not list for a refused watch.
        is_shared = (
            self._shared_watch is not None and self._shared_watch.is_shared()
        )
        if is_shared and not is_timeout:
            return
        may_list_at_once = (
            self._settings.is_list_shorter and is_timeout and not is_shared
        )
        if not may_list_at_once and not self._has_responded():
            return
        self._must_list = True
        self._log.record(_store_events.WatchNotAnswered(self._settings.name))

    def _has_responded(self) -> bool:
        """Return whether the store responded after the first failure."""
        return (
            self._failing_since_s is not None
            and self._health.has_responded_since(self._failing_since_s)
        )

    def _takes_turns(self) -> bool:
        """Return whether no peer reports responses of the store.

        An instance of a large fleet then asks too rarely for a check.
        """
        return self._shared_watch is not None and (
            self._shared_watch.takes_turns(self._settings.name)
        )
