"""Datagrams among instances."""

import hypothesis
from hypothesis import strategies

from skylarktack import state
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data

REPORT = data.FleetReport(
    instance='edge-a-1',
    endpoint=data.Address('10.1.0.19', 7200),
    started_at_ms=1770053550000,
    sequence=7,
    is_full=True,
    runs=(
        data.RunNotice('a1', 's1', 'engine-1', 'engine-2', True),
        data.RunNotice('a2', 's2', 'engine-1', None, False, True),
    ),
    lost_targets=('engine-3',),
    next_report_ms=1000,
    gone_targets=('engine-4',),
    counts=(data.RepeatCounts('pool', 12, 3),),
)


class TestFleetCodec:
    """What is sent is what is taken; anything else is nothing."""

    def test_round_trip(self) -> None:
        """Guards against fields that change places."""
        assert (
            messages.decode_message(messages.encode_message(REPORT)) == REPORT
        )

    def test_changes_and_beats(self) -> None:
        """Guards against store answers that change on the way."""
        change = data.StoreChange('targets', 5, 9, b'{"events":[],"at":9}')
        late = data.StoreChange('targets', 5, 9, b'', follows_outage=True)
        beat = data.StoreBeat(
            'edge-a-1',
            (
                data.ConfirmedKind('targets', 9),
                data.ConfirmedKind('routes', 4),
            ),
        )
        spread = data.SpreadMessage(
            messages.encode_message(change),
            (data.Address('10.1.0.5', 7200), data.Address('10.1.0.6', 7200)),
        )
        for message in (change, late, beat, spread):
            datagram = messages.encode_message(message)
            assert messages.decode_message(datagram) == message

    def test_moves(self) -> None:
        """Guards against evidence that changes on the way."""
        report = data.MoveReport(
            instance='edge-a-1',
            service='pool',
            to_version='v2',
            scope=data.MoveScope.GROUP,
            counts=data.MoveCounts(
                request_count=40,
                sent_count=6,
                member_count=7,
                rows=(
                    state.EvidenceRow(
                        version=state.VersionName('v2'),
                        failure_domain=state.FailureDomain('zone-a'),
                        attempt_count=6,
                        error_count=1,
                        lost_count=1,
                        lost_targets=(state.TargetName('i-1'),),
                        first_token=state.LatencySums(4, 12.5, 40.25),
                    ),
                ),
            ),
            age_ms=2500,
            is_shifting=False,
            stop_reason='2 of 6 attempts failed.',
        )
        datagram = messages.encode_message(report)
        assert messages.decode_message(datagram) == report

    def test_size(self) -> None:
        """Guards against reports that outgrow a datagram's share of a link.

        An instance sends 20 datagrams a second; 200 bytes each leave 10 of
        the 14 KB/s that control may take.
        """
        assert len(messages.encode_message(REPORT)) < 200

    @hypothesis.given(strategies.binary(max_size=300))
    def test_other_bytes_are_no_report(self, datagram: bytes) -> None:
        """Guards against a task that ends on a foreign datagram."""
        decoded = messages.decode_message(datagram)
        assert decoded is None or isinstance(decoded, data.FleetMessage)

    @hypothesis.given(strategies.integers(0, 200))
    def test_a_cut_report_is_no_report(self, length: int) -> None:
        """Guards against a datagram that arrives in part."""
        whole = messages.encode_message(REPORT)
        cut = whole[: min(length, len(whole) - 1)]
        assert messages.decode_message(cut) is None
