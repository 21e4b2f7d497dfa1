"""Changes of this instance that have not been reported to its peers yet."""

import threading

from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data


class OutgoingChanges:
    """Runs that changed, and targets that failed or lost their address.

    The owner serialises all calls except the waits, which one task makes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._runs: list[data.RunStatus] = []
        self._failed_targets: list[str] = []
        self._replaced_targets: list[str] = []
        self._leaving_targets: list[data.LeavingTarget] = []
        self._has_prompt_evidence = False
        self._has_observations = False
        self._has_demands = False
        self._has_changes = threading.Event()
        # Set by changes that the peers need at once.
        self._has_urgent_changes = threading.Event()

    def add_run(self, run: data.RunStatus) -> None:
        """Add a run that began, changed or ended; a new one is urgent."""
        self._runs.append(run)
        if run.is_prefilling and not run.has_ended:
            self._has_urgent_changes.set()
        self._has_changes.set()

    def add_failed_target(self, name: str) -> None:
        """Add a target that failed."""
        self._failed_targets.append(name)
        self._has_urgent_changes.set()
        self._has_changes.set()

    def add_replaced_target(self, name: str) -> None:
        """Add a target whose address another target has now."""
        self._replaced_targets.append(name)
        self._has_urgent_changes.set()
        self._has_changes.set()

    def add_leaving_target(self, leaving: data.LeavingTarget) -> None:
        """Add a target that said that it is about to stop."""
        self._leaving_targets.append(leaving)
        self._has_urgent_changes.set()
        self._has_changes.set()

    def add_prompt_evidence(self) -> None:
        """Note that there is new evidence about prompt parts."""
        self._has_prompt_evidence = True
        self._has_urgent_changes.set()
        self._has_changes.set()

    def add_observations(self) -> None:
        """Note that there are observations that the peers need at once."""
        self._has_observations = True
        self._has_urgent_changes.set()
        self._has_changes.set()

    def add_demands(self) -> None:
        """Note that the demand of organisations changed."""
        self._has_demands = True
        self._has_changes.set()

    def wake(self) -> None:
        """Wake the reporting task."""
        self._has_changes.set()

    def is_empty(self) -> bool:
        """Return whether there is nothing to report."""
        return not (
            self._runs
            or self._failed_targets
            or self._replaced_targets
            or self._leaving_targets
            or self._has_prompt_evidence
            or self._has_observations
            or self._has_demands
        )

    def take_runs(self) -> tuple[data.RunStatus, ...]:
        """Return and clear the changed runs."""
        runs = tuple(self._runs)
        self._runs.clear()
        return runs

    def take_failed_targets(self) -> tuple[str, ...]:
        """Return and clear the targets that failed."""
        names = tuple(self._failed_targets)
        self._failed_targets.clear()
        return names

    def take_replaced_targets(self) -> tuple[str, ...]:
        """Return and clear the targets whose address another one has."""
        names = tuple(self._replaced_targets)
        self._replaced_targets.clear()
        return names

    def take_leaving_targets(self) -> tuple[data.LeavingTarget, ...]:
        """Return and clear the targets that are about to stop."""
        leaving = tuple(self._leaving_targets)
        self._leaving_targets.clear()
        return leaving

    def clear_prompt_evidence(self) -> None:
        """Note that a report takes the new evidence about prompt parts."""
        self._has_prompt_evidence = False

    def clear_observations(self) -> None:
        """Note that a report takes the observations of targets."""
        self._has_observations = False

    def clear_demands(self) -> None:
        """Note that a report takes the demand of organisations."""
        self._has_demands = False

    def wait_for_changes(self, timeout_s: float) -> bool:
        """Wait until the task is woken or the time has passed.

        :return: whether the task was woken.
        """
        has_changes = self._clock.wait(self._has_changes, timeout_s)
        self._has_changes.clear()
        return has_changes

    def wait_for_urgent_changes(self, timeout_s: float) -> None:
        """Wait until there is an urgent change or the time has passed."""
        self._clock.wait(self._has_urgent_changes, timeout_s)
        self._has_urgent_changes.clear()
