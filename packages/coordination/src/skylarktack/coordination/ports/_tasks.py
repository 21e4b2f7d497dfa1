"""Port to the supervision of background tasks."""

from collections.abc import Callable
from typing import Protocol


class TaskSupervisor(Protocol):
    """Runs background tasks, in the thread of the caller."""

    def run(self, name: str, task: Callable[[], None]) -> None:
        """Run a task until it returns; an exception starts it again.

        :param name: names the task where its errors are recorded.
        """
        ...

    def run_once(self, name: str, task: Callable[[], None]) -> None:
        """Run a task that an exception ends.

        :param name: see :meth:`run`.
        """
        ...
