"""How long a connection is read on after a refusal, while its caller sends.

A close with unread bytes resets the connection (RFC 9112, 9.6), and a caller
that reads only after it has sent everything would lose the refusal.
"""

#: Maximum time, and the longest pause within it.
MAX_LINGER_S = 30.0
MAX_PAUSE_S = 5.0

#: Maximum size of what is read and dropped.
MAX_LINGER_BYTES = 64 * 1024 * 1024


class Lingering:
    """Bounds on what is still read of one refused request."""

    def __init__(self, now_s: float) -> None:
        self._end_s = now_s + MAX_LINGER_S
        self._stop_end_s = now_s + MAX_PAUSE_S
        self._pause_end_s = now_s + MAX_PAUSE_S
        self._left_bytes = MAX_LINGER_BYTES

    def record_received(self, size_bytes: int, now_s: float) -> None:
        """Count received bytes."""
        self._left_bytes -= size_bytes
        self._pause_end_s = now_s + MAX_PAUSE_S

    def remaining_s(self, now_s: float, is_stopping: bool = False) -> float:
        """Return how long to wait for more; not positive at the end.

        :param is_stopping: whether the process stops, which a refused caller
            may not hold up for longer than a pause.
        """
        if self._left_bytes <= 0:
            return 0.0
        end_s = min(self._end_s, self._pause_end_s)
        if is_stopping:
            end_s = min(end_s, self._stop_end_s)
        return end_s - now_s
