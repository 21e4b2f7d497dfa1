"""Arrivals of requests at this instance: counts, and the mix of urgencies."""

import collections
from collections.abc import Mapping
import dataclasses
import math

#: The window slides by slices. The current slice is left out: a report is
#: often sent because a request just arrived, and counting that request would
#: overstate the demand of an instance with one request a second threefold.
WINDOW_MS = 1000
SLICE_COUNT = 4
SLICE_S = WINDOW_MS / 1000 / SLICE_COUNT

#: Maximum number of services and organisations that one slice counts; further
#: ones are not counted, so that memory does not grow with the organisations.
MAX_KEYS_PER_SLICE = 1024

#: Time constant with which the mix of urgencies is forgotten, and the maximum
#: number of services and organisations of which it is kept. An instance sees
#: few requests of an organisation in a second.
URGENCY_DECAY_S = 10.0
MAX_URGENCY_KEYS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class DemandKey:
    """A service and the organisation that requests it."""

    service: str

    #: Empty for requests without a key.
    organisation: str


class DemandWindow:
    """Counts arrivals by service and organisation; not thread-safe."""

    def __init__(self) -> None:
        self._slices: collections.deque[collections.Counter[DemandKey]] = (
            collections.deque(maxlen=SLICE_COUNT)
        )
        self._current: collections.Counter[DemandKey] = collections.Counter()
        self._current_number = -1
        self._totals: collections.Counter[DemandKey] = collections.Counter()

    def count(self, key: DemandKey, now_s: float) -> None:
        """Count the arrival of one request."""
        self._slide(now_s)
        if key in self._current or len(self._current) < MAX_KEYS_PER_SLICE:
            self._current[key] += 1

    def counts(self, now_s: float) -> Mapping[DemandKey, int]:
        """Return the arrivals in the window; do not modify the result."""
        self._slide(now_s)
        return self._totals

    def _slide(self, now_s: float) -> None:
        number = math.floor(now_s / SLICE_S)
        if number == self._current_number:
            return
        # A clock that was suspended passes many slices at once.
        passed_count = min(number - self._current_number, SLICE_COUNT + 1)
        for _ in range(passed_count):
            self._slices.append(self._current)
            self._current = collections.Counter()
        self._current_number = number
        self._totals = collections.Counter()
        for one in self._slices:
            self._totals.update(one)


@dataclasses.dataclass
class _Mix:
    """Decayed numbers of requests by priority."""

    counted_at_s: float
    counts: dict[int, float] = dataclasses.field(default_factory=dict)


class UrgencyMixes:
    """Recent requests of each organisation by priority; not thread-safe."""

    def __init__(self) -> None:
        #: Least recently counted first.
        self._mixes: dict[DemandKey, _Mix] = {}

    def count(
        self, key: DemandKey, priority: int, now_s: float
    ) -> dict[int, float]:
        """Count one request; return the decayed counts by priority."""
        mix = self._mixes.pop(key, None) or _Mix(now_s)
        self._mixes[key] = mix
        if len(self._mixes) > MAX_URGENCY_KEYS:
            del self._mixes[next(iter(self._mixes))]
        decay = math.exp((mix.counted_at_s - now_s) / URGENCY_DECAY_S)
        mix.counted_at_s = now_s
        for known in mix.counts:
            mix.counts[known] *= decay
        mix.counts[priority] = mix.counts.get(priority, 0.0) + 1
        return dict(mix.counts)
