"""Datagrams among instances."""

import hypothesis
from hypothesis import strategies

from skylarktack import state
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data

REPORT = data.InstanceReport(
    instance='edge-a-1',
    endpoint=data.Address('10.1.0.19', 7200),
    started_at_ms=1770053550000,
    sequence=7,
    is_full=True,
    runs=(
        data.RunStatus('a1', 's1', 'engine-1', 'engine-2', True),
        data.RunStatus('a2', 's2', 'engine-1', None, False, True),
    ),
    lost_targets=('engine-3',),
    next_report_ms=1000,
    replaced_targets=('engine-4',),
    counts=(data.RetryCounts('pool', 12, 3),),
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
        beat = data.WatchHeartbeat(
            'edge-a-1',
            (
                data.ConfirmedKind('targets', 9),
                data.ConfirmedKind('routes', 4),
            ),
        )
        spread = data.BroadcastMessage(
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
                    data.RouteEvidence(
                        'peek',
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
                    data.RouteEvidence(
                        '',
                        state.EvidenceRow(
                            version=state.VersionName('v1'),
                            failure_domain=state.FailureDomain('zone-a'),
                            attempt_count=70,
                            first_token=state.LatencySums(70, 260.125, 975.0),
                        ),
                    ),
                ),
            ),
            age_ms=2500,
            is_shifting=False,
            stop_reason='2 of 6 attempts failed.',
        )
        datagram = messages.encode_message(report)
        assert messages.decode_message(datagram) == report

    def test_size_of_move_evidence(self) -> None:
        """Guards against evidence of each route that fills a link.

        A leader among 340 instances hears 38 reports in each turn and takes
        9 KB/s of them. A turn of six seconds leaves 1,421 bytes for each.
        """
        rows = []
        for version in ('v1.7.30', 'v1.7.31'):
            for number in range(13):
                for route in ('r-cguk9wh', 'r-cn9r7d5', 'r-x81kq2a'):
                    row = state.EvidenceRow(
                        version=state.VersionName(version),
                        failure_domain=state.FailureDomain(f'luzon-{number}'),
                        attempt_count=1200,
                        error_count=3,
                        first_token=state.LatencySums(1197, 4123.5, 14800.25),
                    )
                    rows.append(data.RouteEvidence(route, row))
        report = data.MoveReport(
            instance='edge-a-1',
            service='pool',
            to_version='v1.7.31',
            scope=data.MoveScope.GROUP,
            counts=data.MoveCounts(90000, 3000, 18, tuple(rows)),
            age_ms=9500,
            is_shifting=False,
            stop_reason='',
        )
        assert len(messages.encode_message(report)) < 6 * 9000 / 38

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
