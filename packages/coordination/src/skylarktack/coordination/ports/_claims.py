"""Port to the encoding of claim segments."""

from typing import Protocol

from expression import Result

from skylarktack import state


class SegmentCodec(Protocol):
    """Codec for the stored segments of claim buckets."""

    def encode(self, segment: state.ClaimSegment) -> bytes:
        """Return the value to store for a segment."""
        ...

    def decode(
        self, value: bytes
    ) -> Result[state.ClaimSegment, state.StoreFault]:
        """Return the stored segment; ``UNAVAILABLE`` if it is malformed."""
        ...
