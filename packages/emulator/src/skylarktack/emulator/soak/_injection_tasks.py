"""Tasks that carry out injections while the schedule goes on."""

from collections.abc import Callable
from concurrent import futures
import threading


class InjectionTasks:
    """Runs each injection in a task of its own."""

    def __init__(self) -> None:
        self._tasks: list[futures.Future[None]] = []

    @property
    def is_empty(self) -> bool:
        """Return whether no task was started."""
        return not self._tasks

    def start(self, run: Callable[[], None]) -> None:
        """Start a task; it ends by itself."""
        task: futures.Future[None] = futures.Future()
        self._tasks.append(task)
        # A daemon, so that a failed soak does not wait for its injections.
        threading.Thread(
            target=_complete, args=(task, run), daemon=True
        ).start()

    def wait_ended(self) -> None:
        """Wait until all tasks have ended; raise the first error of one."""
        for task in self._tasks:
            task.result()


def _complete(task: futures.Future[None], run: Callable[[], None]) -> None:
    """Run a task and record how it ended."""
    try:
        run()
    except Exception as error:
        task.set_exception(error)
        return
    task.set_result(None)
