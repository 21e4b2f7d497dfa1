"""Tests of the datagrams between instances."""

import dataclasses

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

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
    leaving_targets=(
        data.LeavingTarget('engine-5', 1770053550000),
        data.LeavingTarget('engine-6', None),
    ),
    prompt_evidence=data.PromptEvidence(
        (data.PromptLoss('engine-7', ('p1', 'p2'), 1200),),
        (data.PromptOutput('p1', 300),),
        (data.QuarantinedPart('p2', 40, 59960, 1),),
    ),
    configuration_version=1041,
)

HEARTBEAT = data.WatchHeartbeat(
    'edge-a-1', (data.ConfirmedKind('targets', 9),)
)

CHANGE = data.StoreChange('targets', 5, 9, b'{"events":[],"at":9}')


class TestFleetCodec:
    """Messages survive a round trip; other bytes are rejected."""

    def test_report_round_trip(self) -> None:
        """Guards against fields that are read in another order."""
        assert (
            messages.decode_message(messages.encode_message(REPORT)) == REPORT
        )

    def test_report_of_an_earlier_release(self) -> None:
        """Guards against reports that are lost while releases are mixed."""
        fields = cbor2.loads(messages.encode_message(REPORT))
        without_version = dataclasses.replace(REPORT, configuration_version=0)
        earlier = messages.decode_message(cbor2.dumps(fields[:14]))
        assert earlier == without_version
        without_evidence = dataclasses.replace(
            without_version, prompt_evidence=data.PromptEvidence()
        )
        earlier = messages.decode_message(cbor2.dumps(fields[:13]))
        assert earlier == without_evidence
        earlier = messages.decode_message(cbor2.dumps(fields[:12]))
        assert earlier == dataclasses.replace(
            without_evidence, leaving_targets=()
        )

    def test_watch_messages_of_an_earlier_release(self) -> None:
        """Guards against a shared watch that stops in mixed releases."""
        for message, field_count in ((HEARTBEAT, 3), (CHANGE, 6)):
            fields = cbor2.loads(messages.encode_message(message))
            earlier = cbor2.dumps(fields[:field_count])
            assert messages.decode_message(earlier) == message

    def test_long_part_id_is_malformed(self) -> None:
        """Guards against memory that a peer fills with identifiers."""
        evidence = data.PromptEvidence(
            outputs=(data.PromptOutput('p' * 65, 300),)
        )
        report = dataclasses.replace(REPORT, prompt_evidence=evidence)
        datagram = messages.encode_message(report)
        assert messages.decode_message(datagram) is None

    def test_watch_message_round_trip(self) -> None:
        """Guards against store changes that are altered by the encoding."""
        change = data.StoreChange('targets', 5, 9, b'{"events":[],"at":9}')
        after_outage = data.StoreChange(
            'targets', 5, 9, b'', follows_outage=True, era=3
        )
        heartbeat = data.WatchHeartbeat(
            'edge-a-1',
            (
                data.ConfirmedKind('targets', 9),
                data.ConfirmedKind('routes', 4, era=3),
            ),
        )
        broadcast = data.BroadcastMessage(
            messages.encode_message(change),
            (data.Address('10.1.0.5', 7200), data.Address('10.1.0.6', 7200)),
        )
        for message in (change, after_outage, heartbeat, broadcast):
            datagram = messages.encode_message(message)
            assert messages.decode_message(datagram) == message

    def test_move_report_round_trip(self) -> None:
        """Guards against evidence that is altered by the encoding."""
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
                latencies=(
                    data.LatencyHistogram('peek', 'v2', (0, 0, 4), (0, 1)),
                    data.LatencyHistogram('book', 'v1', (0, 70)),
                ),
            ),
            age_ms=2500,
            is_shifting=False,
            stop_reason='2 of 6 attempts failed.',
        )
        datagram = messages.encode_message(report)
        assert messages.decode_message(datagram) == report
        # Earlier releases send no latency histograms.
        earlier = cbor2.dumps(cbor2.loads(datagram)[:12])
        counts = dataclasses.replace(report.counts, latencies=())
        assert messages.decode_message(earlier) == dataclasses.replace(
            report, counts=counts
        )

    def test_move_report_size(self) -> None:
        """Guards against per-route evidence that saturates a link.

        A leader among 340 instances receives 38 reports in each interval, at
        9 KB/s. An interval of six seconds leaves 1,421 bytes for each report.
        """
        rows = []
        histograms = []
        for version in ('v1.7.30', 'v1.7.31'):
            for route in ('r-cguk9wh', 'r-cn9r7d5', 'r-x81kq2a'):
                histograms.append(
                    data.LatencyHistogram(
                        route,
                        version,
                        (0, 0, 3, 40, 310, 2120, 6215, 5010, 1600, 240, 21, 2),
                        (0, 0, 1, 7, 21),
                    )
                )
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
            counts=data.MoveCounts(
                90000, 3000, 18, tuple(rows), tuple(histograms)
            ),
            age_ms=9500,
            is_shifting=False,
            stop_reason='',
        )
        assert len(messages.encode_message(report)) < 6 * 9000 / 38

    def test_report_size(self) -> None:
        """Guards against reports that exceed the bandwidth of a link.

        An instance sends 20 datagrams a second; at 200 bytes each, 10 of the
        14 KB/s that control traffic may use are left.
        """
        assert len(messages.encode_message(REPORT)) < 200

    @hypothesis.given(strategies.binary(max_size=300))
    def test_random_bytes_do_not_raise(self, datagram: bytes) -> None:
        """Guards against a task that fails on a foreign datagram."""
        decoded = messages.decode_message(datagram)
        assert decoded is None or isinstance(decoded, data.FleetMessage)

    @pytest.mark.parametrize(
        ('index', 'value'),
        [
            (2, '10.1.0'),
            (2, 'a name'),
            (3, 0),
            (3, 99999),
            (3, -1),
            (3, 1e400),
            (4, float('nan')),
            (5, 2**70),
            (9, float('inf')),
            (9, 10**12),
            (9, -5),
            (9, True),
            (11, [['pool', 2**90, 1]]),
        ],
    )
    def test_values_out_of_range(self, index: int, value: object) -> None:
        """Guards against reports that fail in the tasks that use them.

        A port out of range ended the task that reports to the peers.
        """
        fields = list(cbor2.loads(messages.encode_message(REPORT)))
        fields[index] = value
        assert messages.decode_message(cbor2.dumps(fields)) is None

    @hypothesis.given(
        strategies.integers(0, 12),
        strategies.recursive(
            strategies.none()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5)
            | strategies.binary(max_size=5),
            lambda nested: strategies.lists(nested, max_size=3),
            max_leaves=6,
        ),
    )
    def test_odd_fields_do_not_raise(self, index: int, value: object) -> None:
        """Guards against a task that fails on a peer of another release."""
        for message in (REPORT, HEARTBEAT, CHANGE):
            fields = list(cbor2.loads(messages.encode_message(message)))
            fields[min(index, len(fields) - 1)] = value
            messages.decode_message(cbor2.dumps(fields))

    @pytest.mark.parametrize('start', [b'\x81', b'\xa1\x01', b'\xc1', b'\x9f'])
    def test_deep_nesting_is_rejected(self, start: bytes) -> None:
        """Guards against a datagram that exhausts the stack."""
        assert messages.decode_message(start * 30000) is None

    @hypothesis.given(strategies.integers(0, 200))
    def test_truncated_report_is_rejected(self, length: int) -> None:
        """Guards against a report read from an incomplete datagram."""
        complete = messages.encode_message(REPORT)
        truncated = complete[: min(length, len(complete) - 1)]
        assert messages.decode_message(truncated) is None


class TestObservations:
    """Observations and demands in reports."""

    def test_they_survive_the_wire(self) -> None:
        """Guards against figures that change places."""
        report = dataclasses.replace(
            REPORT,
            observations=(
                data.TargetObservation('a', 1000, 80_000, 3, 4, 1, 20, 5, 2),
                data.TargetObservation('b', None),
            ),
            demands=(data.ServiceDemand('pool', 'dealer', 7, 1000),),
        )
        datagram = messages.encode_message(report)
        assert messages.decode_message(datagram) == report

    @pytest.mark.parametrize(
        'entry',
        [
            ['a', None, -1, 1, 0, 0, None, 0, 0],
            ['a', None, 10**12, 1, 0, 0, None, 0, 0],
            ['a', None, 1, 'x', 0, 0, None, 0, 0],
            ['x' * 1000, None, 1, 1, 0, 0, None, 0, 0],
            ['a', None],
            7,
            None,
        ],
    )
    def test_a_bad_entry_is_left_out_alone(self, entry: object) -> None:
        """Guards against losing a report for one odd figure in it."""
        sound = data.TargetObservation('b', None, 1000, 1)
        fields = cbor2.loads(
            messages.encode_message(
                dataclasses.replace(REPORT, observations=(sound,))
            )
        )
        fields[15] = [entry, *fields[15]]
        decoded = messages.decode_message(cbor2.dumps(fields))
        assert isinstance(decoded, data.InstanceReport)
        assert decoded.observations == (sound,)
