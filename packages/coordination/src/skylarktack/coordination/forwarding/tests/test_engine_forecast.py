"""Tests of choosing engines by predicted times, on played loads.

Each comparison is with the policy by counts, so it fails with the part off.
"""

import collections
import dataclasses
import functools
import math
import random

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _engine_policies
from skylarktack.coordination.forwarding import _forecast_policy
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding.tests import engine_play
from skylarktack.coordination.forwarding.tests import gateway_harness
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

SPEEDS = (0.6, 1.0, 1.6)
EngineLoad = _placement.EngineLoad


class _Observer:
    def on_request_end(self, report: forwarding.RequestReport) -> None:
        pass


def _play(
    is_forecast: bool, count: int = 59, paces: tuple[float, ...] = SPEEDS
) -> engine_play.Play:
    listed, pace_by_name = engine_play.engines(paces, count)
    return engine_play.Play(listed, pace_by_name, is_forecast)


def _largest_share(
    play: engine_play.Play, loads: dict[str, EngineLoad]
) -> int:
    """Return the most runs on an engine if 60 choose at the same moment."""
    chosen = collections.Counter(
        play.policy.choose_primary(
            play.listed,
            loads,
            engine_play.demand(affinity_key=f'run-{number}', is_repeated=True),
        ).engine.name
        for number in range(60)
    )
    return max(chosen.values())


def _in_time_count(play: engine_play.Play, objective_s: float) -> int:
    return sum(
        run.is_in_time for run in play.runs if run.objective_s == objective_s
    )


class TestSpread:
    """Simultaneous choices on the same reports."""

    def test_choices_after_losses(self) -> None:
        """Guards against 60 runs that restart on the few idlest engines."""
        draw = random.Random(5)
        sizes = {}
        for is_forecast in (True, False):
            play = _play(is_forecast, paces=(1.0,))
            loads = {
                target.name: EngineLoad(decode_count=draw.randint(1, 3))
                for target in play.listed[5:]
            }
            sizes[is_forecast] = _largest_share(play, loads)
        assert sizes[True] <= 4
        assert sizes[False] > 10

    def test_large_service(self) -> None:
        """Guards against choices that take longer with each engine."""
        play = _play(True, 2700)
        demand = engine_play.demand(known_engine='engine-7')
        compared = _forecast_policy.narrowed(play.listed, demand)
        assert len(compared) == 256
        assert play.listed[7] in compared
        choice = play.policy.choose_primary(play.listed, {}, demand)
        assert choice.engine == play.listed[7]

    def test_prompt_is_found_again(self) -> None:
        """Guards against searching for prompts at other engines.

        After the loss of all instances a prompt is sought at the likely
        engines, which have to be those that an idle fleet prefers.
        """
        play = _play(True, 2700, paces=(1.0,))
        for number in range(20):
            demand = engine_play.demand(affinity_key=f'run-{number}')
            compared = _forecast_policy.narrowed(play.listed, demand)
            likely = _placement.likely_engines(compared, demand, 1)
            choice = play.policy.choose_primary(play.listed, {}, demand)
            assert choice.engine == likely[0]

    def test_lost_domain(self) -> None:
        """Guards against runs of a lost domain that delay each other."""
        counts = {}
        for is_forecast in (True, False):
            play = _play(is_forecast)
            draw = random.Random(2)
            for number in range(150):
                play.runs.append(
                    engine_play.PlayedRun(
                        f'run-{number}', 2.5 * draw.random(), 4.0
                    )
                )
            play.run_until(2.5)
            assert play.lose_domain('domain-a') > 10
            play.run_until(8.0)
            counts[is_forecast] = _in_time_count(play, 4.0)
        assert counts[True] > counts[False]


class TestSlack:
    """Runs that can wait leave room to those that cannot."""

    def test_quick_engines_are_left_to_tight_runs(self) -> None:
        """Guards against loose runs at the engines that tight ones need."""
        play = _play(True, 30)
        paces = []
        for objective_s in (1.3, 30.0):
            demand = engine_play.demand(objective_s=objective_s)
            chosen = [
                play.policy.choose_primary(
                    play.listed,
                    {},
                    dataclasses.replace(demand, affinity_key=f'run-{number}'),
                ).engine.name
                for number in range(20)
            ]
            paces.append(sum(play.paces[name] for name in chosen) / 20)
        assert paces[0] < 0.9
        assert paces[1] > 0.95

    def test_late_run_displaces_none(self) -> None:
        """Guards against a run without hope that delays one in time."""
        play = _play(True, 3, paces=(1.0,))
        loads = {
            'engine-0': EngineLoad(decode_count=1, prefill_count=1),
            'engine-1': EngineLoad(decode_count=1, prefill_count=1),
            'engine-2': EngineLoad(decode_count=7),
        }
        late = engine_play.demand(due_at_s=engine_play.START_S + 0.1)
        choice = play.policy.choose_primary(play.listed, loads, late)
        assert choice.engine.name == 'engine-2'

    def test_mixed_objectives(self) -> None:
        """Guards against tight runs that are late behind loose ones."""
        counts = {}
        for is_forecast in (True, False):
            play = _play(is_forecast, 30)
            draw = random.Random(0)
            for number in range(220):
                objective_s = 2.0 if number % 4 == 0 else 10.0
                play.runs.append(
                    engine_play.PlayedRun(
                        f'run-{number}', 10 * draw.random(), objective_s
                    )
                )
            play.run_until(22.0)
            counts[is_forecast] = [
                _in_time_count(play, objective_s)
                for objective_s in (2.0, 10.0)
            ]
        assert counts[True][0] > counts[False][0]
        assert counts[True][1] >= counts[False][1]


class TestCopies:
    """Standby copies, and their use."""

    def test_only_where_memory_is_free(self) -> None:
        """Guards against copies that displace the runs of an engine."""
        play = _play(True, 3)
        counting = _engine_policies.CountingPolicy()
        loads = {
            name: EngineLoad(decode_count=8, token_count=70_000)
            for name in ('engine-1', 'engine-2')
        }
        for policy, has_copy in ((play.policy, False), (counting, True)):
            chosen = policy.choose_standby(
                play.listed, play.listed[0], loads, engine_play.demand()
            )
            assert (chosen is not None) == has_copy

    def test_run_that_ends_soon(self) -> None:
        """Guards against copies that take longer than what they save."""
        play = _play(True, 3)
        play.forecaster.lengths.record('pool', 600, 150)
        play.policy.choose_primary(play.listed, {}, engine_play.demand())
        for event_count, has_copy in ((0, True), (140, False)):
            demand = engine_play.demand(event_count=event_count)
            chosen = play.policy.choose_standby(
                play.listed, play.listed[0], {}, demand
            )
            assert (chosen is not None) == has_copy
            if chosen is not None:
                assert chosen.failure_domain != 'domain-a'


def _make_env() -> harness.Harness:
    """Return a harness whose engines report their slowdown."""
    env = harness.make_harness(
        harness.target('first'), harness.target('second')
    )
    # The other engine is busy while the first one is chosen.
    env.fleet.record_run(
        data.RunStatus('x', 'x', 'second', None, True, False, 9000)
    )
    load = data.TargetLoad(1, 0, 12, slowdown=1.0)
    env.targets.engines.switch.record_load(harness.target('first'), load)
    for _ in range(20):
        env.targets.engines.record_first_event(
            harness.target('first'),
            8200,
            env.clock.monotonic_s() - 0.5,
            env.clock.monotonic_s(),
        )
    env.clock.schedule(
        env.clock.monotonic_s() + 0.3,
        lambda: env.fleet.record_run_end(
            data.RunStatus('x', 'x', 'second', None, True)
        ),
    )
    env.client.script('first', harness.stream_script(1, 3, start_s=3.0))
    env.client.script('second', harness.stream_script(1, 3, start_s=0.5))
    return env


def _overdue_obstacle(env: harness.Harness, max_attempts: int = 5) -> object:
    """Forward a stream; return what kept the overdue run, or None."""
    route = harness.route(data.RequestKind.STREAM, max_attempts)
    work = env.work(route, harness.request(time_limit_ms=25000.0))
    outcome = env.streams.run(work)
    assert isinstance(outcome, forwarding.StreamCompleted)
    (step,) = [one for one in work.trace.steps if one.step == 'overdue']
    return step.inputs['kept_because']


class TestOverdueRuns:
    """Runs whose engine is far behind what was predicted."""

    def test_move_to_an_idle_engine(self) -> None:
        """Guards against a wait for a slow engine while another is idle."""
        env = _make_env()
        assert _overdue_obstacle(env) is None
        assert env.client.sent_to() == ['first', 'second']
        assert env.budget.counts()[0].retry_count == 1

    def test_prompts_that_share_the_engine(self) -> None:
        """Guards against a move from an engine that is about to be done."""
        env = _make_env()
        for name in 'yz':
            run = data.RunStatus(name, name, 'first', None, True, False, 8600)
            env.clock.schedule(
                env.clock.monotonic_s() + 0.1,
                functools.partial(env.fleet.record_run, run),
            )
        env.client.script('first', harness.stream_script(1, 3, start_s=1.5))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.client.sent_to() == ['first']

    def test_attempts_of_the_route_are_used(self) -> None:
        """Guards against more targets than the route allows."""
        env = _make_env()
        obstacle = _overdue_obstacle(env, max_attempts=1)
        assert obstacle == 'the attempts of the route are used'
        assert env.client.sent_to() == ['first']

    def test_retry_budget_is_spent(self) -> None:
        """Guards against moves beyond the retry budget."""
        env = _make_env()
        while env.budget.claim_retry('pool'):
            continue
        assert _overdue_obstacle(env) == 'the retry budget is spent'
        assert env.client.sent_to() == ['first']

    def test_no_time_is_left(self) -> None:
        """Guards against a second prefill that is late as well."""
        env = _make_env()
        route = harness.route(data.RequestKind.STREAM, max_attempts=5)
        work = env.work(
            dataclasses.replace(route, latency_objective_ms=1100.0),
            harness.request(time_limit_ms=25000.0),
        )
        env.streams.run(work)
        steps = [one.step for one in work.trace.steps]
        assert 'forecast' in steps
        assert 'overdue' not in steps


class TestSamples:
    """What a run tells of its engine."""

    def test_unit_time_without_long_pauses(self) -> None:
        """Guards against an engine that looks slow after one pause."""
        env = harness.make_harness(harness.target('first'))
        load = data.TargetLoad(1, 0, 12, slowdown=1.0)
        env.targets.engines.switch.record_load(harness.target('first'), load)
        script = harness.stream_script(1, 100, pace_s=0.04)
        delayed = [
            dataclasses.replace(
                one, after_s=one.after_s + 0.9 * (one.after_s > 2)
            )
            for one in script
        ]
        env.client.script('first', tuple(delayed))
        env.stream()
        unit_time = env.targets.observations.unit_time(harness.target('first'))
        assert unit_time is not None
        assert unit_time.mean_s == pytest.approx(0.04)
        assert unit_time.sample_count == 3


class TestSwitch:
    """Only deployments that call for predictions get them."""

    def test_slowdown(self) -> None:
        """Guards against predictions for engines that report no slowdown."""
        env = harness.make_harness(harness.target('first'))
        engine = harness.target('first')
        switch = env.targets.engines.switch
        for slowdown, is_on in ((None, False), (1.0, True)):
            load = data.TargetLoad(1, 0, 12, slowdown)
            switch.record_load(engine, load)
            assert switch.is_on('pool') == is_on

    def test_servers_of_calls(self) -> None:
        """Guards against reports of a policy that decides on nothing."""
        env = harness.make_harness(harness.target('first'))
        engines = env.targets.engines
        load = data.TargetLoad(1, 0, 12, slowdown=1.0)
        stream = harness.route(data.RequestKind.STREAM)
        for route, is_on in ((harness.route(), False), (stream, True)):
            engines.follow(harness.configuration(1, route))
            engines.switch.record_load(harness.target('first'), load)
            assert engines.switch.services() == ({'pool'} if is_on else set())

    def test_routes(self) -> None:
        """Guards against predictions where all routes need the same."""
        env = harness.make_harness()
        switch = env.targets.engines.switch
        stream = harness.route(data.RequestKind.STREAM)
        other = dataclasses.replace(stream, name='other', priority=0)
        for routes, is_on in (
            ((stream,), False),
            ((stream, other), True),
            ((stream, harness.route()), False),
        ):
            env.targets.engines.follow(harness.configuration(1, *routes))
            assert switch.is_on('pool') == is_on

    def test_gateway_tells_the_configuration(self) -> None:
        """Guards against a configuration that calls for it in vain."""
        env = harness.make_harness(harness.target('first'))
        front = gateway_harness.make_gateway(env, _Observer())
        stream = harness.route(data.RequestKind.STREAM)
        other = dataclasses.replace(stream, name='other', host='other')
        tight = dataclasses.replace(other, latency_objective_ms=2000.0)
        for version, route in enumerate((other, tight), 1):
            front.holder.replace_if_newer(
                harness.configuration(version, stream, route)
            )
            front.send(harness.request())
            services = env.targets.engines.switch.services()
            assert services == ({'pool'} if route is tight else set())


class TestOddFigures:
    """Figures that no sound deployment has."""

    @pytest.mark.parametrize('figure', [-(10**9), 0, 10**18])
    @pytest.mark.parametrize('time_s', [-5.0, 0.0, 1e300, math.nan, math.inf])
    def test_an_engine_is_chosen(self, figure: int, time_s: float) -> None:
        """Guards against requests that end because of an odd figure."""
        env = harness.make_harness(
            harness.target('first'), harness.target('second')
        )
        engines = env.targets.engines
        load = data.TargetLoad(figure, figure, figure, time_s)
        engines.switch.record_load(harness.target('first'), load)
        engines.record_first_event(harness.target('first'), figure, 0, time_s)
        engines.record_complete(harness.target('first'), figure, figure)
        env.fleet.record_run(
            data.RunStatus('x', 'x', 'second', None, True, False, figure)
        )
        demand = _placement.RunDemand(
            'own',
            figure,
            figure,
            prompt_tokens=figure,
            objective_s=time_s,
            due_at_s=time_s,
            deadline_s=time_s,
        )
        pair = env.targets.placement.choose_engines(
            'pool', None, demand, frozenset()
        )
        assert pair is not None
        assert pair.forecast is not None

    def test_error_falls_back_to_counts(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests that end because a prediction failed."""
        env = _make_env()
        monkeypatch.setattr(env.targets.engines, '_forecast', None)
        pair = env.targets.placement.choose_engines(
            'pool', None, engine_play.demand(), frozenset()
        )
        assert pair is not None
        assert pair.primary.name == 'first'
        assert pair.forecast is None
        (error,) = [
            event
            for event in env.log.events
            if isinstance(event, forwarding.UnexpectedError)
        ]
        assert error.place == 'engine forecast'
