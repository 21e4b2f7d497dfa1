"""Background tasks without supervision."""

from collections.abc import Callable


class DirectTaskRunner:
    """``TaskSupervisor`` that runs a task once and lets errors pass."""

    def run(self, name: str, task: Callable[[], None]) -> None:
        """Run a task."""
        task()

    def run_once(self, name: str, task: Callable[[], None]) -> None:
        """Run a task."""
        task()
