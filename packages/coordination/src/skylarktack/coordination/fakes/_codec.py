"""An encoding of claims for tests that need no other layer."""

import pickle

from expression import Ok
from expression import Result

from skylarktack import state


class PickledSegmentCodec:
    """Encodes segments by pickle; only for stores in memory."""

    def encode(self, segment: state.ClaimSegment) -> bytes:
        """Encode one segment."""
        return pickle.dumps(segment)

    def decode(
        self, value: bytes
    ) -> Result[state.ClaimSegment, state.StoreFault]:
        """Decode one segment."""
        segment: state.ClaimSegment = pickle.loads(value)
        return Ok(segment)
