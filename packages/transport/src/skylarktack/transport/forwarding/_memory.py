"""The memory that one instance holds for callers and targets.

Bodies that are each within their limit could exhaust the memory together.
"""

import threading
import time

from skylarktack.state import forwarding as data

#: Size up to which a body needs nothing of the budget, so that large bodies
#: of some do not fail the ordinary ones of others.
EXEMPT_BODY_BYTES = 65536


class MemoryBudget:
    """Counts the bytes of the large bodies that are held at one time."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._free_bytes = limit_bytes
        #: What requests may take; the rest is kept for responses.
        self.request_limit_bytes = data.request_limit_bytes(limit_bytes)
        self._reserved_bytes = limit_bytes - self.request_limit_bytes
        self._was_released = threading.Condition()

    def claim_response(self, size_bytes: int) -> bool:
        """Reserve bytes for a response; return False if there are not enough.

        The response stays unread then, until it is asked for again.
        """
        with self._was_released:
            if size_bytes > self._free_bytes:
                return False
            self._free_bytes -= size_bytes
            return True

    def exceeds_limit(self, size_bytes: int) -> bool:
        """Return whether so many bytes can never be reserved."""
        return size_bytes > self._limit_bytes

    def hold_response(self, size_bytes: int) -> None:
        """Count bytes of a response that is in memory already.

        The budget may be exceeded until its target's claim is released.
        """
        with self._was_released:
            self._free_bytes -= size_bytes

    def claim_request(self, size_bytes: int, timeout_s: float) -> bool:
        """Reserve bytes for a request, and wait for them if needed.

        :return: False if there are not enough before the timeout.
        """
        end_s = time.monotonic() + timeout_s
        with self._was_released:
            while size_bytes > self._free_bytes - self._reserved_bytes:
                remaining_s = end_s - time.monotonic()
                if remaining_s <= 0:
                    return False
                self._was_released.wait(remaining_s)
            self._free_bytes -= size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Return bytes that were claimed."""
        if not size_bytes:
            return
        with self._was_released:
            self._free_bytes += size_bytes
            self._was_released.notify_all()
