"""Engines that send nothing for a while and then go on with their runs."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

#: Pause of a sound engine, longer than the failover timeout.
PAUSE_S = 1.2


def _pausing_script(
    pauses_s: tuple[float, ...] = (PAUSE_S,),
) -> tuple[fakes.ScriptedEvent, ...]:
    """Return a stream with three events before and after each pause."""
    script = [fakes.ScriptedEvent(1.0, harness.head())]
    at_s = 1.0
    event_id = 0
    for pause_s in (0.0, *pauses_s):
        at_s += pause_s
        for _ in range(3):
            event_id += 1
            at_s += 0.04
            chunk = forwarding.BodyChunk(harness.event_bytes(event_id))
            script.append(fakes.ScriptedEvent(at_s, chunk))
    script.append(fakes.ScriptedEvent(at_s, forwarding.ResponseEnd()))
    return tuple(script)


def _make_env(*names: str, allowance: float = 100.0) -> harness.Harness:
    """Return a harness that prefers the first engine."""
    targets = [harness.target(name) for name in names]
    env = harness.make_harness(*targets, allowance=allowance)
    for name in names[1:]:
        env.fleet.record_run(
            data.RunStatus(name, name, name, None, is_prefilling=True)
        )
    return env


def _spend_budget(env: harness.Harness) -> None:
    while env.budget.claim_retry('pool'):
        continue


def _at_first_event(
    env: harness.Harness, action: Callable[[harness.Harness], None]
) -> None:
    """Do something when the first event of the stream arrives."""
    original = env.caller.start_stream

    def _start_stream(head: data.ResponseHead) -> bool:
        action(env)
        return original(head)

    env.caller.start_stream = _start_stream  # type: ignore[method-assign]


def _eject_second(env: harness.Harness) -> None:
    # Each failure in a row doubles the time for which an engine is ejected.
    for _ in range(3):
        env.targets.report_failure(
            harness.target('second'), 'route', 'reset', is_loss=False
        )


def _do_nothing(env: harness.Harness) -> None:
    pass


@dataclasses.dataclass(frozen=True)
class NoWayOnCase:
    """Why a run cannot go on at another engine."""

    name: str
    engines: tuple[str, ...] = ('first', 'second')

    #: What happens at the first event.
    action: Callable[[harness.Harness], None] = _do_nothing


NO_WAY_ON_CASES = (
    NoWayOnCase('retry budget spent', action=_spend_budget),
    NoWayOnCase('no other engine', engines=('first',)),
    NoWayOnCase('other engine ejected', action=_eject_second),
)


class TestPausingEngines:
    """A pause ends a run only if it can go on elsewhere."""

    @pytest.mark.parametrize('answers_probes', [True, False])
    @pytest.mark.parametrize(
        'case', NO_WAY_ON_CASES, ids=lambda case: case.name
    )
    def test_stream_waits_for_its_engine(
        self, case: NoWayOnCase, answers_probes: bool
    ) -> None:
        """Guards against streams that are cut though their engine goes on."""
        env = _make_env(*case.engines)
        env.client.script('first', _pausing_script())
        if not answers_probes:
            env.client.unresponsive.add('first')
        _at_first_event(env, case.action)
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first']
        assert env.caller.received == harness.event_range_bytes(1, 6)

    def test_unread_events_of_a_slow_caller(self) -> None:
        """Guards against leaving an engine whose events are not read yet."""
        env = _make_env('first', 'second')
        env.client.script('first', harness.stream_script(1, 30))
        original = env.caller.send_events

        def _send_events(events: bytes) -> bool:
            # Also the time of a suspension of this process.
            if len(env.caller.received_at_s) == 2:
                env.clock.advance(PAUSE_S)
            return original(events)

        env.caller.send_events = _send_events  # type: ignore[method-assign]
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first']
        messages = env.log.messages('target')
        assert set(messages) == {forwarding.TargetAdded.message}

    def test_prefill_is_probed_when_its_domain_is_suspected(self) -> None:
        """Guards against waiting for an engine that failed with its domain.

        An engine that is lost without a closed connection was only probed
        after a third of the objective.
        """
        env = _make_env('first', 'second')
        for name in ('lost-1', 'lost-2'):
            env.targets.apply(data.TargetChange(name, harness.target(name)))
        far = harness.target('far', 'domain-b')
        env.targets.apply(data.TargetChange('far', far))
        env.client.script('far', harness.stream_script(1, 3))
        env.client.script('first', harness.stream_script(1, 3, start_s=60.0))
        env.client.unresponsive.add('first')
        original = env.client.send

        def _send(*arguments: Any) -> Any:
            exchange = original(*arguments)
            if env.client.sent_to() == ['first']:
                for name in ('lost-1', 'lost-2'):
                    env.clock.advance(0.1)
                    env.targets.report_suspicion(name)
            return exchange

        env.client.send = _send  # type: ignore[method-assign, assignment]
        began_at_s = env.clock.monotonic_s()
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first', 'far']
        assert env.clock.monotonic_s() - began_at_s < 2.0

    def test_prefill_waits_for_its_engine(self) -> None:
        """Guards against a failure before the first event of a sound run."""
        env = _make_env('first', 'second', allowance=0.0)
        env.client.script('first', harness.stream_script(1, 3, start_s=3.0))
        env.client.unresponsive.add('first')
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first']

    def test_stream_moves_on_when_the_budget_allows_it(self) -> None:
        """Guards against a run that stays at an engine that is lost."""
        env = _make_env('first', 'second', allowance=2.0)
        env.client.script(
            'first', harness.stream_script(1, 3, ending='unresponsive')
        )
        env.client.script('second', harness.stream_script(4, 6, start_s=0.05))
        env.client.unresponsive.add('first')
        _at_first_event(env, _spend_budget)
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        lost, again = env.client.sent
        # The budget is spent at the first event, for a window of 10 s.
        assert 11.0 < again.at_s - lost.at_s < 11.5

    def test_a_hung_engine_is_left_when_the_budget_allows_it(self) -> None:
        """Guards against a run that waits for its first event for good."""
        env = _make_env('first', 'second', allowance=2.0)
        env.client.script('first', ())
        env.client.script('second', harness.stream_script(1, 3))
        original = env.client.probe

        def _probe(
            target: data.ListedTarget, timeout_s: float
        ) -> data.TargetReport | None:
            if len(env.client.probed) == 0:
                _spend_budget(env)
            return original(target, timeout_s)

        env.client.probe = _probe  # type: ignore[method-assign]
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first', 'second']

    def test_an_engine_left_before_may_take_the_run_again(self) -> None:
        """Guards against a run that is stuck once all engines were tried."""
        env = _make_env('first', 'second')
        env.client.script(
            'first',
            harness.stream_script(1, 3, ending='unresponsive'),
            harness.stream_script(7, 9, start_s=0.05),
        )
        env.client.script(
            'second',
            harness.stream_script(4, 6, start_s=1.0, ending='unresponsive'),
        )
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first', 'second', 'first']

    def test_a_retry_that_is_not_used_is_refunded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a budget that callers who leave use up."""
        monkeypatch.setattr(random, 'random', lambda: 1.0)

        def _lose_run(disconnects_after_s: float) -> harness.Harness:
            env = _make_env('first', 'second')
            env.client.script(
                'first', harness.stream_script(1, 3, ending='unresponsive')
            )
            env.client.unresponsive.add('first')
            env.caller.disconnects_at_s = (
                env.clock.monotonic_s() + disconnects_after_s
            )
            admitted = env.work(
                harness.route(data.RequestKind.STREAM, max_attempts=5),
                harness.request(time_limit_ms=25000.0),
            )
            # Runs without a copy are sent again after a delay.
            capacity = data.EngineCapacity(55_000, has_standby_copies=False)
            env.streams.run(dataclasses.replace(admitted, engine=capacity))
            return env

        lost, again, *_ = _lose_run(60.0).client.sent
        env = _lose_run(again.at_s - lost.at_s - 0.01)
        assert env.client.sent_to() == ['first']
        [counts] = env.budget.counts()
        assert counts.retry_count == 0


class TestSlowedEngines:
    """Engines that share their machine pause longer and are still sound."""

    @pytest.mark.parametrize(
        ('pause_s', 'expected'),
        [(0.6, ['first']), (1.2, ['first']), (1.6, ['first', 'second'])],
    )
    def test_pause_between_events(
        self, pause_s: float, expected: list[str]
    ) -> None:
        """Guards against runs that leave an engine that is only slowed.

        They gave up a fifth of all runs under load, each with its prompt.
        """
        env = _make_env('first', 'second')
        _report_slowdown(env)
        env.client.script('first', _pausing_script((pause_s,)))
        env.client.script('second', harness.stream_script(4, 6))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == expected

    def test_long_prefill_with_an_empty_queue(self) -> None:
        """Guards against giving up a prompt that is nearly read.

        Engines do not count the prompts that they are reading as queued.
        """
        env = _make_env('first', 'second')
        _report_slowdown(env)
        for name in ('x', 'y', 'z'):
            env.fleet.record_run(
                data.RunStatus(name, name, 'second', None, True, False, 9000)
            )
        env.client.script('first', harness.stream_script(1, 3, start_s=4.2))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first']


def _report_slowdown(env: harness.Harness) -> None:
    load = data.TargetLoad(1, 0, 12, slowdown=1.0)
    env.targets.engines.switch.record_load(harness.target('first'), load)
