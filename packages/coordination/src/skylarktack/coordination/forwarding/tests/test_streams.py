"""Tests of streams over engines that fail."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


def _make_two_engines() -> harness.Harness:
    """Return a harness that prefers the engine ``first``."""
    env = harness.make_harness(
        harness.target('first'), harness.target('second', 'domain-b')
    )
    # A run of another instance gives the second engine the higher load.
    env.fleet.record_run(
        data.RunStatus('other', 'other', 'second', None, is_prefilling=True)
    )
    return env


class TestStandbyCopy:
    """Failover to the engine that keeps the standby copy of the run."""

    def test_standby_is_in_another_failure_domain(self) -> None:
        """Guards against a copy that is lost with the run's own domain."""
        env = harness.make_harness(
            harness.target('first'),
            harness.target('near'),
            harness.target('far', 'domain-b'),
        )
        for name in ('near', 'far'):
            env.fleet.record_run(
                data.RunStatus(name, name, name, None, is_prefilling=True)
            )
        env.client.script('first', harness.stream_script(1, 3))
        env.stream()
        delivery = env.client.sent[0].delivery
        assert delivery.standby == harness.target('far').endpoint

    def test_stream_continues_from_copy_after_reset(self) -> None:
        """Guards against a second prefill and lost or duplicate events."""
        env = _make_two_engines()
        env.client.script('first', harness.stream_script(1, 5, ending='lost'))
        env.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        outcome = env.stream()
        assert isinstance(outcome, forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 9)
        second = env.client.sent[1].delivery
        assert second.from_copy
        assert second.last_event_id == 5

    def test_prompt_is_prefilled_again_without_copy(self) -> None:
        """Guards against requesting the copy of a run without an event."""
        env = _make_two_engines()
        env.client.script('first', harness.connection_lost_script(0.5))
        env.client.script('second', harness.stream_script(1, 3))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert not env.client.sent[1].delivery.from_copy

    def test_prompt_is_prefilled_again_if_copy_is_lost(self) -> None:
        """Guards against a stream that fails because its copy was lost."""
        env = harness.make_harness(
            harness.target('first'),
            harness.target('second', 'domain-b'),
            harness.target('third', 'domain-c'),
        )
        for number, name in enumerate(('second', 'third', 'third')):
            run = f'run-{number}'
            env.fleet.record_run(
                data.RunStatus(run, run, name, None, is_prefilling=True)
            )
        env.client.script('first', harness.stream_script(1, 5, ending='lost'))
        env.client.script(
            'second', harness.answer_script(503, is_not_executed=True)
        )
        env.client.script('third', harness.stream_script(6, 9))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 9)
        assert not env.client.sent[2].delivery.from_copy

    def test_response_head_is_sent_once(self) -> None:
        """Guards against two heads in one response."""
        env = _make_two_engines()
        env.client.script('first', harness.stream_script(1, 2, ending='lost'))
        env.client.script('second', harness.stream_script(3, 4, start_s=0.05))
        env.stream()
        assert env.caller.head == harness.head()

    def test_connection_is_closed_before_failover(self) -> None:
        """Guards against two engines that work on the same stream."""
        env = _make_two_engines()
        env.client.script(
            'first', harness.stream_script(1, 5, ending='unresponsive')
        )
        env.client.unresponsive.add('first')
        env.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        env.stream()
        assert env.client.exchanges[0].is_closed


class TestSimultaneousLoss:
    """Restarts of runs that are lost with their failure domain."""

    def test_restarts_without_copy_have_random_delays(
        self,
    ) -> None:
        """Guards against a thundering herd at the engine with the least load.

        Five instances that lost a run at the same moment all restarted it at
        the only idle engine; the last prefill ended after 7 s.
        """
        waits_ms = set()
        for _ in range(20):
            env = _make_two_engines()
            env.client.script('first', harness.connection_lost_script())
            env.client.script('second', harness.stream_script(1, 3))
            assert isinstance(env.stream(), forwarding.StreamCompleted)
            lost, again = env.client.sent
            waits_ms.add(round(1000 * (again.at_s - lost.at_s), 1))
        assert len(waits_ms) > 10
        assert max(waits_ms) - min(waits_ms) <= 40

    def test_failover_to_copy_is_not_delayed(self) -> None:
        """Guards against a delay where no engine has to be chosen."""
        times_s = set()
        for _ in range(5):
            env = _make_two_engines()
            env.client.script(
                'first', harness.stream_script(1, 5, ending='lost')
            )
            env.client.script(
                'second', harness.stream_script(6, 9, start_s=0.05)
            )
            env.stream()
            times_s.add(env.client.sent[1].at_s)
        assert len(times_s) == 1


class TestStalledStreams:
    """Streams that still send bytes but make no progress."""

    @pytest.mark.parametrize('kept_alive', [b': wait\n\n', b'data: x\n\n'])
    def test_bytes_now_and_then_are_no_progress(
        self, kept_alive: bytes
    ) -> None:
        """Guards against a stalled stream that never fails over."""
        env = _make_two_engines()
        script = list(harness.stream_script(1, 3, ending='unresponsive'))
        for number in range(200):
            chunk = forwarding.BodyChunk(kept_alive)
            script.append(fakes.ScriptedEvent(1.2 + 0.1 * number, chunk))
        env.client.script('first', tuple(script))
        env.client.script('second', harness.stream_script(4, 6, start_s=0.05))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        lost, again = env.client.sent
        assert again.at_s - lost.at_s < 2.0

    def test_slow_but_sound_stream_is_not_cut(self) -> None:
        """Guards against a failover from an engine that is only slow."""
        env = _make_two_engines()
        env.client.script(
            'first', harness.stream_script(1, 40, start_s=2.0, pace_s=0.45)
        )
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first']

    def test_event_without_end_fails_over(self) -> None:
        """Guards against a stream that waits for the end of one event."""
        env = _make_two_engines()
        env.client.script('first', harness.stream_script(1, 3))
        env.client.script('second', harness.stream_script(1, 3))
        streams = forwarding.StreamForwarder(
            forwarding.StreamDependencies(
                clock=env.clock,
                targets=env.targets,
                client=env.client,
                fleet=env.fleet,
                budget=env.budget,
                quarantine=env.quarantine,
                new_splitter=_OversizedOnce,
                errors=forwarding.ErrorRecorder(env.clock, env.log),
            )
        )
        kind = data.RequestKind.STREAM
        outcome = streams.run(
            env.work(
                harness.route(kind, max_attempts=5),
                harness.request(time_limit_ms=25000.0),
            )
        )
        assert isinstance(outcome, forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first', 'second']


class _OversizedOnce:
    """Reports an oversized event to the first stream that splits."""

    _has_reported = False

    def __init__(self) -> None:
        self._is_first = not _OversizedOnce._has_reported
        _OversizedOnce._has_reported = True

    def split(self, received: bytes) -> forwarding.SplitEvents:
        """Return the single event in these bytes."""
        if self._is_first:
            return forwarding.SplitEvents((), defect='oversized')
        number = int(received.split(b'\n')[0].removeprefix(b'id: '))
        event = forwarding.StreamEvent(received, number)
        return forwarding.SplitEvents((event,))

    def has_partial(self) -> bool:
        """Return False: each chunk is one event."""
        return False


class TestUnresponsiveEngines:
    """Unresponsive engines are distinguished from slow ones."""

    def test_failover_from_failed_engine_within_max_pause(self) -> None:
        """Guards against a pause that makes the stream late."""
        env = _make_two_engines()
        env.client.script(
            'first', harness.stream_script(1, 5, ending='unresponsive')
        )
        env.client.unresponsive.add('first')
        env.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        times_s = env.caller.received_at_s
        pauses_s = [
            later - earlier
            for earlier, later in zip(times_s, times_s[1:], strict=False)
        ]
        assert max(pauses_s) < harness.PAUSE_MS / 1000

    def test_failover_from_stalled_connection_within_max_pause(self) -> None:
        """Guards against waiting on a connection without further events."""
        env = _make_two_engines()
        env.client.script(
            'first', harness.stream_script(1, 5, ending='unresponsive')
        )
        env.client.script('second', harness.stream_script(6, 9, start_s=0.05))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        times_s = env.caller.received_at_s
        assert times_s[5] - times_s[4] < harness.PAUSE_MS / 1000

    def test_no_failover_during_long_prefill(self) -> None:
        """Guards against prefills that are discarded under load."""
        env = _make_two_engines()
        env.client.queued_count = 2
        env.client.script('first', harness.stream_script(1, 3, start_s=6.0))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first']
        assert env.client.probed

    def test_failover_during_prefill_after_peer_suspicion(self) -> None:
        """Guards against waiting for seconds on a failed engine."""
        env = _make_two_engines()
        env.client.unresponsive.add('first')
        env.client.script('second', harness.stream_script(1, 3))
        original = env.client.wait

        def _wait(
            exchanges: tuple[forwarding.Exchange, ...],
            caller: forwarding.Caller,
            timeout_s: float,
        ) -> forwarding.WaitResult:
            ready = original(exchanges, caller, timeout_s)
            if len(env.client.sent) == 1:
                env.targets.report_suspicion('first')
            return ready

        env.client.wait = _wait  # type: ignore[method-assign]
        started_s = env.clock.monotonic_s()
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent[1].at_s - started_s < 0.6

    def test_failover_from_replaced_engine(self) -> None:
        """Guards against trusting a new process at the engine's address.

        It answers probes, but does not have the run.
        """
        env = _make_two_engines()
        started = dataclasses.replace(harness.target('first'), started_at_ms=1)
        env.targets.apply(data.TargetChange('first', started))
        env.client.reports['first'] = data.TargetReport(0, started_at_ms=2)
        env.client.script('second', harness.stream_script(1, 3))
        started_s = env.clock.monotonic_s()
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent[1].at_s - started_s < 2.0

    def test_failover_from_engine_without_first_event_once(self) -> None:
        """Guards against a request that hangs at a healthy engine."""
        env = _make_two_engines()
        env.client.script('first', ())
        env.client.script('second', harness.stream_script(1, 3))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first', 'second']


@dataclasses.dataclass(frozen=True)
class CorruptionCase:
    """Bytes from an engine that break off or corrupt the stream."""

    name: str
    tail: tuple[forwarding.ResponseEvent, ...]


CORRUPTION_CASES = (
    CorruptionCase(
        'within an event',
        (forwarding.BodyChunk(b'id: 3\nda'), forwarding.ResponseEnd()),
    ),
    CorruptionCase(
        'bytes that are not a response',
        (
            forwarding.ExchangeFault(
                forwarding.FaultKind.MALFORMED, 'illegal chunk'
            ),
        ),
    ),
    CorruptionCase(
        'missing id', (forwarding.BodyChunk(harness.event_bytes(4)),)
    ),
    CorruptionCase(
        'duplicate id', (forwarding.BodyChunk(harness.event_bytes(2)),)
    ),
)


class TestEventOrder:
    """Order of events: the caller receives each event once, in order."""

    @pytest.mark.parametrize(
        'case', CORRUPTION_CASES, ids=lambda case: case.name
    )
    def test_stream_continues_after_corruption(
        self, case: CorruptionCase
    ) -> None:
        """Guards against partial, missing or duplicate events."""
        env = _make_two_engines()
        start = harness.stream_script(1, 2, ending='unresponsive')
        tail = tuple(fakes.ScriptedEvent(1.2, event) for event in case.tail)
        env.client.script('first', start + tail)
        env.client.script('second', harness.stream_script(3, 6, start_s=0.05))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 6)

    def test_stream_resumes_after_last_event_id(self) -> None:
        """Guards against sending events that the caller already has."""
        env = _make_two_engines()
        env.client.script('first', harness.stream_script(5, 6))
        env.stream(
            of_request=harness.request(last_event_id=4, time_limit_ms=25000.0)
        )
        assert env.client.sent[0].delivery.last_event_id == 4
        assert env.caller.received == harness.event_range_bytes(5, 6)

    def test_resumed_stream_returns_to_its_engine(self) -> None:
        """Guards against a second prefill at another engine."""
        env = harness.make_harness(
            harness.target('a'),
            harness.target('b'),
            harness.target('c', 'domain-b'),
        )
        env.fleet.receive(
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
        env.client.script('b', harness.stream_script(5, 6))
        env.stream(
            of_request=harness.request(last_event_id=4, time_limit_ms=25000.0)
        )
        assert env.client.sent_to() == ['b']


class TestRefusals:
    """Refusals of streams; not executed is only reported if it is true."""

    def test_executed_run_is_not_refused_as_not_executed(self) -> None:
        """Guards against reporting an executed run as not executed."""
        env = harness.make_harness(harness.target('only'))
        env.client.script('only', harness.connection_lost_script(0.5))
        kind = data.RequestKind.STREAM
        outcome = env.stream(harness.route(kind, is_resumable=False))
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.TARGET_FAILED

    def test_refusal_without_engine_is_prompt(self) -> None:
        """Guards against a late refusal.

        The limit is an eighth of the latency objective.
        """
        env = harness.make_harness()
        started_s = env.clock.monotonic_s()
        outcome = env.stream()
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        waited_ms = 1000 * (env.clock.monotonic_s() - started_s)
        assert waited_ms <= harness.OBJECTIVE_MS / 8 + 100

    def test_non_resumable_stream_is_interrupted(self) -> None:
        """Guards against executing a non-idempotent request twice."""
        env = _make_two_engines()
        env.client.script('first', harness.stream_script(1, 5, ending='lost'))
        kind = data.RequestKind.STREAM
        outcome = env.stream(harness.route(kind, is_resumable=False))
        assert isinstance(outcome, forwarding.StreamInterrupted)
        assert env.client.sent_to() == ['first']

    def test_stream_ends_at_route_timeout(self) -> None:
        """Guards against streams that outlast their route's timeout."""
        env = _make_two_engines()
        kind = data.RequestKind.STREAM
        env.client.script('first', harness.stream_script(1, 500, pace_s=0.04))
        outcome = env.stream(harness.route(kind, timeout_ms=3000))
        assert isinstance(outcome, forwarding.StreamInterrupted)
        assert env.client.exchanges[0].is_closed
