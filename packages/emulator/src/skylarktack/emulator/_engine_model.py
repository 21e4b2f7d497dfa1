"""Text, batch and prefix cache of the engine stand-in."""

import collections
import dataclasses
import heapq
import threading
import time
import zlib

from skylarktack import state
from skylarktack.coordination import ports

_WORDS = (
    'fan',
    'blade',
    'motor',
    'grille',
    'switch',
    'capacitor',
    'order',
    'history',
    'ceiling',
    'stand',
    'spec',
    'catalogue',
    'digest',
    'région',
    'pallet',
    'dealer',
    'course',
    'credit',
    'seat',
    'term',
)


def expected_token(prompt: str, position: int) -> str:
    """Return the token that any engine gives at a position of a prompt."""
    mixed = zlib.crc32(
        position.to_bytes(4, 'big'), zlib.crc32(prompt.encode())
    )
    return f'{_WORDS[mixed % len(_WORDS)]}{mixed % 97} '


def expected_text(prompt: str, token_count: int) -> str:
    """Return the whole answer to a prompt."""
    return ''.join(expected_token(prompt, at) for at in range(token_count))


@dataclasses.dataclass(frozen=True)
class EngineFaults:
    """Faults of the engine, switched by its control endpoint."""

    #: Whether all connections open at present stop sending.
    silence_open: bool = False

    #: Factor on the time of each step.
    slow_factor: float = 1.0

    #: Whether new attempts are refused.
    fail_starts: bool = False

    #: Tokens after which each attempt ends with an error event; 0 means
    #: never.
    error_after_count: int = 0

    #: Tokens after which the connection closes; 0 means never.
    close_after_count: int = 0

    #: Running streams above which new attempts fail; 0 means never.
    fail_above_running_count: int = 0

    #: Route on which attempts fail; empty means none.
    fail_route: str = ''

    #: Version whose attempts fail; empty means none.
    fail_version: str = ''

    #: Time from the switch of the fault until ``fail_starts`` acts.
    fail_after_ms: int = 0

    #: Whether tokens of another request are mixed into each stream.
    cross_answers: bool = False

    #: Whether each token is sent twice.
    repeat_tokens: bool = False

    #: Tokens after which new attempts wait until it is 0 again; 0 means
    #: never.
    pause_after_count: int = 0

    #: Position that each stream leaves out; negative means none.
    skip_position: int = -1

    #: Whether a given prefix is generated again from its first token.
    ignore_prefix: bool = False

    #: Whether the text of an attempt with a prefix differs.
    diverge: bool = False


@dataclasses.dataclass(frozen=True)
class EngineShape:
    """Size and pace of the engine."""

    #: Name of the target.
    name: str

    #: Time of one step of the batch.
    step_ms: float = 20.0

    #: Slots of the batch.
    slot_count: int = 32

    #: Versions loaded at the start.
    versions: tuple[str, ...] = ('v1',)

    #: Prefix blocks that the cache holds.
    cache_block_count: int = 1024

    #: Prompt characters processed in one step before the first token.
    prefill_chars: int = 16_384

    #: Age of load reports and cache events.
    report_lag_ms: int = 500

    #: Whether orders with an old fencing number are refused.
    checks_fencing: bool = False

    #: Time from an order to load a version until the engine serves it.
    load_ms: int = 0

    #: How long a finished attempt can be attached to.
    retention_ms: int = 60_000

    #: Seed of lost cache events.
    seed: int = 1


class EngineRun:
    """One attempt; its tokens are a function of the prompt."""

    def __init__(self, order: state.AttemptRequest, arrived_s: float) -> None:
        self.order = order
        self.arrived_s = arrived_s
        # Position of the first token that this attempt generates itself.
        self.start = len(order.prefix_tokens)
        self.position = self.start
        self.prefill_steps = 0
        # Position at which it waits until attempts are resumed; None if it
        # does not wait.
        self.pause_position: int | None = None
        self.done = False
        self.cancelled = False
        self.done_s = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Request and attempt."""
        return self.order.request_id, self.order.attempt


class EngineModel:
    """Batches attempts; one thread advances all of them step by step."""

    def __init__(self, shape: EngineShape) -> None:
        self.shape = shape
        self.changed = threading.Condition()
        self.faults = EngineFaults()
        self.fault_s = 0.0
        self.versions: list[str] = list(shape.versions)
        self.fencing_number = 0
        self.orders: list[ports.TargetCommand] = []
        self._loads: list[tuple[float, str]] = []
        self.runs: dict[tuple[str, int], EngineRun] = {}
        self.steps_count = 0
        self.generated_count = 0
        self._waiting: list[tuple[int, float, int, EngineRun]] = []
        self._running: list[EngineRun] = []
        self._serial = 0
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, ports.CacheEvent]] = []
        self._reports: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)], maxlen=200)
        )
        self._sequence = 0

    def start(self) -> None:
        """Start the thread that advances the batch."""
        threading.Thread(target=self._advance, daemon=True).start()

    def submit(self, order: state.AttemptRequest) -> EngineRun:
        """Queue an attempt by priority."""
        with self.changed:
            run = EngineRun(order, time.monotonic())
            if self.faults.ignore_prefix:
                run.start = run.position = 0
            if self.faults.pause_after_count:
                run.pause_position = run.start + self.faults.pause_after_count
            run.prefill_steps = self._prefill(order.prompt)
            self.runs[run.key] = run
            self._serial += 1
            heapq.heappush(
                self._waiting,
                (order.priority, run.arrived_s, self._serial, run),
            )
            self.changed.notify_all()
            return run

    def cancel(self, request_id: str, attempt: int) -> bool:
        """End an attempt; return whether it was known."""
        with self.changed:
            run = self.runs.get((request_id, attempt))
            if run is None:
                return False
            run.cancelled = True
            run.done = True
            run.done_s = time.monotonic()
            self.changed.notify_all()
            return True

    def resume_attempts(self) -> None:
        """Let all paused attempts go on, also if others are paused later."""
        with self.changed:
            for run in self.runs.values():
                run.pause_position = None

    def running_count(self) -> int:
        """Return the number of running attempts at this moment."""
        return len(self._running)

    def paused_count(self) -> int:
        """Return the number of running attempts that wait at present."""
        with self.changed:
            return sum(self._is_paused(run) for run in self._running)

    def load_report(self) -> tuple[int, int, int]:
        """Return running count, waiting count and age of a lagging report."""
        with self.changed:
            now_s = time.monotonic()
            visible_s = now_s - self.shape.report_lag_ms / 1000
            shown = self._reports[0]
            for report in self._reports:
                if report[0] > visible_s:
                    break
                shown = report
            return shown[1], shown[2], int((now_s - shown[0]) * 1000)

    def cache_events(self, after: int) -> tuple[ports.CacheEvent, ...]:
        """Return the visible cache events; some numbers are missing."""
        with self.changed:
            visible_s = time.monotonic() - self.shape.report_lag_ms / 1000
            found: list[ports.CacheEvent] = []
            for since_s, event in self._events:
                if event.sequence <= after or since_s > visible_s:
                    continue
                # Every sixteenth event is lost.
                if (event.sequence + self.shape.seed) % 16 == 0:
                    continue
                found.append(event)
            return tuple(found)

    def obey(self, order: ports.TargetCommand) -> bool:
        """Carry out an order; False if its fencing number is too old."""
        with self.changed:
            if order.fencing_number < self.fencing_number:
                if self.shape.checks_fencing:
                    return False
            self.fencing_number = max(
                self.fencing_number, order.fencing_number
            )
            if any(order.order_id == known.order_id for known in self.orders):
                return True
            self.orders.append(order)
            if order.kind is ports.TargetCommandKind.LOAD:
                ready_s = time.monotonic() + self.shape.load_ms / 1000
                self._loads.append((ready_s, order.subject))
                self._finish_loads()
            if order.kind is ports.TargetCommandKind.UNLOAD:
                if order.subject in self.versions:
                    self.versions.remove(order.subject)
            return True

    def _finish_loads(self) -> None:
        now_s = time.monotonic()
        for load in list(self._loads):
            if load[0] > now_s:
                continue
            self._loads.remove(load)
            if load[1] not in self.versions:
                self.versions.append(load[1])

    def _prefill(self, prompt: str) -> int:
        hashes = state.prefix_hashes(prompt)
        cached = 0
        for prefix in hashes:
            if prefix not in self._cache:
                break
            self._cache.move_to_end(prefix)
            cached += 1
        for prefix in hashes[cached:]:
            self._cache[prefix] = None
            self._publish(prefix, True)
        while len(self._cache) > self.shape.cache_block_count:
            removed, _ = self._cache.popitem(last=False)
            self._publish(removed, False)
        left = len(prompt) - cached * state.PREFIX_BLOCK_CHARS
        return left // self.shape.prefill_chars

    def _publish(self, prefix: str, added: bool) -> None:
        self._sequence += 1
        self._events.append(
            (
                time.monotonic(),
                ports.CacheEvent(self._sequence, prefix, added),
            )
        )
        del self._events[:-4096]

    def _advance(self) -> None:
        next_s = time.monotonic()
        while True:
            step_s = self.shape.step_ms * self.faults.slow_factor / 1000
            next_s = max(next_s + step_s, time.monotonic())
            time.sleep(max(0.0, next_s - time.monotonic()))
            with self.changed:
                self._step()
                self.changed.notify_all()

    def _step(self) -> None:
        now_s = time.monotonic()
        self.steps_count += 1
        if self._loads:
            self._finish_loads()
        self._running = [run for run in self._running if not run.done]
        while self._waiting and len(self._running) < self.shape.slot_count:
            run = heapq.heappop(self._waiting)[3]
            if not run.done:
                self._running.append(run)
        for run in self._running:
            if run.prefill_steps > 0:
                run.prefill_steps -= 1
                continue
            if self._is_paused(run):
                continue
            # A prefix may already hold the whole answer.
            if run.position < run.order.max_tokens_count:
                run.position += 1
                self.generated_count += 1
            if run.position >= run.order.max_tokens_count:
                run.done = True
                run.done_s = now_s
        self._reports.append((now_s, len(self._running), len(self._waiting)))
        if self.steps_count % 256:
            return
        oldest_s = now_s - self.shape.retention_ms / 1000
        for key, run in list(self.runs.items()):
            if run.done and run.done_s < oldest_s:
                del self.runs[key]

    def _is_paused(self, run: EngineRun) -> bool:
        if run.pause_position is None:
            return False
        return run.position >= run.pause_position
