"""Tests of calls that go by expected time, with bounded connections."""

import collections
import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _call_choice
from skylarktack.coordination.forwarding import _call_connections
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.forwarding.tests import call_load_harness
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

NON_IDEMPOTENT = data.RequestKind.NON_IDEMPOTENT
LIMIT = call_load_harness.CONNECTION_LIMIT
ANY = _version_rules.ANY_VERSION


class TestPlayedLoad:
    """58 instances that choose by reports of some age; off, each fails."""

    def test_half_speed_server_gets_what_it_can_serve(self) -> None:
        """Guards against calls late at a slow server beside quick ones."""
        servers = call_load_harness.servers(0.045, 0.045, 0.09)
        load = call_load_harness.CallLoad(58, servers)
        load.play(4.0, rate=270)
        total_count = load.in_time_count + load.late_count
        assert load.late_count < 0.06 * total_count
        assert servers[2].received_count < 0.5 * servers[0].received_count

    def test_hanging_server_is_found_together_and_returns(self) -> None:
        """Guards against one lost call for each instance, and for each try."""
        servers = call_load_harness.servers(0.045, 0.045, 0.045)
        load = call_load_harness.CallLoad(58, servers)
        servers[0].hangs_until_s = load.clock.monotonic_s() + 2.0
        load.play(8.0, rate=117)
        assert load.lost_count < 40
        assert servers[0].received_count > 2 * load.lost_count

    @pytest.mark.parametrize('report_interval_s', (0.25, 2.0, None))
    def test_overload_is_refused_and_never_reset(
        self, report_interval_s: float | None
    ) -> None:
        """Guards against calls that are lost to a server's limit.

        None: no report arrives, as when the instance is cut off from peers.
        """
        servers = call_load_harness.servers(0.045, 0.045, 0.045)
        load = call_load_harness.CallLoad(58, servers, report_interval_s)
        load.play(4.0, rate=520)
        assert [server.reset_count for server in servers] == [0, 0, 0]
        assert load.lost_count == 0
        assert max(server.most_connections for server in servers) < LIMIT
        assert load.most_calls_count <= 2
        assert load.in_time_count > 700
        assert load.refusals
        assert all(0 < wait_s < 1 for wait_s in load.refusals)


def _large_fleet(*targets: data.ListedTarget) -> harness.Harness:
    """Return an instance among 58."""
    env = harness.make_harness(*targets)
    env.fleet.add_peers(harness.listed_peers(57))
    for number in range(57):
        env.fleet.receive(harness.peer_report(f'peer-{number}', number))
    _report_slowdown(env, targets[0])
    return env


def _report_slowdown(env: harness.Harness, target: data.ListedTarget) -> None:
    """Let a target say that it shares its machine, and not its load."""
    load = data.TargetLoad(0, 0, 12, slowdown=1.0)
    head = dataclasses.replace(harness.head(), load=load)
    env.targets.calls.report_head(target, head)


def _run(
    env: harness.Harness,
    kind: data.RequestKind = NON_IDEMPOTENT,
    max_attempts: int = 2,
) -> forwarding.CallOutcome:
    work = env.work(
        harness.route(kind, max_attempts=max_attempts, timeout_ms=800),
        harness.request(),
    )
    return env.calls.run(dataclasses.replace(work, connection_limit=LIMIT))


def _demand(env: harness.Harness) -> _call_choice.CallDemand:
    now_s = env.clock.monotonic_s()
    return _call_choice.CallDemand(now_s, now_s + 0.1, False, LIMIT)


def _choose(env: harness.Harness) -> data.ListedTarget | None:
    return env.targets.choose_for_call('pool', frozenset(), ANY, _demand(env))


def _draw_targets(
    env: harness.Harness, count: int
) -> collections.Counter[data.ListedTarget]:
    """Return how often each target is chosen for calls that end at once."""
    chosen: collections.Counter[data.ListedTarget] = collections.Counter()
    for _ in range(count):
        demand = _demand(env)
        target = env.targets.choose_for_call('pool', frozenset(), ANY, demand)
        assert target is not None
        env.targets.calls.release(target, demand.at_s)
        chosen[target] += 1
    return chosen


class TestRefusals:
    """A call that no target has run is refused with a true time."""

    def test_full_targets_refuse_with_the_time_until_room(self) -> None:
        """Guards against a 502, a reset, or a long wait for a full target."""
        env = _large_fleet(harness.target('only'))
        env.targets.observations.record_unit_time(harness.target('only'), 0.4)
        assert _choose(env) and _choose(env)
        started_s = env.clock.monotonic_s()
        outcome = _run(env)
        assert env.clock.monotonic_s() == started_s
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        assert outcome.retry_after_s is not None
        assert 0.3 < outcome.retry_after_s < 0.6
        assert not env.client.sent

    def test_call_waits_for_room_that_comes_in_time(self) -> None:
        """Guards against a refusal while a connection is about to end."""
        only = harness.target('only')
        env = _large_fleet(only)
        env.client.script('only', harness.answer_script())
        demand = _demand(env)
        for _ in range(2):
            env.targets.choose_for_call('pool', frozenset(), ANY, demand)
        env.clock.schedule(
            demand.at_s + 0.02,
            lambda: env.targets.calls.release(only, demand.at_s),
        )
        outcome = _run(env)
        assert isinstance(outcome, data.FrontResponse)
        assert 0.02 <= env.client.sent[0].at_s - demand.at_s < 0.06

    @pytest.mark.parametrize(
        'script',
        (
            harness.answer_script(503, is_not_executed=True),
            harness.REFUSED,
            forwarding.ExchangeFault(forwarding.FaultKind.NOT_SENT, 'reset'),
        ),
    )
    def test_declined_call_is_refused_with_the_time_until_room(
        self,
        script: tuple[fakes.ScriptedEvent, ...] | forwarding.ExchangeFault,
    ) -> None:
        """Guards against a 502 for a call that surely has not run."""
        targets = (harness.target('a'), harness.target('b'))
        env = _large_fleet(*targets)
        for target in targets:
            env.client.script(target.name, script)
            env.targets.observations.record_unit_time(target, 0.6)
        outcome = _run(env)
        assert sorted(env.client.sent_to()) == ['a', 'b']
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.NO_TARGET
        assert outcome.retry_after_s is not None
        ejected_s = 0.5 if isinstance(script, forwarding.ExchangeFault) else 0
        assert outcome.retry_after_s >= max(0.05, ejected_s)
        assert outcome.retry_after_s != 0.1

    def test_connections_are_released(self) -> None:
        """Guards against bounds that fill up with calls that have ended."""
        env = _large_fleet(harness.target('only'))
        for script in (
            harness.answer_script(),
            harness.connection_lost_script(),
            harness.REFUSED,
            (),
        ):
            env.client.script('only', script)
            _run(env)
            env.clock.advance(10.0)
            env.targets.report_alive(harness.target('only'))
        assert _choose(env) is not None
        assert _choose(env) is not None


class TestHangingTarget:
    """A target that stops answering, at one instance."""

    def test_overdue_call_is_sent_once_and_peers_are_told(self) -> None:
        """Guards against a second send, and peers that find out alone."""
        env = _large_fleet(harness.target('hangs'))
        env.fleet.full_report()
        _run(env)
        report = env.fleet.change_report()
        assert report is not None
        assert report.observations[0].failed_count
        env.clock.advance(10.0)
        _run(env)
        report = env.fleet.change_report()
        assert report is not None
        assert report.lost_targets == ('hangs',)
        assert env.client.sent_to() == ['hangs', 'hangs']
        assert 'unresponsive' in env.log.messages('target')

    def test_overdue_call_that_may_not_be_repeated_stays(self) -> None:
        """Guards against a booking that is executed twice."""
        env = _large_fleet(harness.target('a'), harness.target('b'))
        outcome = _run(env)
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.TIME_UP
        assert len(env.client.sent) == 1
        assert 'unresponsive' in env.log.messages('target')

    def test_distrusted_target_gets_one_trial_until_it_answers(self) -> None:
        """Guards against many calls that hang at the same target."""
        only = harness.target('only')
        env = _large_fleet(only)
        env.fleet.full_report()
        env.targets.report_suspicion('only')
        env.clock.advance(1.0)
        demand = _demand(env)
        assert env.targets.choose_for_call('pool', frozenset(), ANY, demand)
        assert _choose(env) is None
        env.targets.calls.release(only, demand.at_s)
        env.client.script('only', harness.answer_script())
        assert isinstance(_run(env), data.FrontResponse)
        assert env.fleet.change_report() is not None
        assert _choose(env) and _choose(env)

    def test_withheld_target_is_no_reason_to_wait(self) -> None:
        """Guards against a call that wakes up again and again for a trial."""
        targets = (harness.target('hangs'), harness.target('full'))
        env = _large_fleet(*targets)
        env.targets.observations.record_unit_time(targets[1], 0.4)
        env.targets.report_suspicion('hangs')
        env.clock.advance(0.6)
        now_s = env.clock.monotonic_s()
        assert {_choose(env), _choose(env)} == {targets[1]}
        assert isinstance(_run(env), data.Refusal)
        assert env.clock.monotonic_s() == now_s
        assert not env.client.sent

    def test_long_calls_are_not_taken_for_a_hang(self) -> None:
        """Guards against ejecting targets whose calls sometimes take long."""
        env = _large_fleet(harness.target('only'))
        env.client.script(
            'only',
            harness.answer_script(after_s=0.6),
            harness.answer_script(after_s=0.6),
        )
        for _ in range(2):
            assert isinstance(_run(env), data.FrontResponse)
        assert env.log.messages('target').count('unresponsive') == 1


class TestSwitch:
    """Where calls go by expected time."""

    def test_conditions(self) -> None:
        """Guards against another behaviour of deployments that want none."""
        target = harness.target('a')
        env = harness.make_harness(target)
        env.fleet.add_peers(harness.listed_peers(57))
        three_figures = data.TargetLoad(1, 0, 6)
        head = dataclasses.replace(harness.head(), load=three_figures)
        env.targets.report_head(target, head)
        assert not env.targets.calls.is_on('pool')
        _report_slowdown(env, target)
        assert env.targets.calls.is_on('pool')
        assert not env.targets.calls.is_on('other')
        env.clock.advance(61.0)
        assert not env.targets.calls.is_on('pool')

    def test_error_in_the_choice_is_contained(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against calls that fail with the decision about them."""
        env = _large_fleet(harness.target('a'))
        monkeypatch.setattr(
            _call_choice.ExpectedTimePolicy, 'estimate', lambda *_: 1 / 0
        )
        env.client.script('a', harness.answer_script())
        assert isinstance(_run(env), data.FrontResponse)


class TestChoice:
    """The choice among targets by what the fleet knows of them."""

    def test_peers_figures_are_used(self) -> None:
        """Guards against instances that each have to learn alone."""
        targets = (harness.target('a'), harness.target('b'))
        peer = _large_fleet(*targets)
        env = _large_fleet(*targets)
        for _ in range(3):
            peer.targets.observations.record_unit_time(targets[0], 0.09)
            peer.targets.observations.record_unit_time(targets[1], 0.045)
        env.targets.observations.receive(peer.targets.observations.take())
        assert set(_draw_targets(env, 20)) == {targets[1]}
        busy = data.TargetLoad(12, 24, 12)
        peer.targets.observations.record_load(targets[1], busy)
        env.targets.observations.receive(peer.targets.observations.take())
        assert set(_draw_targets(env, 20)) == {targets[0]}

    @pytest.mark.parametrize('running_counts', ((0, 0, 0), (0, 1, 1)))
    def test_instances_do_not_all_choose_the_same(
        self, running_counts: tuple[int, ...]
    ) -> None:
        """Guards against a best target that is the worst at once."""
        targets = tuple(harness.target(name) for name in 'abc')
        env = _large_fleet(*targets)
        for target, running_count in zip(targets, running_counts, strict=True):
            load = data.TargetLoad(running_count, 0, 12)
            env.targets.observations.record_load(target, load)
        chosen = _draw_targets(env, 300)
        assert len(chosen) == 3
        assert max(chosen.values()) < 240


class TestEstimate:
    """The figures behind the expected time."""

    @pytest.mark.parametrize(
        ('waiting_count', 'expected_s'), ((0, 0.09), (6, 0.045))
    )
    def test_service_time_has_no_queue(
        self, waiting_count: int, expected_s: float
    ) -> None:
        """Guards against targets that seem slow because they were loaded."""
        target = dataclasses.replace(harness.target('a'), slot_count=6)
        env = _large_fleet(target)
        load = data.TargetLoad(6, waiting_count, 6)
        head = dataclasses.replace(harness.head(), load=load)
        sent_at_s = env.clock.monotonic_s() - 0.09
        env.targets.calls.record_response(
            target, head, sent_at_s, _call_choice.CallExpectation()
        )
        unit_time = env.targets.observations.unit_time(target)
        assert unit_time is not None
        assert unit_time.mean_s == pytest.approx(expected_s)

    def test_slowdown_counts_while_it_is_fresh(self) -> None:
        """Guards against sending to a machine that is slow at the moment."""
        targets = (harness.target('a'), harness.target('b'))
        env = _large_fleet(*targets)
        slowed = data.TargetLoad(0, 0, 12, slowdown=2.5)
        for target in targets:
            env.targets.observations.record_unit_time(target, 0.045)
        head = dataclasses.replace(harness.head(), load=slowed)
        env.targets.report_head(targets[0], head)
        expect = env.targets.calls.expect
        assert expect(targets[0], _demand(env)).expected_s == pytest.approx(
            0.1125
        )
        env.clock.advance(0.5)
        assert expect(targets[0], _demand(env)).expected_s == pytest.approx(
            0.045
        )

    def test_impossible_load_is_not_used(self) -> None:
        """Guards against a service that is refused by one absurd figure."""
        target = harness.target('a')
        env = _large_fleet(target)
        for load in (
            data.TargetLoad(10**15, 0, 12),
            data.TargetLoad(0, 10**15, 0),
        ):
            env.targets.observations.record_load(target, load)
            assert _choose(env) is not None


class TestBound:
    """Connections of one instance to one target."""

    @pytest.mark.parametrize(
        ('limit', 'instances', 'ahead', 'waiting', 'trial', 'expected'),
        (
            (100, 13, 0, 0, False, 7),
            (100, 13, 8, 2, False, 2),
            (100, 58, 0, 0, False, 2),
            (100, 58, 12, 6, False, 1),
            (100, 58, 90, 84, False, 0),
            (100, 340, 0, 0, False, 2),
            (100, 58, 0, 0, True, 1),
            (None, 1, 0, 0, False, 12),
            (0, 1, 0, 0, False, 12),
            (1, 1, 0, 0, False, 2),
        ),
    )
    def test_table(
        self,
        limit: int | None,
        instances: int,
        ahead: int,
        waiting: int,
        trial: bool,
        expected: int,
    ) -> None:
        """Guards against connections that the target would reset."""
        room = _call_connections.TargetRoom(
            6, limit, instances, ahead, waiting, True, trial
        )
        assert room.bound() == expected
