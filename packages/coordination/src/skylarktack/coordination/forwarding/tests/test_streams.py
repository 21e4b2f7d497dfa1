"""Streams over engines that fail, by fault and moment."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


def _pair() -> harness.Harness:
    """Return a bed whose first choice is the engine ``first``."""
    desk = harness.make_harness(
        harness.target('first'), harness.target('second', 'domain-b')
    )
    # A run of another instance makes the second engine the busier one.
    desk.fleet.note_run(
        data.RunStatus('other', 'other', 'second', None, is_prefilling=True)
    )
    return desk


class TestContinuation:
    """A stream goes on at the engine that keeps a copy of the run."""

    def test_names_a_standby_in_another_domain(self) -> None:
        """Guards against a copy that dies with the run's own domain."""
        desk = harness.make_harness(
            harness.target('first'),
            harness.target('near'),
            harness.target('far', 'domain-b'),
        )
        for name in ('near', 'far'):
            desk.fleet.note_run(
                data.RunStatus(name, name, name, None, is_prefilling=True)
            )
        desk.client.script('first', harness.stream_script(1, 3))
        desk.stream()
        delivery = desk.client.sent[0].delivery
        assert delivery.standby == harness.target('far').endpoint

    def test_goes_on_from_the_copy_after_a_reset(self) -> None:
        """Guards against a prompt that is read again, or a torn answer."""
        desk = _pair()
        desk.client.script('first', harness.stream_script(1, 5, ending='lost'))
        desk.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        outcome = desk.stream()
        assert isinstance(outcome, forwarding.StreamCompleted)
        assert desk.caller.received == harness.event_range_bytes(1, 9)
        second = desk.client.sent[1].delivery
        assert second.from_copy
        assert second.last_event_id == 5

    def test_reads_again_where_no_copy_can_be(self) -> None:
        """Guards against asking for the copy of a run without an event."""
        desk = _pair()
        desk.client.script('first', harness.connection_lost_script(0.5))
        desk.client.script('second', harness.stream_script(1, 3))
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        assert not desk.client.sent[1].delivery.from_copy

    def test_reads_again_when_the_copy_is_gone(self) -> None:
        """Guards against a stream that ends because its copy was lost."""
        desk = harness.make_harness(
            harness.target('first'),
            harness.target('second', 'domain-b'),
            harness.target('third', 'domain-c'),
        )
        for number, name in enumerate(('second', 'third', 'third')):
            run = f'run-{number}'
            desk.fleet.note_run(
                data.RunStatus(run, run, name, None, is_prefilling=True)
            )
        desk.client.script('first', harness.stream_script(1, 5, ending='lost'))
        desk.client.script(
            'second', harness.answer_script(503, is_not_run=True)
        )
        desk.client.script('third', harness.stream_script(6, 9))
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        assert desk.caller.received == harness.event_range_bytes(1, 9)
        assert not desk.client.sent[2].delivery.from_copy

    def test_keeps_the_head_of_the_first_engine(self) -> None:
        """Guards against two heads in one answer."""
        desk = _pair()
        desk.client.script('first', harness.stream_script(1, 2, ending='lost'))
        desk.client.script('second', harness.stream_script(3, 4, start_s=0.05))
        desk.stream()
        assert desk.caller.head == harness.head()

    def test_closes_the_engine_before_the_next(self) -> None:
        """Guards against two engines that work on one run."""
        desk = _pair()
        desk.client.script(
            'first', harness.stream_script(1, 5, ending='silent')
        )
        desk.client.silent.add('first')
        desk.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        desk.stream()
        assert desk.client.exchanges[0].is_closed


class TestLostTogether:
    """Runs that a failure domain takes with it start again apart."""

    def test_runs_without_a_copy_start_again_at_different_moments(
        self,
    ) -> None:
        """Guards against a herd at the engine with the least load.

        Five instances that lost a prompt at the same moment started it again
        at the one free engine; the last of them was read after 7 s.
        """
        waits_ms = set()
        for _ in range(20):
            desk = _pair()
            desk.client.script('first', harness.connection_lost_script())
            desk.client.script('second', harness.stream_script(1, 3))
            assert isinstance(desk.stream(), forwarding.StreamCompleted)
            lost, again = desk.client.sent
            waits_ms.add(round(1000 * (again.at_s - lost.at_s), 1))
        assert len(waits_ms) > 10
        assert max(waits_ms) - min(waits_ms) <= 40

    def test_a_run_goes_on_at_its_copy_at_once(self) -> None:
        """Guards against a pause where no choice is made."""
        moments = set()
        for _ in range(5):
            desk = _pair()
            desk.client.script(
                'first', harness.stream_script(1, 5, ending='lost')
            )
            desk.client.script(
                'second', harness.stream_script(6, 9, start_s=0.05)
            )
            desk.stream()
            moments.add(desk.client.sent[1].at_s)
        assert len(moments) == 1


class TestSilence:
    """An engine that falls silent is told from one that is slow."""

    def test_leaves_a_dead_engine_within_the_pause(self) -> None:
        """Guards against a pause that makes the whole stream late."""
        desk = _pair()
        desk.client.script(
            'first', harness.stream_script(1, 5, ending='silent')
        )
        desk.client.silent.add('first')
        desk.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        moments = desk.caller.received_at_s
        pauses = [
            later - earlier
            for earlier, later in zip(moments, moments[1:], strict=False)
        ]
        assert max(pauses) < harness.PAUSE_MS / 1000

    def test_leaves_a_hanging_engine_within_the_pause(self) -> None:
        """Guards against a connection that went silent for good."""
        desk = _pair()
        desk.client.script(
            'first', harness.stream_script(1, 5, ending='silent')
        )
        desk.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        moments = desk.caller.received_at_s
        assert moments[5] - moments[4] < harness.PAUSE_MS / 1000

    def test_stays_with_an_engine_that_reads_a_long_prompt(self) -> None:
        """Guards against prompts that are read in vain under load."""
        desk = _pair()
        desk.client.queued_count = 2
        desk.client.script('first', harness.stream_script(1, 3, start_s=6.0))
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        assert desk.client.sent_to() == ['first']
        assert desk.client.probed

    def test_leaves_a_reading_engine_that_a_peer_found_lost(self) -> None:
        """Guards against seconds of waiting for an engine that is gone."""
        desk = _pair()
        desk.client.silent.add('first')
        desk.client.script('second', harness.stream_script(1, 3))
        original = desk.client.wait

        def _wait(
            exchanges: tuple[forwarding.Exchange, ...],
            caller: forwarding.Caller,
            timeout_s: float,
        ) -> forwarding.WaitResult:
            ready = original(exchanges, caller, timeout_s)
            if len(desk.client.sent) == 1:
                desk.targets.report_suspicion('first')
            return ready

        desk.client.wait = _wait  # type: ignore[method-assign]
        started_s = desk.clock.monotonic_s()
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        assert desk.client.sent[1].at_s - started_s < 0.6

    def test_leaves_an_engine_that_was_replaced(self) -> None:
        """Guards against probes that a new process at the address answers."""
        desk = _pair()
        started = dataclasses.replace(harness.target('first'), started_at_ms=1)
        desk.targets.apply(data.TargetChange('first', started))
        desk.client.reports['first'] = data.TargetReport(0, started_at_ms=2)
        desk.client.script('second', harness.stream_script(1, 3))
        started_s = desk.clock.monotonic_s()
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        assert desk.client.sent[1].at_s - started_s < 2.0

    def test_leaves_an_engine_that_makes_no_first_event_once(self) -> None:
        """Guards against a request that hangs at a healthy engine."""
        desk = _pair()
        desk.client.script('first', ())
        desk.client.script('second', harness.stream_script(1, 3))
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        assert desk.client.sent_to() == ['first', 'second']


@dataclasses.dataclass(frozen=True)
class BreakCase:
    """An end of the engine's bytes that is no end of the stream."""

    name: str
    tail: tuple[forwarding.ResponseEvent, ...]


BREAK_CASES = (
    BreakCase(
        'within an event',
        (forwarding.BodyChunk(b'id: 3\nda'), forwarding.ResponseEnd()),
    ),
    BreakCase(
        'bytes that are no answer',
        (
            forwarding.ExchangeFault(
                forwarding.FaultKind.MALFORMED, 'illegal chunk'
            ),
        ),
    ),
    BreakCase(
        'an id is missing', (forwarding.BodyChunk(harness.event_bytes(4)),)
    ),
    BreakCase(
        'an id comes twice', (forwarding.BodyChunk(harness.event_bytes(2)),)
    ),
)


class TestOrder:
    """The caller receives each event once and in order."""

    @pytest.mark.parametrize('case', BREAK_CASES, ids=lambda case: case.name)
    def test_goes_on_after_a_break(self, case: BreakCase) -> None:
        """Guards against torn, missing or doubled events."""
        desk = _pair()
        start = harness.stream_script(1, 2, ending='silent')
        tail = tuple(fakes.ScriptedEvent(1.2, event) for event in case.tail)
        desk.client.script('first', start + tail)
        desk.client.script('second', harness.stream_script(3, 6, start_s=0.05))
        assert isinstance(desk.stream(), forwarding.StreamCompleted)
        assert desk.caller.received == harness.event_range_bytes(1, 6)

    def test_goes_on_for_a_caller_that_came_back(self) -> None:
        """Guards against events that the caller already has."""
        desk = _pair()
        desk.client.script('first', harness.stream_script(5, 6))
        desk.stream(
            of_request=harness.request(last_event_id=4, time_limit_ms=25000.0)
        )
        assert desk.client.sent[0].delivery.last_event_id == 4
        assert desk.caller.received == harness.event_range_bytes(5, 6)

    def test_a_caller_comes_back_to_the_engine_it_had(self) -> None:
        """Guards against a prompt that is read again at another engine."""
        desk = harness.make_harness(
            harness.target('a'),
            harness.target('b'),
            harness.target('c', 'domain-b'),
        )
        desk.fleet.receive(
            data.InstanceReport(
                instance='instance-1',
                endpoint=data.Address('10.1.0.2', 7200),
                started_at_ms=1,
                sequence=1,
                is_full=False,
                runs=(data.RunStatus('old', 'own', 'b', None, False, True),),
                lost_targets=(),
                next_report_ms=1000,
            )
        )
        desk.client.script('b', harness.stream_script(5, 6))
        desk.stream(
            of_request=harness.request(last_event_id=4, time_limit_ms=25000.0)
        )
        assert desk.client.sent_to() == ['b']


class TestRefusals:
    """A stream that was not run says so, and only then."""

    def test_a_lost_run_is_not_called_not_run(self) -> None:
        """Guards against a promise for a run that an engine made."""
        desk = harness.make_harness(harness.target('only'))
        desk.client.script('only', harness.connection_lost_script(0.5))
        kind = data.RequestKind.STREAM
        outcome = desk.stream(harness.route(kind, is_resumable=False))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.TARGET_FAILED

    def test_no_engine_is_told_within_an_eighth(self) -> None:
        """Guards against callers that wait long for a refusal."""
        desk = harness.make_harness()
        started_s = desk.clock.monotonic_s()
        outcome = desk.stream()
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        waited_ms = 1000 * (desk.clock.monotonic_s() - started_s)
        assert waited_ms <= harness.OBJECTIVE_MS / 8 + 100

    def test_a_stream_that_may_not_resume_is_broken_off(self) -> None:
        """Guards against a second run of a request that may run once."""
        desk = _pair()
        desk.client.script('first', harness.stream_script(1, 5, ending='lost'))
        kind = data.RequestKind.STREAM
        outcome = desk.stream(harness.route(kind, is_resumable=False))
        assert isinstance(outcome, forwarding.StreamInterrupted)
        assert desk.client.sent_to() == ['first']

    def test_ends_at_the_time_limit(self) -> None:
        """Guards against streams that outlast their route's time."""
        desk = _pair()
        kind = data.RequestKind.STREAM
        desk.client.script('first', harness.stream_script(1, 500, pace_s=0.04))
        outcome = desk.stream(harness.route(kind, timeout_ms=3000))
        assert isinstance(outcome, forwarding.StreamInterrupted)
        assert desk.client.exchanges[0].is_closed
