"""Bounds of an instance that were reached: counts and log lines."""

import collections
import dataclasses
import enum
import threading

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Minimum time between two log lines about a bound without a known request.
LOG_INTERVAL_S = 1.0


class Bound(enum.Enum):
    """A limit on what an instance holds or waits for."""

    #: Open connections of callers.
    CONNECTIONS = 'connections'

    #: Pipelined bytes that are read while a request is in progress.
    PIPELINED_BYTES = 'pipelined_bytes'

    REQUEST_HEAD = 'request_head'
    REQUEST_BODY = 'request_body'

    #: Memory for the bodies of all requests.
    REQUEST_MEMORY = 'request_memory'

    #: Time for a request, or for the next part of it.
    REQUEST_READ_TIME = 'request_read_time'

    #: Time and size of what is still read of a refused request.
    REFUSED_REQUEST = 'refused_request'

    #: Time for which a caller reads nothing of its response.
    RESPONSE_WRITE_TIME = 'response_write_time'

    #: Memory for bodies; the rest of a response is read later.
    RESPONSE_MEMORY = 'response_memory'

    #: Size of a part of a target's response, or of its body.
    RESPONSE_SIZE = 'response_size'


_BOUND_BY_REASON = {
    data.RefusalReason.HEADER_TOO_LARGE: Bound.REQUEST_HEAD,
    data.RefusalReason.BODY_TOO_LARGE: Bound.REQUEST_BODY,
    data.RefusalReason.MEMORY_FULL: Bound.REQUEST_MEMORY,
    data.RefusalReason.READ_TIMEOUT: Bound.REQUEST_READ_TIME,
}


@dataclasses.dataclass(frozen=True)
class BoundReached(_events.LogEvent):
    """A bound of the instance was reached."""

    part = 'bound'
    message = 'bound reached'

    #: Value of :class:`Bound`.
    bound: str

    #: Attempt of a caller that it affects; empty if it is none, or unknown.
    request: str

    detail: str

    #: Times that the bound was reached since the start, some of which were
    #: not logged.
    count: int


class BoundRecorder:
    """Counts and logs the bounds that are reached."""

    def __init__(self, clock: Clock, log: _events.EventLog) -> None:
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._counts: collections.Counter[Bound] = collections.Counter()
        self._logged_at_s: dict[Bound, float] = {}

    def record(
        self, bound: Bound, request: str = '', detail: str = ''
    ) -> None:
        """Count a bound that was reached.

        Each one that affects a known request is logged, others at most once
        in ``LOG_INTERVAL_S``.

        :param request: attempt of a caller that it affects, or empty.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._counts[bound] += 1
            count = self._counts[bound]
            logged_at_s = self._logged_at_s.get(bound)
            if not request:
                if (
                    logged_at_s is not None
                    and now_s < logged_at_s + LOG_INTERVAL_S
                ):
                    return
                self._logged_at_s[bound] = now_s
        self._log.record(BoundReached(bound.value, request, detail, count))

    def record_refusal(self, refusal: data.Refusal, request: str) -> None:
        """Count the bound for which a request was refused, if any."""
        bound = _BOUND_BY_REASON.get(refusal.reason)
        if bound is not None:
            self.record(bound, request, refusal.detail)

    def counts(self) -> dict[Bound, int]:
        """Return how often each bound was reached since the start."""
        with self._lock:
            return {bound: self._counts[bound] for bound in Bound}
