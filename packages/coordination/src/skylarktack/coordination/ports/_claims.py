"""Encoding of claims, as decisions see it."""

from typing import Protocol

from expression import Result

from skylarktack import state


class SegmentCodec(Protocol):
    """Encodes the objects of claim buckets."""

    def encode(self, segment: state.ClaimSegment) -> bytes:
        """Encode one segment."""
        ...

    def decode(
        self, value: bytes
    ) -> Result[state.ClaimSegment, state.StoreFault]:
        """Decode one segment; a malformed one is ``UNAVAILABLE``."""
        ...
