"""What a connection of a caller needs from the part that serves requests."""

from typing import Protocol

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data


class FrontHandler(Protocol):
    """Handles the requests of a connection."""

    @property
    def is_stopping(self) -> bool:
        """Return whether to close connections after the current response."""
        ...

    def limits(self, began_at_s: float) -> data.FrontLimits:
        """Return the size and time limits for a caller.

        :param began_at_s: monotonic time at which the caller began to wait
            or to send.
        """
        ...

    def handle(
        self, request: data.FrontRequest, caller: forwarding.Caller
    ) -> forwarding.StreamOutcome:
        """Serve one request.

        :return: the response to send, or how the stream ended.
        """
        ...
