"""Small engines in virtual time, for comparing routing policies."""

import collections
import dataclasses
import heapq
import random
import threading

from skylarktack.coordination import ports


class VirtualClock:
    """Time that the simulation sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic_s(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def wall_s(self) -> float:
        """Return the virtual time."""
        return self.now_s

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Let the virtual time pass the wait; return whether it was set."""
        if event.is_set():
            return True
        self.now_s += timeout_s
        return False


@dataclasses.dataclass(frozen=True)
class FakeEngineShape:
    """Size and pace of one engine."""

    #: Slots of the batch.
    slot_count: int = 16

    #: Prompt blocks that the prefix cache holds.
    cache_block_count: int = 1500

    #: Prompt blocks processed a second before the first token.
    prefill_blocks_per_s: float = 400.0

    #: Time of one token.
    token_s: float = 0.02

    #: Age of load reports and cache events.
    lag_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class FakeRequest:
    """One request of a recorded mix."""

    #: Time since the start.
    at_s: float

    #: Hashes of the prompt's blocks.
    hashes: tuple[str, ...]

    #: Prompt that has these hashes.
    prompt: str

    #: Tokens of the answer.
    token_count: int


class FakeEngine:
    """Slots, a serial prefill unit and a bounded prefix cache."""

    def __init__(self, shape: FakeEngineShape, seed: int) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        #: Times at which the running requests end.
        self._ends: list[float] = []
        self._waiting: collections.deque[float] = collections.deque()
        self._prefill_free_s = 0.0
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, ports.CacheEvent]] = (
            collections.deque(maxlen=4096)
        )
        self._sequence = 0
        self._reports: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=64)
        )
        self.served_count = 0

    def submit(
        self, request: FakeRequest, now_s: float
    ) -> tuple[float, float, int]:
        """Run a request.

        :returns: time to the first token, time of its end, cached blocks.
        """
        self.served_count += 1
        while self._ends and self._ends[0] <= now_s:
            heapq.heappop(self._ends)
        start_s = now_s
        if len(self._ends) >= self._shape.slot_count:
            # The request takes the slot of the one that ends first among
            # those ahead of it.
            start_s = heapq.heappop(self._ends)
            self._waiting.append(start_s)
        cached = self._cached(request.hashes)
        begin_s = max(start_s, self._prefill_free_s)
        missing = len(request.hashes) - cached
        first_s = begin_s + (missing + 1) / self._shape.prefill_blocks_per_s
        self._prefill_free_s = first_s
        self._keep(request.hashes, now_s)
        end_s = first_s + request.token_count * self._shape.token_s
        heapq.heappush(self._ends, end_s)
        return first_s - now_s, end_s, cached

    def load_count(self, now_s: float) -> int:
        """Return running and waiting requests."""
        while self._waiting and self._waiting[0] <= now_s:
            self._waiting.popleft()
        running = sum(1 for end_s in self._ends if end_s > now_s)
        return running + len(self._waiting)

    def record(self, now_s: float) -> None:
        """Remember the load for later reports."""
        self._reports.append((now_s, self.load_count(now_s)))

    def report(self, now_s: float) -> ports.EngineLoad:
        """Return a lagging report."""
        shown = (now_s, 0)
        for sampled in self._reports:
            if sampled[0] > now_s - self._shape.lag_s:
                break
            shown = sampled
        return ports.EngineLoad(
            incarnation='one',
            running_count=shown[1],
            waiting_count=0,
            slot_count=self._shape.slot_count,
            versions=(),
            age_ms=round((now_s - shown[0]) * 1000),
        )

    def events(self, after: int, now_s: float) -> list[ports.CacheEvent]:
        """Return the visible cache events; every sixteenth is lost."""
        found: list[ports.CacheEvent] = []
        for published_s, event in reversed(self._events):
            if event.sequence <= after:
                break
            if published_s > now_s - self._shape.lag_s:
                continue
            if event.sequence % 16:
                found.append(event)
        found.reverse()
        return found

    def _cached(self, hashes: tuple[str, ...]) -> int:
        count = 0
        for prefix in hashes:
            if prefix not in self._cache:
                break
            self._cache.move_to_end(prefix)
            count += 1
        return count

    def _keep(self, hashes: tuple[str, ...], now_s: float) -> None:
        for prefix in hashes:
            if prefix not in self._cache:
                self._publish(prefix, True, now_s)
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        while len(self._cache) > self._shape.cache_block_count:
            removed, _ = self._cache.popitem(last=False)
            self._publish(removed, False, now_s)

    def _publish(self, prefix: str, added: bool, now_s: float) -> None:
        self._sequence += 1
        self._events.append(
            (now_s, ports.CacheEvent(self._sequence, prefix, added))
        )
