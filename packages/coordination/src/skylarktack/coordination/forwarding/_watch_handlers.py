"""Handlers that apply lists and watch events to the local caches."""

import dataclasses
import threading

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _front_limits
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _routes
from skylarktack.coordination.forwarding import _suspensions
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time for which the version that a peer reported counts. Peers
#: repeat it with each report, at least every 17 s in a fleet of 340.
PEER_VERSION_LIFETIME_S = 30.0


@dataclasses.dataclass(frozen=True)
class _Confirmation:
    """The store confirmed that the active configuration is the newest."""

    #: Monotonic time from which on the confirmation was awaited.
    asked_at_s: float

    #: Monotonic time until which it is valid.
    until_s: float


class ConfigurationHolder:
    """Holds the newest configuration; older versions are ignored.

    Rejecting a request for an unknown route or key is only correct while
    the configuration is known to be current, so the holder also records
    until when the last confirmation by the store is valid.
    """

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        suspensions: _suspensions.Suspensions,
        lag_s: float,
        peer_wait_s: float,
        fitting_body_bytes: int | None = None,
    ) -> None:
        """Create a holder without a configuration.

        :param lag_s: maximum time for which this instance may not know a
            configuration that is active elsewhere.
        :param peer_wait_s: time within which the peers report their versions
            after the start and after a suspension; 0 without peers.
        :param fitting_body_bytes: largest request body for which the instance
            has memory, or None if it is not bounded.
        """
        self.limits = _front_limits.FrontLimitHistory(clock, lag_s)
        self._clock = clock
        self._log = log
        self._suspensions = suspensions
        self._fitting_body_bytes = fitting_body_bytes
        self._lock = threading.Lock()
        self._table: _routes.RouteTable | None = None
        self._confirmation: _Confirmation | None = None
        self._peer_version = 0
        self._peer_version_until_s = 0.0
        self._peer_wait_s = peer_wait_s
        self._started_at_s = clock.monotonic_s()
        self.is_synced = threading.Event()

    @property
    def table(self) -> _routes.RouteTable | None:
        """Return the active routes, or None before the first version."""
        return self._table

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first."""
        return 0 if self._table is None else self._table.configuration.version

    def record_peer_version(self, version: int) -> None:
        """Record the active version of a peer.

        A store that was restored from a copy confirms an older one until the
        operator has written the newest again.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_expired = now_s >= self._peer_version_until_s
            if version < self._peer_version and not is_expired:
                return
            self._peer_version = version
            self._peer_version_until_s = now_s + PEER_VERSION_LIFETIME_S

    def replace_if_newer(
        self, configuration: data.ForwardingConfiguration
    ) -> None:
        """Activate a configuration if it is newer than the active one."""
        with self._lock:
            current = self._table
            if current is not None:
                current_version = current.configuration.version
                if configuration.version <= current_version:
                    return
            self._table = _routes.RouteTable(configuration)
            has_new_limits = self.limits.replace(configuration.limits)
        self.is_synced.set()
        if has_new_limits:
            self._log.record(_limits_changed(configuration))
            self._check_body_limit(configuration)
        self._log.record(
            _events.ConfigurationApplied(
                configuration.version, len(configuration.routes)
            )
        )

    def _check_body_limit(
        self, configuration: data.ForwardingConfiguration
    ) -> None:
        """Log a body limit for which the instance has no memory.

        The configuration is in force all the same: other instances have
        applied it, and shorter bodies can be served.
        """
        fitting_bytes = self._fitting_body_bytes
        max_body_bytes = configuration.limits.max_body_bytes
        if fitting_bytes is None or max_body_bytes <= fitting_bytes:
            return
        self._log.record(
            _events.BodyLimitExceedsMemory(
                configuration.version,
                max_body_bytes,
                fitting_bytes,
                data.needed_memory_bytes(max_body_bytes),
            )
        )

    def confirm(self, asked_at_s: float, validity_s: float) -> bool:
        """Record that the store confirmed the active configuration.

        :param asked_at_s: monotonic time from which on the confirmation was
            awaited.
        :param validity_s: time for which the confirmation is valid.
        :return: whether it counts; see ``is_current``.
        """
        self._confirmation = _Confirmation(
            asked_at_s, self._clock.monotonic_s() + validity_s
        )
        return asked_at_s >= self._suspensions.running_since_s()

    def mark_stale(self) -> None:
        """Withdraw the confirmation because a call to the store failed."""
        self._confirmation = None

    def is_current(self) -> bool:
        """Return whether the active configuration is known to be the newest.

        It is not after the confirmation has expired, before the reports of
        the peers are due, or while a peer reports a newer version. Reports
        that arrived during a suspension may have been dropped unread. A
        confirmation that was awaited while the process was suspended may
        have been sent before changes that are active elsewhere.
        """
        confirmation = self._confirmation
        if confirmation is None:
            return False
        running_since_s = self._suspensions.running_since_s()
        if confirmation.asked_at_s < running_since_s:
            return False
        now_s = self._clock.monotonic_s()
        listening_since_s = max(self._started_at_s, running_since_s)
        if now_s < listening_since_s + self._peer_wait_s:
            return False
        with self._lock:
            is_behind = self.version < self._peer_version
            if is_behind and now_s < self._peer_version_until_s:
                return False
        return now_s < confirmation.until_s


def _limits_changed(
    configuration: data.ForwardingConfiguration,
) -> _events.FrontLimitsChanged:
    limits = configuration.limits
    return _events.FrontLimitsChanged(
        configuration.version,
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    )


class ConfigurationWatchHandler:
    """Activates configurations as the store reports them."""

    def __init__(self, holder: ConfigurationHolder, validity_s: float) -> None:
        self._holder = holder
        self._validity_s = validity_s

    def replace(
        self,
        items: tuple[data.ForwardingConfiguration, ...],
        after_outage: bool,
    ) -> None:
        """Activate the newest configuration of a complete list."""
        self.apply(items, after_outage)

    def apply(
        self,
        items: tuple[data.ForwardingConfiguration, ...],
        after_outage: bool,
    ) -> None:
        """Activate each configuration that is newer."""
        for configuration in items:
            self._holder.replace_if_newer(configuration)

    def record_restore(self) -> None:
        """Record that the configuration may be out of date."""
        self._holder.mark_stale()

    def confirm(self, asked_at_s: float) -> bool:
        """Record that the store confirmed the configuration."""
        return self._holder.confirm(asked_at_s, self._validity_s)

    def mark_stale(self) -> None:
        """Record that the configuration may be out of date."""
        self._holder.mark_stale()


class TargetWatchHandler:
    """Updates the table of targets as the store reports them."""

    def __init__(self, targets: _targets.TargetTable) -> None:
        self._targets = targets

    def replace(
        self, items: tuple[data.TargetChange, ...], after_outage: bool
    ) -> None:
        """Replace the table by a complete list."""
        listed = []
        for item in items:
            if item.target is not None:
                listed.append(item.target)
        self._targets.replace(tuple(listed), after_outage)

    def apply(
        self, items: tuple[data.TargetChange, ...], after_outage: bool
    ) -> None:
        """Apply changes, keeping entries that expired in an outage."""
        if after_outage:
            self._targets.keep_expired()
        for item in items:
            self._targets.apply(item)

    def record_restore(self) -> None:
        """Record that entries may be missing or older than the known ones."""
        self._targets.record_restore()

    def confirm(self, asked_at_s: float) -> bool:
        """Record that all changes so far were applied; always counts."""
        self._targets.confirm()
        return True

    def mark_stale(self) -> None:
        """Do nothing; the last known targets are used at any age."""


class MoveWatchHandler:
    """Updates the table of moves as the store reports them."""

    def __init__(self, table: _moves.MoveTable) -> None:
        self._table = table

    def replace(
        self, items: tuple[data.MoveChange, ...], after_outage: bool
    ) -> None:
        """Replace the table by a complete list."""
        self._table.replace(items)

    def apply(
        self, items: tuple[data.MoveChange, ...], after_outage: bool
    ) -> None:
        """Apply changes."""
        for item in items:
            self._table.apply(item)

    def record_restore(self) -> None:
        """Record that the next list may lack orders and phases."""
        self._table.record_restore()

    def confirm(self, asked_at_s: float) -> bool:
        """Record that all current moves are known; always counts."""
        self._table.is_synced.set()
        return True

    def mark_stale(self) -> None:
        """Do nothing; a move continues in its last recorded phase."""
