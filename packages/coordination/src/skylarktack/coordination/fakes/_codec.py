"""A claim segment codec for tests that do not use the protocol layer."""

import pickle

from expression import Ok
from expression import Result

from skylarktack import state


class PickledSegmentCodec:
    """Encodes segments with pickle; only for in-memory stores."""

    def encode(self, segment: state.ClaimSegment) -> bytes:
        """Encode one segment with pickle."""
        return pickle.dumps(segment)

    def decode(
        self, value: bytes
    ) -> Result[state.ClaimSegment, state.StoreFault]:
        """Decode one segment; never returns a fault."""
        segment: state.ClaimSegment = pickle.loads(value)
        return Ok(segment)
