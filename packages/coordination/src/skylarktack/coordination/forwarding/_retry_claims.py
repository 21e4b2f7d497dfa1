"""Claims of one stream on the retry budget."""

import math

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _retry_waits
from skylarktack.coordination.forwarding import _stream_attempts

#: Maximum number of engines to which one stream is sent at once, whether or
#: not they execute it. A run that has begun is sent again at an interval.
MAX_SEND_COUNT = 12


class RetryClaims:
    """Counts the sends of one stream and claims its retries."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
    ) -> None:
        self._budget = dependencies.budget
        self._clock = dependencies.clock
        self._service = admitted.service
        self._has_reserved = False
        self._last_send_at_s = -math.inf
        #: Number of engines to which the stream was sent.
        self.send_count = 0

    def has_used_all_sends(self) -> bool:
        """Return whether no more sends are made at once."""
        return self.send_count >= MAX_SEND_COUNT

    def secure(self) -> _retry_waits.RetryObstacle | None:
        """Claim what the next send needs, or return what is missing."""
        if self.send_count == 0:
            return None
        if self.has_used_all_sends():
            next_send_at_s = (
                self._last_send_at_s + _retry_waits.PACED_SEND_INTERVAL_S
            )
            if self._clock.monotonic_s() < next_send_at_s:
                return _retry_waits.RetryObstacle.SENDS_USED
        if not self._claim():
            return _retry_waits.RetryObstacle.BUDGET_SPENT
        return None

    def reserve(self) -> bool:
        """Claim the retry of the next send; return whether it is claimed."""
        self._has_reserved = self._claim()
        return self._has_reserved

    def record_send(self) -> None:
        """Count a send."""
        self.send_count += 1
        self._last_send_at_s = self._clock.monotonic_s()

    def refund_unreached_send(self) -> None:
        """Return the retry of a send that did not reach its engine."""
        if self.send_count > 1:
            self._budget.refund_retry(self._service)

    def refund_reserved(self) -> None:
        """Return the reserved retry if it was not used."""
        if self._has_reserved:
            self._budget.refund_retry(self._service)

    def _claim(self) -> bool:
        if self._has_reserved:
            self._has_reserved = False
            return True
        return self._budget.claim_retry(self._service)
