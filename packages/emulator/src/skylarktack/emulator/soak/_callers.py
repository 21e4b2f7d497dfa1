"""Callers that use the deployment while faults are injected."""

import dataclasses
import random
import threading
import time

import h11

from skylarktack import state
from skylarktack.emulator import platform

#: Most events of a stream.
EVENT_LIMIT_COUNT = 150

#: Attempts of a caller for one stream.
RESUME_LIMIT_COUNT = 4


@dataclasses.dataclass(frozen=True)
class CallRecord:
    """What a caller saw of one call."""

    attempt: platform.Attempt
    instance: str

    #: Number of the process that was asked.
    process_id: int

    started_at_s: float
    ended_at_s: float

    #: The answer, or None if the connection broke.
    answer: platform.Answer | None

    #: Whether the limits of some configuration forbid it.
    may_be_denied: bool = False


@dataclasses.dataclass(frozen=True)
class StreamRecord:
    """What a caller saw of one stream, over all its attempts."""

    attempts: tuple[platform.Attempt, ...]

    #: Events in the order in which they arrived.
    events: tuple[str, ...]

    #: Whether the last attempt ended as complete.
    is_complete: bool

    #: Answers that were no stream.
    refusals: tuple[platform.Answer, ...]


class Callers:
    """Threads that send calls and streams until they are stopped."""

    def __init__(
        self, deployment: platform.PlatformDeployment, seed: int
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.calls: list[CallRecord] = []
        self.streams: list[StreamRecord] = []

    def start(self, count: int) -> None:
        """Start callers: half of them stream, the others call."""
        for number in range(count):
            serve = self._stream_on if number % 2 else self._call_on
            thread = threading.Thread(
                target=serve, args=(random.Random(self._seed + number),)
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Let each caller finish what it does."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def record_call(self, record: CallRecord) -> None:
        """Add what the caller of one call saw."""
        with self._lock:
            self.calls.append(record)

    def record_stream(self, record: StreamRecord) -> None:
        """Add what the caller of one stream saw."""
        with self._lock:
            self.streams.append(record)

    def _call_on(self, draw: random.Random) -> None:
        while not self._stopped.is_set():
            version = self._deployment.version
            routes = ['book', 'book', 'peek']
            if version > 1:
                routes.append(f'r{version}')
                routes.append(f'r{draw.randint(2, version)}')
            route = draw.choice(routes)
            attempt = platform.Attempt(
                route, platform.new_attempt_id(), time_limit_ms=3000
            )
            self.call(draw.choice(self._deployment.instances), attempt)
            time.sleep(draw.uniform(0.005, 0.05))

    def call(
        self,
        instance: platform.PlatformInstance,
        attempt: platform.Attempt,
    ) -> None:
        """Send one call and record it."""
        process = instance.process
        started_at_s = time.monotonic()
        answer: platform.Answer | None
        try:
            answer = platform.call(instance.address, attempt)
        except (OSError, h11.RemoteProtocolError):
            answer = None
        record = CallRecord(
            attempt,
            instance.name,
            0 if process is None else process.pid,
            started_at_s,
            time.monotonic(),
            answer,
        )
        self.record_call(record)

    def _stream_on(self, draw: random.Random) -> None:
        while not self._stopped.is_set():
            subject = f'{draw.getrandbits(48):012x}'
            self._stream(draw, subject, draw.randrange(20, EVENT_LIMIT_COUNT))
            time.sleep(draw.uniform(0.005, 0.05))

    def _stream(
        self, draw: random.Random, subject: str, event_count: int
    ) -> None:
        attempts: list[platform.Attempt] = []
        events: list[str] = []
        refusals: list[platform.Answer] = []
        is_complete = False
        while not is_complete and len(attempts) < RESUME_LIMIT_COUNT:
            attempt = platform.Attempt(
                'digest',
                platform.new_attempt_id(),
                subject=subject,
                event_count=event_count,
                last_event_id=len(events),
            )
            attempts.append(attempt)
            instance = draw.choice(self._deployment.instances)
            is_complete = _read(instance.address, attempt, events, refusals)
            if not is_complete:
                time.sleep(0.2)
        record = StreamRecord(
            tuple(attempts), tuple(events), is_complete, tuple(refusals)
        )
        self.record_stream(record)


def _read(
    address: state.Address,
    attempt: platform.Attempt,
    events: list[str],
    refusals: list[platform.Answer],
) -> bool:
    """Read one attempt; return whether it ended as complete."""
    try:
        for item in platform.read_stream(address, attempt):
            if isinstance(item, platform.Answer):
                refusals.append(item)
                return False
            events.append(item)
    except (OSError, h11.RemoteProtocolError):
        return False
    return True
