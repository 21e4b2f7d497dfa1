"""What this instance has to tell the others, until it is told."""

import threading

from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data


class OutgoingChanges:
    """Runs that changed, and targets that were found lost or gone.

    Its owner serialises all calls but the waits, which one task makes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._runs: list[data.RunStatus] = []
        self._lost_targets: list[str] = []
        self._gone_targets: list[str] = []
        self._has_changes = threading.Event()
        # Set by what others should know at once.
        self._has_news = threading.Event()

    def add_run(self, notice: data.RunStatus) -> None:
        """Add a run that began, went on or ended."""
        self._runs.append(notice)
        if notice.is_prefilling and not notice.has_ended:
            self._has_news.set()
        self._has_changes.set()

    def add_lost_target(self, name: str) -> None:
        """Add a target that was found lost."""
        self._lost_targets.append(name)
        self._has_news.set()
        self._has_changes.set()

    def add_gone_target(self, name: str) -> None:
        """Add a target whose address has another one by now."""
        self._gone_targets.append(name)
        self._has_news.set()
        self._has_changes.set()

    def wake(self) -> None:
        """Let the task that reports look again."""
        self._has_changes.set()

    def is_empty(self) -> bool:
        """Return whether nothing changed."""
        return not (self._runs or self._lost_targets or self._gone_targets)

    def take_runs(self) -> tuple[data.RunStatus, ...]:
        """Return and forget the runs."""
        runs = tuple(self._runs)
        self._runs.clear()
        return runs

    def take_lost_targets(self) -> tuple[str, ...]:
        """Return and forget the targets that were found lost."""
        names = tuple(self._lost_targets)
        self._lost_targets.clear()
        return names

    def take_gone_targets(self) -> tuple[str, ...]:
        """Return and forget the targets whose address has another one."""
        names = tuple(self._gone_targets)
        self._gone_targets.clear()
        return names

    def wait_for_changes(self, timeout_s: float) -> bool:
        """Wait until there is something to tell; return whether so."""
        has_changes = self._clock.wait(self._has_changes, timeout_s)
        self._has_changes.clear()
        return has_changes

    def wait_for_news(self, timeout_s: float) -> None:
        """Wait until there is something that others should know at once."""
        self._clock.wait(self._has_news, timeout_s)
        self._has_news.clear()
