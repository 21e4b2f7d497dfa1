"""Tests of the encodings of move records and messages."""

from skylarktack import protocol
from skylarktack import state

_RECORD = state.MoveRecord(
    name='digest-2',
    route=state.RouteName('digest'),
    from_version=state.VersionName('model-1'),
    to_version=state.VersionName('model-2'),
    start_s=1.5,
    deadline_s=99.0,
    configuration_revision=7,
    lease=state.MoveLease(state.InstanceName('one'), 3, 4.0, 2.0),
    phase=state.MovePhase.SHIFTING,
    share=0.05,
    stage=1,
    history=(
        state.MoveStep(
            2.0, state.InstanceName('one'), state.MovePhase.LOADING, 0.0, 'x'
        ),
    ),
)


class TestMoveEncodings:
    """Guards against records and messages altered by the encoding."""

    def test_record_round_trip(self) -> None:
        """A record survives a round trip; a newer field is ignored."""
        codec = protocol.JsonMoveCodec()
        encoded = codec.encode(_RECORD)
        assert codec.decode(encoded).ok == _RECORD
        newer = encoded[:-1] + b',"later_field":1}'
        assert codec.decode(newer).ok == _RECORD
        assert codec.decode(b'{}').is_error()

    def test_message_round_trip(self) -> None:
        """Each peer message about moves survives a round trip."""
        codec = protocol.PeerCodec(protocol.PEER_MESSAGES)
        row = state.EvidenceRow(
            version=state.VersionName('model-2'),
            failure_domain=state.FailureDomain('domain-1'),
            lost_targets=(state.TargetName('engine-1'),),
            first_token=state.LatencySums(2, 9.5, 45.5),
        )
        for message in (
            state.MoveNotice(12, _RECORD),
            state.MoveStop('digest-2', 3, 'Slow.'),
            state.EvidenceReport(
                'digest-2', 1, state.InstanceName('two'), (row,), 'Slow.'
            ),
        ):
            encoded = codec.encode(protocol.Frame(message))
            assert codec.decode(encoded).ok.message == message
