"""In-memory model engines with faults at given token positions."""

from collections.abc import Callable
import dataclasses
import enum
import random

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.fakes import _stepping_clock

#: Time that each read of a healthy stream takes.
STEP_S = 0.02

#: How long a dead engine is unreachable or a frozen one unresponsive.
OUTAGE_S = 2.5


class EngineFaultKind(enum.Enum):
    """Kind of a fault that occurs when a stream reaches a position."""

    CLOSE = 'close'
    UNRESPONSIVE = 'unresponsive'
    ERROR = 'error'
    GAP = 'gap'
    REPEAT = 'repeat'
    CROSS = 'cross'
    CROSSED_STREAM = 'crossed_stream'
    LATE = 'late'
    TRUNCATE = 'truncate'
    SKIP_TO_END = 'skip_to_end'
    DIE = 'die'
    FREEZE = 'freeze'
    RESTART = 'restart'
    IGNORE_PREFIX = 'ignore_prefix'
    DIVERGE = 'diverge'


@dataclasses.dataclass(frozen=True)
class EngineFault:
    """A fault that occurs once, in the stream of one request."""

    kind: EngineFaultKind

    #: Position of the token before which the fault occurs.
    position: int


@dataclasses.dataclass
class _Run:
    request: state.AttemptRequest
    position: int
    start: int
    diverges: bool = False


class _Engine:
    def __init__(self) -> None:
        self.incarnation = 1
        self.dead_until_s = 0.0
        self.frozen_until_s = 0.0
        self.runs: dict[tuple[str, int], _Run] = {}

    def restart(self) -> None:
        self.incarnation += 1
        self.runs.clear()


class FaultyEngines:
    """An ``EngineClient`` with in-memory engines.

    Reads advance the clock instead of waiting, so that thousands of faults
    run in seconds and always in the same order.
    """

    def __init__(
        self,
        clock: _stepping_clock.SteppingClock,
        token_at: Callable[[str, int], str],
        seed: int,
    ) -> None:
        self.clock = clock
        self.token_at = token_at
        self.random = random.Random(seed)
        self.faults: dict[str, list[EngineFault]] = {}
        self.fired: list[EngineFaultKind] = []
        self.generated_count = 0
        self.started_count = 0
        self._engines: dict[str, _Engine] = {}

    def engine(self, name: str) -> _Engine:
        """Return the engine of a target, created on first use."""
        return self._engines.setdefault(name, _Engine())

    def running(self) -> list[tuple[str, str]]:
        """Return target and request of each attempt that has not ended."""
        found: list[tuple[str, str]] = []
        for name, engine in self._engines.items():
            for request_id, attempt in engine.runs:
                run = engine.runs[request_id, attempt]
                if run.position < run.request.max_tokens_count:
                    found.append((name, request_id))
        return found

    def pop_fault(self, request_id: str, position: int) -> EngineFault | None:
        """Remove and return the first fault that is due at a position."""
        pending = self.faults.get(request_id, [])
        for fault in pending:
            if fault.position <= position:
                pending.remove(fault)
                self.fired.append(fault.kind)
                return fault
        return None

    def start(
        self,
        target: state.Target,
        request: state.AttemptRequest,
        timeout_s: float,
    ) -> Result[ports.TokenStream, ports.StreamFault]:
        """Start an attempt, which continues the prefix in its request."""
        fault = self._unavailable(target, timeout_s)
        if fault is not None:
            return Error(fault)
        self.started_count += 1
        engine = self.engine(target.name)
        start = len(request.prefix_tokens)
        run = _Run(request, start, start)
        if start:
            due = self.pop_fault(f'prefix {request.request_id}', start)
            if due is not None:
                run.position = run.start = 0
                run.diverges = due.kind is EngineFaultKind.DIVERGE
        engine.runs[request.request_id, request.attempt] = run
        return Ok(_FaultyStream(self, engine, run, run.start))

    def attach(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        from_position: int,
        timeout_s: float,
    ) -> Result[ports.TokenStream, ports.StreamFault]:
        """Attach to a running or finished attempt from a position on."""
        fault = self._unavailable(target, timeout_s)
        if fault is not None:
            return Error(fault)
        engine = self.engine(target.name)
        run = engine.runs.get((request_id, attempt))
        if run is None:
            return Error(_fault(ports.StreamFaultKind.MISSING))
        return Ok(_FaultyStream(self, engine, run, from_position))

    def cancel(
        self,
        target: state.Target,
        request_id: state.RequestId,
        attempt: int,
        timeout_s: float,
    ) -> Result[None, ports.StreamFault]:
        """Cancel an attempt; Ok even if the engine does not know it."""
        fault = self._unavailable(target, timeout_s)
        if fault is not None:
            return Error(fault)
        self.engine(target.name).runs.pop((request_id, attempt), None)
        return Ok(None)

    def read_load(
        self, target: state.Target, timeout_s: float
    ) -> Result[ports.EngineLoad, ports.StreamFault]:
        """Refuse: these engines have no load report."""
        return Error(_fault(ports.StreamFaultKind.REFUSED))

    def cache_events(
        self, target: state.Target, after: int, timeout_s: float
    ) -> Result[tuple[ports.CacheEvent, ...], ports.StreamFault]:
        """Return no events."""
        return Ok(())

    def send_command(
        self,
        target: state.Target,
        command: ports.TargetCommand,
        timeout_s: float,
    ) -> Result[None, ports.StreamFault]:
        """Refuse the command."""
        return Error(_fault(ports.StreamFaultKind.REFUSED))

    def _unavailable(
        self, target: state.Target, timeout_s: float
    ) -> ports.StreamFault | None:
        engine = self.engine(target.name)
        now_s = self.clock.monotonic_s()
        if engine.dead_until_s > now_s:
            return _fault(ports.StreamFaultKind.UNREACHABLE)
        if engine.frozen_until_s > now_s:
            self.clock.advance(timeout_s)
            return _fault(ports.StreamFaultKind.UNRESPONSIVE)
        return None


class _FaultyStream:
    def __init__(
        self, engines: FaultyEngines, engine: _Engine, run: _Run, start: int
    ) -> None:
        self._engines = engines
        self._engine = engine
        self._run = run
        self._sent = start
        self._incarnation = engine.incarnation
        self._started = False
        self._is_unresponsive = False
        self._crossed = False
        self._finished = False

    def read(self, timeout_s: float) -> ports.StreamRead:
        engines = self._engines
        engine = self._engine
        now_s = engines.clock.monotonic_s()
        if self._incarnation != engine.incarnation or self._finished:
            return _fault(ports.StreamFaultKind.CLOSED)
        if self._is_unresponsive or engine.frozen_until_s > now_s:
            engines.clock.advance(timeout_s)
            return _fault(ports.StreamFaultKind.UNRESPONSIVE)
        request = self._run.request
        if (request.request_id, request.attempt) not in engine.runs:
            return _fault(ports.StreamFaultKind.CLOSED)
        engines.clock.advance(STEP_S)
        if not self._started:
            self._started = True
            return (self._start_event(),)
        due = engines.pop_fault(request.request_id, self._sent)
        if due is not None:
            return self._fail(due.kind, timeout_s)
        return self._batch()

    def close(self) -> None:
        self._finished = True

    def _start_event(self) -> state.StreamEvent:
        request = self._run.request
        return state.StreamStart(
            request.request_id,
            request.attempt,
            f'incarnation-{self._incarnation}',
            self._sent,
        )

    def _fail(
        self, kind: EngineFaultKind, timeout_s: float
    ) -> ports.StreamRead:
        engine = self._engine
        now_s = self._engines.clock.monotonic_s()
        if kind is EngineFaultKind.DIE:
            engine.restart()
            engine.dead_until_s = now_s + OUTAGE_S
            return _fault(ports.StreamFaultKind.CLOSED)
        if kind is EngineFaultKind.RESTART:
            engine.restart()
            return _fault(ports.StreamFaultKind.CLOSED)
        if kind is EngineFaultKind.CLOSE:
            self._finished = True
            return _fault(ports.StreamFaultKind.CLOSED)
        if kind is EngineFaultKind.FREEZE:
            engine.frozen_until_s = now_s + OUTAGE_S
            return self.read(timeout_s)
        if kind is EngineFaultKind.UNRESPONSIVE:
            self._is_unresponsive = True
            return self.read(timeout_s)
        return self._wrong_events(kind)

    def _wrong_events(
        self, kind: EngineFaultKind
    ) -> tuple[state.StreamEvent, ...]:
        request = self._run.request
        if kind is EngineFaultKind.ERROR:
            return (state.StreamError('engine_failed', 'Engine failed.'),)
        if kind is EngineFaultKind.TRUNCATE:
            return (state.StreamEnd(self._sent, 'length'),)
        if kind is EngineFaultKind.SKIP_TO_END:
            return (state.StreamEnd(request.max_tokens_count, 'length'),)
        if kind is EngineFaultKind.GAP:
            batch = self._batch()
            return batch[1:]
        if kind is EngineFaultKind.REPEAT:
            batch = self._batch()
            return (*batch, *batch)
        if kind is EngineFaultKind.LATE:
            # Tokens of an older attempt of this request.
            late = state.TokenEvent(request.attempt - 1, self._sent, b'late ')
            return (late, *self._batch())
        if kind is EngineFaultKind.CROSSED_STREAM:
            # The response to another request arrives on this connection.
            return (
                state.StreamStart(
                    state.RequestId('r-another'), request.attempt + 1, 'x', 0
                ),
                state.TokenEvent(request.attempt, self._sent, b'crossed '),
                state.StreamEnd(self._sent + 1, 'stop'),
            )
        crossed = state.TokenEvent(
            request.attempt + 7, self._sent, b'crossed '
        )
        return (crossed, *self._batch(), crossed)

    def _batch(self) -> tuple[state.StreamEvent, ...]:
        run = self._run
        request = run.request
        events: list[state.StreamEvent] = []
        for _ in range(self._engines.random.randint(1, 4)):
            if self._sent >= request.max_tokens_count:
                events.append(
                    state.StreamEnd(request.max_tokens_count, 'length')
                )
                break
            text = self._engines.token_at(request.prompt, self._sent)
            if run.diverges:
                text = text.upper()
            events.append(
                state.TokenEvent(request.attempt, self._sent, text.encode())
            )
            self._sent += 1
            if self._sent > run.position:
                run.position = self._sent
                self._engines.generated_count += 1
        return tuple(events)


def _fault(kind: ports.StreamFaultKind) -> ports.StreamFault:
    return ports.StreamFault(kind, kind.value)
