"""Memory that one connection claims for the body that it reads."""

from skylarktack.state import forwarding as data
from skylarktack.transport.forwarding import _memory

#: Maximum time for which a caller waits until there is memory for its body,
#: and the Retry-After of one that was refused.
MAX_WAIT_S = 0.5
RETRY_AFTER_S = 1.0


class BodyClaim:
    """Claims memory for one body at a time and bounds its size."""

    def __init__(self, memory: _memory.MemoryBudget) -> None:
        self._memory = memory
        self._claimed_bytes = 0

    def claim(
        self, size_bytes: int, limits: data.FrontLimits
    ) -> data.Refusal | None:
        """Wait for memory for a body; return a refusal if there is none.

        Nothing is read meanwhile, so that the caller waits too.
        """
        if size_bytes > limits.max_body_bytes:
            return data.Refusal(data.RefusalReason.BODY_TOO_LARGE)
        if size_bytes <= _memory.EXEMPT_BODY_BYTES:
            return None
        if size_bytes > self._memory.request_limit_bytes:
            return self._never_fits()
        if not self._memory.claim_request(size_bytes, MAX_WAIT_S):
            return data.Refusal(data.RefusalReason.MEMORY_FULL, RETRY_AFTER_S)
        self._claimed_bytes = size_bytes
        return None

    def grow(
        self, size_bytes: int, limits: data.FrontLimits
    ) -> data.Refusal | None:
        """Claim memory for a body of unknown length that has this size now.

        A long one claims the largest size at once: several that each wait
        for more would hold what the others need.
        """
        if size_bytes > limits.max_body_bytes:
            return data.Refusal(data.RefusalReason.BODY_TOO_LARGE)
        if size_bytes <= _memory.EXEMPT_BODY_BYTES:
            return None
        largest_bytes = min(
            limits.max_body_bytes, self._memory.request_limit_bytes
        )
        if size_bytes > largest_bytes:
            return self._never_fits()
        if self._claimed_bytes:
            return None
        return self.claim(largest_bytes, limits)

    def release(self, kept_bytes: int = 0) -> None:
        """Release what was claimed above the kept bytes."""
        released_bytes = max(0, self._claimed_bytes - kept_bytes)
        self._claimed_bytes -= released_bytes
        self._memory.release(released_bytes)

    def _never_fits(self) -> data.Refusal:
        """Return the refusal of a body for which no retry finds memory."""
        return data.Refusal(
            data.RefusalReason.BODY_TOO_LARGE,
            detail='the memory limit of the instance allows '
            f'{self._memory.request_limit_bytes} bytes',
        )
