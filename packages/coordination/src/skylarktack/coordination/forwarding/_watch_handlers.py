"""What the instance believes of what the store tells, and its age."""

import threading

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _moves
from skylarktack.coordination.forwarding import _routes
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data


class ConfigurationHolder:
    """Holds the newest configuration; it never goes back.

    A refusal for an unknown route or key is only true while the
    configuration is known to be current, so the holder also remembers when
    the store last confirmed it.
    """

    def __init__(self, clock: Clock, log: _events.EventLog) -> None:
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._table: _routes.RouteTable | None = None
        self._confirmed_until_s = 0.0
        self.is_synced = threading.Event()

    @property
    def table(self) -> _routes.RouteTable | None:
        """Return the configuration in force, or None before the first."""
        return self._table

    def replace_if_newer(
        self, configuration: data.ForwardingConfiguration
    ) -> None:
        """Put a configuration in force unless it is older."""
        with self._lock:
            current = self._table
            if current is not None:
                held = current.configuration.version
                if configuration.version <= held:
                    return
            self._table = _routes.RouteTable(configuration)
        self.is_synced.set()
        self._log.record(
            _events.ConfigurationInForce(
                configuration.version, len(configuration.routes)
            )
        )

    def confirm(self, validity_s: float) -> None:
        """Note that the store just confirmed the held configuration.

        :param validity_s: time until the next confirmation is overdue.
        """
        self._confirmed_until_s = self._clock.monotonic_s() + validity_s

    def mark_stale(self) -> None:
        """Note that the store could not be asked."""
        self._confirmed_until_s = 0.0

    def is_current(self) -> bool:
        """Return whether the store confirmed the configuration lately."""
        return self._clock.monotonic_s() < self._confirmed_until_s


class ConfigurationWatchHandler:
    """Puts configurations in force as the store tells them."""

    def __init__(self, holder: ConfigurationHolder, validity_s: float) -> None:
        self._holder = holder
        self._validity_s = validity_s

    def replace(
        self,
        items: tuple[data.ForwardingConfiguration, ...],
        after_outage: bool,
    ) -> None:
        """Take over a whole list."""
        self.apply(items, after_outage)

    def apply(
        self,
        items: tuple[data.ForwardingConfiguration, ...],
        after_outage: bool,
    ) -> None:
        """Take over changes."""
        for configuration in items:
            self._holder.replace_if_newer(configuration)

    def confirm(self) -> None:
        """Note that the store just answered."""
        self._holder.confirm(self._validity_s)

    def mark_stale(self) -> None:
        """Note that the store could not be asked."""
        self._holder.mark_stale()


class TargetWatchHandler:
    """Keeps the table of targets as the store tells them."""

    def __init__(self, targets: _targets.TargetTable) -> None:
        self._targets = targets

    def replace(
        self, items: tuple[data.TargetChange, ...], after_outage: bool
    ) -> None:
        """Take over a whole list."""
        listed = []
        for item in items:
            if item.target is not None:
                listed.append(item.target)
        self._targets.replace(tuple(listed), after_outage)

    def apply(
        self, items: tuple[data.TargetChange, ...], after_outage: bool
    ) -> None:
        """Take over changes."""
        if after_outage:
            self._targets.await_lapsed()
        for item in items:
            self._targets.apply(item)

    def confirm(self) -> None:
        """Do nothing; targets are used as they were last listed."""

    def mark_stale(self) -> None:
        """Do nothing; targets are used as they were last listed."""


class MoveWatchHandler:
    """Keeps the table of moves as the store tells them."""

    def __init__(self, table: _moves.MoveTable) -> None:
        self._table = table

    def replace(
        self, items: tuple[data.MoveChange, ...], after_outage: bool
    ) -> None:
        """Take over a whole list."""
        self._table.replace(items)

    def apply(
        self, items: tuple[data.MoveChange, ...], after_outage: bool
    ) -> None:
        """Take over changes."""
        for item in items:
            self._table.apply(item)

    def confirm(self) -> None:
        """Note that no newer order is missing."""
        self._table.is_synced.set()

    def mark_stale(self) -> None:
        """Do nothing; a move goes on as it was last recorded."""
