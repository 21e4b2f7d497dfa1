"""Supervision of background tasks, and a record of unexpected errors."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import threading
import traceback

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.ports import Clock

#: Initial and maximum delay before a failed task is started again.
FIRST_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0

#: A task that ran for this time starts again after the initial delay.
STABLE_RUN_S = 10.0

#: Minimum time between two log lines about errors at the same place.
LOG_INTERVAL_S = 1.0

#: Places of errors in accounts of requests; operators see them in log lines.
CALL_CHOICE = 'call choice'
RUN_REPORT = 'run report'
PROMPT_EVIDENCE = 'prompt evidence'
PROMPT_SEARCH = 'prompt search'
REQUEST_REPORT = 'request report'
SERVICE_ADMISSION = 'service admission'
STANDBY_COPIES = 'standby copies'
TARGET_ACCOUNTING = 'target accounting'


class ErrorRecorder:
    """Counts and logs errors that no code path expects."""

    def __init__(self, clock: Clock, log: _events.EventLog) -> None:
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._counts: dict[str, int] = {}
        self._logged_at_s: dict[str, float] = {}

    def record(self, place: str, error: Exception) -> None:
        """Count an error, and log it unless its place was logged just now.

        :param place: the task or step that failed; one of a few names.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            count = self._counts.get(place, 0) + 1
            self._counts[place] = count
            logged_at_s = self._logged_at_s.get(place)
            if (
                logged_at_s is not None
                and now_s < logged_at_s + LOG_INTERVAL_S
            ):
                return
            self._logged_at_s[place] = now_s
        self._log.record(
            _events.UnexpectedError(
                place,
                f'{type(error).__name__}: {error}',
                ''.join(traceback.format_exception(error)),
                count,
            )
        )

    @contextlib.contextmanager
    def contain(self, place: str) -> Iterator[None]:
        """Record an error of the block instead of raising it.

        For accounting, which must not affect the request that it describes.

        :param place: see :meth:`record`.
        """
        try:
            yield
        except Exception as error:
            self.record(place, error)

    def counts(self) -> dict[str, int]:
        """Return the number of errors since the start, by place."""
        with self._lock:
            return dict(self._counts)


class Supervisor:
    """Runs background tasks and starts those that fail again."""

    def __init__(self, clock: Clock, errors: ErrorRecorder) -> None:
        self._clock = clock
        self._errors = errors
        self._never_set = threading.Event()

    def run(self, name: str, task: Callable[[], None]) -> None:
        """Run a task until it returns; an exception starts it again.

        The delay before each start doubles while the task keeps failing.
        """
        delay_s = FIRST_RESTART_DELAY_S
        while True:
            started_at_s = self._clock.monotonic_s()
            try:
                task()
                return
            except Exception as error:
                self._errors.record(name, error)
            if self._clock.monotonic_s() - started_at_s >= STABLE_RUN_S:
                delay_s = FIRST_RESTART_DELAY_S
            self._clock.wait(self._never_set, delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)

    def run_once(self, name: str, task: Callable[[], None]) -> None:
        """Run a task; an exception ends it and is recorded."""
        with self._errors.contain(name):
            task()
