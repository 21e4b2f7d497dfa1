"""List-then-watch loop that keeps one kind of store objects up to date."""

import random
import threading
from typing import Generic
from typing import TypeVar

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _restore_pause
from skylarktack.coordination.forwarding import _shared_watch
from skylarktack.coordination.forwarding import _store_era
from skylarktack.coordination.forwarding import _store_events
from skylarktack.coordination.forwarding import _store_health
from skylarktack.coordination.forwarding import _watch_faults
from skylarktack.coordination.forwarding import _watch_ports
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

T = TypeVar('T')

#: Interval at which an instance that relies on forwarded changes checks
#: whether it may still do so.
ROLE_CHECK_INTERVAL_S = 0.2

#: An instance that relies on forwarded changes and has been missing one for
#: this time asks the store.
MISSING_CHANGE_TIMEOUT_S = 0.3

#: A wait for a forwarded change that takes longer than this beyond its timeout
#: shows that the process was suspended. Heartbeats that arrived meanwhile may
#: be as old.
MAX_WAIT_EXCESS_S = 2.0

#: After a restore the instances that rely on forwarded changes list at random
#: within this time for each instance, so that the store's rate limit is kept.
MAX_LIST_DELAY_PER_INSTANCE_S = 0.002

#: Interval at which a task checks whether it may ask the store.
CALL_CHECK_INTERVAL_S = 0.05


class StoreWatcher(Generic[T]):
    """Keeps one kind of objects up to date; runs as a task of its own.

    In a large fleet it relies on the changes that a few watching instances
    forward, and asks the store only when it has to.
    """

    def __init__(
        self,
        clock: Clock,
        source: _watch_ports.WatchSource[T],
        handler: _watch_ports.WatchHandler[T],
        log: _events.EventLog,
        settings: _watch_ports.WatchSettings,
        health: _store_health.StoreHealth,
        era: _store_era.StoreEra,
        shared_watch: _shared_watch.SharedWatch | None = None,
    ) -> None:
        self._clock = clock
        self._source = source
        self._handler = handler
        self._log = log
        self._settings = settings
        self._health = health
        self._era = era
        self._shared_watch = shared_watch
        self._receives_changes = False
        self._last_change_revision = 0
        self._behind_since_s: float | None = None
        self._stopped = threading.Event()
        self._faults = _watch_faults.WatchFaults(
            clock, log, settings, health, shared_watch
        )
        #: Era of the cached objects, or of the restored store that is about to
        #: be listed; None before the first list.
        self._known_era: int | None = None
        self._follows_restore = False
        self._restore_pause = _restore_pause.RestorePause(clock)
        self._must_catch_up = False

    def stop(self) -> None:
        """Make the task end after its current call."""
        self._stopped.set()

    def run(self) -> None:
        """List and watch the kind until stopped."""
        position: data.StorePosition | None = None
        while not self._stopped.is_set():
            if self._is_restored(self._era.current):
                self._record_restore(self._era.current)
                self._restore_pause.wait(self._stopped)
                self._wait_to_list()
                # The next list is also that of a restore during the wait.
                self._known_era = self._era.current
                position = None
                continue
            if position is not None and not self._asks_store():
                position = self._receive_changes(position)
                continue
            if not self._health.claim_call(self._settings.name):
                position = self._wait_to_ask(position)
                continue
            if position is None:
                position = self._list()
                continue
            if self._shared_watch is not None:
                self._shared_watch.record_call()
            if self._faults.must_check:
                self._check()
                continue
            if self._must_catch_up:
                position = self._catch_up(position)
                continue
            position = self._watch(position, self._watch_wait_s())

    def _is_restored(self, era: int) -> bool:
        """Return whether the cached objects were listed before a restore."""
        return self._known_era is not None and era != self._known_era

    def _record_restore(self, era: int) -> None:
        """Record that the next list is that of a restored store."""
        self._known_era = era
        self._follows_restore = True
        self._handler.record_restore()

    def _wait_to_list(self) -> None:
        """Wait, so that not all instances of the fleet ask at once."""
        if self._shared_watch is None or not self._receives_changes:
            return
        max_wait_s = MAX_LIST_DELAY_PER_INSTANCE_S * (
            self._shared_watch.instance_count()
        )
        self._clock.wait(self._stopped, max_wait_s * random.random())

    def _asks_store(self) -> bool:
        """Return whether to ask the store rather than rely on peers."""
        if self._shared_watch is None:
            return True
        role = self._shared_watch.role(self._settings.name)
        receives_changes = role is _shared_watch.WatchRole.RECEIVE
        if receives_changes != self._receives_changes:
            self._receives_changes = receives_changes
            self._log.record(
                _store_events.WatchRoleChanged(
                    self._settings.name, receives_changes
                )
            )
        return role is _shared_watch.WatchRole.WATCH

    def _watch_wait_s(self) -> float:
        if self._shared_watch is None:
            return self._settings.watch_wait_s
        return self._shared_watch.watch_wait_s(
            self._settings.name, self._settings.watch_wait_s
        )

    def _watch_pause_s(self) -> float:
        if self._shared_watch is None:
            return self._settings.watch_pause_s
        return self._shared_watch.watch_pause_s(
            self._settings.name, self._settings.watch_pause_s
        )

    def _receive_changes(
        self, position: data.StorePosition
    ) -> data.StorePosition | None:
        """Apply changes that peers forward; watch if one stays missing.

        :return: position up to which all changes are known.
        """
        if self._shared_watch is None:
            raise AssertionError(
                'forwarded changes require a watch that the fleet shares'
            )
        name = self._settings.name
        step_s = (
            ROLE_CHECK_INTERVAL_S
            if self._receives_changes
            else CALL_CHECK_INTERVAL_S
        )
        asked_at_s = self._awaited_since_s()
        end_s = self._clock.monotonic_s() + step_s
        change = self._shared_watch.next_change(name, step_s)
        if self._clock.monotonic_s() > end_s + MAX_WAIT_EXCESS_S:
            self._handler.mark_stale()
            self._wait_to_list()
            if self._health.claim_call(name):
                return self._catch_up(position)
        if change is not None:
            return self._apply_forwarded_change(change, position, asked_at_s)
        reported = self._shared_watch.reported(name)
        if reported is None:
            return position
        if reported.era > position.era:
            self._handler.mark_stale()
            self._wait_to_list()
            return None
        if reported.position <= position:
            self._record_up_to_date(asked_at_s)
            return position
        now_s = self._clock.monotonic_s()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if now_s - self._behind_since_s < MISSING_CHANGE_TIMEOUT_S:
            return position
        if not self._health.claim_call(name):
            return position
        self._behind_since_s = None
        return self._catch_up(position)

    def _wait_to_ask(
        self, position: data.StorePosition | None
    ) -> data.StorePosition | None:
        """Wait until it may ask the store; apply forwarded changes."""
        if self._shared_watch is None or position is None:
            self._clock.wait(self._stopped, CALL_CHECK_INTERVAL_S)
            return position
        asked_at_s = self._awaited_since_s()
        change = self._shared_watch.next_change(
            self._settings.name, CALL_CHECK_INTERVAL_S
        )
        if change is None:
            return position
        return self._apply_forwarded_change(change, position, asked_at_s)

    def _awaited_since_s(self) -> float:
        """Return from when on messages of peers that count now were awaited.

        A heartbeat may have been read this long ago, and may have waited in
        the socket of a suspended process before.
        """
        return self._clock.monotonic_s() - _shared_watch.HEARTBEAT_LIFETIME_S

    def _apply_forwarded_change(
        self,
        change: data.StoreChange,
        position: data.StorePosition,
        asked_at_s: float,
    ) -> data.StorePosition:
        """Apply a change that a peer forwarded, unless there is a gap.

        :param asked_at_s: monotonic time from which on a change was awaited.
        :return: position up to which all changes are known.
        """
        if change.era != position.era:
            return position
        if not (
            change.previous_revision <= position.revision < change.revision
        ):
            return position
        decoded = self._source.decode_changes(change.content, change.era)
        if not isinstance(decoded, _watch_ports.Changes):
            return position
        self._handler.apply(decoded.items, change.follows_outage)
        self._last_change_revision = change.revision
        self._record_up_to_date(asked_at_s)
        return data.StorePosition(position.era, change.revision)

    def _record_up_to_date(self, asked_at_s: float) -> None:
        """Record that peers reach the store and no change is missing."""
        self._behind_since_s = None
        self._must_catch_up = False
        self._handler.confirm(asked_at_s)
        self._faults.record_forwarded()

    def _check(self) -> None:
        """Ask whether the store responds to a call that does not wait."""
        asked_at_s = self._clock.monotonic_s()
        fault = self._source.check()
        if fault is not None:
            self._faults.record_call_fault(fault, asked_at_s)
            return
        self._faults.record_check()

    def _catch_up(
        self, position: data.StorePosition
    ) -> data.StorePosition | None:
        """Fetch missing changes by a watch, or by a list if it is due."""
        if not self._faults.must_list:
            return self._watch(position, _watch_faults.CATCH_UP_WAIT_S)
        listed = self._list()
        # Without a list, changes that peers forward can still be applied.
        return position if listed is None else listed

    def _list(self) -> data.StorePosition | None:
        # When many instances start together, current lists would wait for
        # the store's rate limit, which stale reads do not count against.
        # The next watch fetches the changes that a stale list lacks.
        may_be_stale = self._known_era is None
        asked_at_s = self._clock.monotonic_s()
        result = self._source.list_all(may_be_stale)
        if isinstance(result, _watch_ports.StoreFault):
            self._handler.mark_stale()
            max_delay_s = _store_health.MAX_RETRY_DELAY_S
            if self._known_era is None:
                max_delay_s = _store_health.MAX_FIRST_RETRY_DELAY_S
            self._faults.record_call_fault(result, asked_at_s, max_delay_s)
            return None
        after_outage = self._faults.record_success()
        if self._is_restored(result.era):
            self._record_restore(result.era)
        is_first = self._known_era is None
        self._handler.replace(
            result.items,
            self._follows_restore or (after_outage and not is_first),
        )
        self._known_era = result.era
        self._follows_restore = False
        self._last_change_revision = result.revision
        self._must_catch_up = may_be_stale
        if not may_be_stale:
            self._must_catch_up = not self._handler.confirm(asked_at_s)
            self._record_response(result.era)
        return result.position

    def _watch(
        self, position: data.StorePosition, wait_s: float
    ) -> data.StorePosition | None:
        asked_at_s = self._clock.monotonic_s()
        result = self._source.watch(position.revision, wait_s)
        if isinstance(result, _watch_ports.StoreFault):
            if result.kind is _watch_ports.StoreFaultKind.REVISION_COMPACTED:
                self._health.record_response()
                self._log.record(
                    _store_events.WatchRevisionCompacted(self._settings.name)
                )
                return None
            self._handler.mark_stale()
            self._faults.record_watch_fault(result, asked_at_s, wait_s)
            self._must_catch_up = True
            if result.kind is _watch_ports.StoreFaultKind.UNREADABLE:
                self._log.record(
                    _store_events.WatchUnreadable(
                        self._settings.name, result.detail
                    )
                )
                return None
            return position
        after_outage = self._faults.record_success()
        if result.era != position.era:
            # The changes of another history, or only a part of them.
            return position
        self._handler.apply(result.items, after_outage)
        self._must_catch_up = not self._handler.confirm(asked_at_s)
        if result.items:
            self._publish(result, after_outage)
            self._last_change_revision = result.revision
        self._record_response(result.era)
        watch_pause_s = self._watch_pause_s()
        if result.items and watch_pause_s > 0:
            self._clock.wait(self._stopped, watch_pause_s)
        return result.position

    def _publish(
        self, result: _watch_ports.Changes[T], after_outage: bool
    ) -> None:
        if self._shared_watch is None:
            return
        self._shared_watch.publish(
            data.StoreChange(
                self._settings.name,
                self._last_change_revision,
                result.revision,
                result.content,
                follows_outage=after_outage,
                era=result.era,
            )
        )

    def _record_response(self, era: int) -> None:
        if self._shared_watch is not None:
            self._shared_watch.record_response(
                data.ConfirmedKind(
                    self._settings.name, self._last_change_revision, era
                )
            )
