"""Tests of the encoding of claim segments and forwarded claims."""

import pytest

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import once

_RECORD = state.ClaimRecord(
    key=state.ClaimKey(state.OrganisationName('small'), 'key-1'),
    claim_id='claim-1',
    fingerprint=b'\x00\x01',
    instance=state.InstanceName('instance-0'),
    phase=state.ClaimPhase.ANSWERED,
    claimed_s=1000.5,
    changed_s=1001.0,
    targets=(state.TargetName('service-0'),),
    answer=state.ServiceResponse(201, (('Content-Type', 'a/b'),), b'{}'),
    note='',
)
_SEGMENT = state.ClaimSegment(
    (state.SealedSegment('older', 999.0, 10, True),), (_RECORD,)
)
#: The segment as stored, which other releases must be able to read.
_GOLDEN = (
    '83018184656f6c646572fb408f3800000000000af58158638b65736d616c'
    '6c656b65792d3167636c61696d2d314200016a696e7374616e63652d3068'
    '616e737765726564fb408f440000000000fb408f48000000000081697365'
    '72766963652d308318c981826c436f6e74656e742d5479706563612f6242'
    '7b7d60'
)


class TestClaimEncoding:
    """Guards against claims that another release or instance misreads."""

    def test_segment_round_trip(self) -> None:
        """A segment survives a round trip and its stored bytes are fixed."""
        codec = protocol.CborSegmentCodec()
        assert codec.decode(codec.encode(_SEGMENT)).ok == _SEGMENT
        assert codec.encode(_SEGMENT).hex() == _GOLDEN

    @pytest.mark.parametrize('value', [b'', b'\x01', b'\x83\x02\x80\x80'])
    def test_malformed_segment(self, value: bytes) -> None:
        """A malformed segment is a fault, never an empty segment."""
        decoded = protocol.CborSegmentCodec().decode(value)
        assert decoded.error.kind is state.StoreFaultKind.UNAVAILABLE

    @pytest.mark.parametrize(
        'message',
        [
            once.ClaimForwardRequest(1, (_RECORD,), 400, True),
            once.ClaimForwardResponse((_RECORD, None)),
            once.ClaimForwardResponse(fault='down'),
        ],
    )
    def test_peer_message_round_trip(self, message: object) -> None:
        """Messages of forwarded claims survive a round trip."""
        codec = protocol.PeerCodec(protocol.PEER_MESSAGES)
        decoded = codec.decode(codec.encode(protocol.Frame(message, 7)))
        assert decoded.ok == protocol.Frame(message, 7)
