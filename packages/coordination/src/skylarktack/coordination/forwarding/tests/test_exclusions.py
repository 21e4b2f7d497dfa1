"""Tests of targets that ask to receive no requests."""

import dataclasses
import random

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _pause_waits
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

STREAM = data.RequestKind.STREAM


def _target(name: str, started_at_ms: int | None = 1000) -> data.ListedTarget:
    return dataclasses.replace(
        harness.target(name), started_at_ms=started_at_ms
    )


def _chosen(env: harness.Harness) -> str | None:
    target = env.targets.choose_for_call('pool', frozenset())
    return None if target is None else target.name


class TestLeavingTarget:
    """A target that says that it leaves receives nothing more."""

    def _leave(self, env: harness.Harness) -> None:
        env.targets.report_head(_target('a'), harness.head(is_leaving=True))

    def test_response_to_a_call(self) -> None:
        """Guards against requests to a target whose entry says it is ready."""
        env = harness.make_harness(_target('a'))
        env.client.script('a', harness.leaving_script())
        assert isinstance(env.call(), data.FrontResponse)
        assert isinstance(env.call(), data.Refusal)
        assert env.client.sent_to() == ['a']
        assert 'target leaving' in env.log.messages('target')

    def test_head_of_a_stream(self) -> None:
        """Guards against new runs beside the one that goes on to its end."""
        env = harness.make_harness(_target('a'))
        script = list(harness.stream_script(1, 3))
        script[0] = fakes.ScriptedEvent(1.0, harness.head(is_leaving=True))
        env.client.script('a', tuple(script), harness.stream_script(1, 3))
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 3)
        assert isinstance(env.stream(), data.Refusal)

    @pytest.mark.parametrize('status', [421, 500, 503])
    def test_error_response(self, status: int) -> None:
        """Guards against overlooking the notice in an error response."""
        env = harness.make_harness(_target('a'), _target('b'))
        refusal = harness.head(status, is_not_executed=True, is_leaving=True)
        env.client.script(
            'a',
            (
                fakes.ScriptedEvent(0.01, refusal),
                fakes.ScriptedEvent(0.01, forwarding.ResponseEnd()),
            ),
        )
        env.targets.begin_request(_target('b'))
        env.client.script('b', harness.answer_script())
        env.call()
        assert env.client.sent_to() == ['a', 'b']
        assert _chosen(env) == 'b'

    def test_answer_to_a_probe(self) -> None:
        """Guards against overlooking the notice in a report."""
        env = harness.make_harness(_target('a'))
        script = harness.stream_script(1, 3, start_s=3.0)
        env.client.script('a', script)
        env.client.reports['a'] = data.TargetReport(1, is_leaving=True)
        env.stream()
        assert _chosen(env) is None

    def test_lists_do_not_bring_it_back(self) -> None:
        """Guards against a list that is older than the target's notice."""
        env = harness.make_harness(_target('a'))
        self._leave(env)
        env.targets.replace((_target('a'),), after_outage=False)
        env.targets.apply(data.TargetChange('a', None))
        env.targets.apply(data.TargetChange('a', _target('a')))
        env.targets.apply(data.TargetChange('a', _target('a', 900)))
        assert _chosen(env) is None

    def test_new_start_is_used(self) -> None:
        """Guards against a target that stays excluded after a restart."""
        env = harness.make_harness(_target('a'))
        self._leave(env)
        env.targets.apply(data.TargetChange('a', _target('a', 2000)))
        assert _chosen(env) == 'a'

    def test_no_shortage_overrides_it(self) -> None:
        """Guards against using a leaving target since all others failed."""
        env = harness.make_harness(_target('a'), _target('b'))
        self._leave(env)
        env.targets.report_failure(_target('b'), 'route', 'reset', True)
        assert _chosen(env) == 'b'

    def test_copy_on_a_leaving_engine_is_not_used(self) -> None:
        """Guards against resuming a run at an engine that is leaving.

        Both ways of knowing count: its own notice and the store's list.
        """
        for is_listed_as_leaving in (False, True):
            env = harness.make_harness(
                _target('a'), _target('b'), _target('c')
            )
            pair = env.targets.placement.choose_engines(
                'pool', None, harness.demand(), frozenset()
            )
            assert pair is not None and pair.standby is not None
            if is_listed_as_leaving:
                listed = dataclasses.replace(pair.standby, is_leaving=True)
                env.targets.apply(data.TargetChange(listed.name, listed))
            else:
                env.targets.report_head(
                    pair.standby, harness.head(is_leaving=True)
                )
            assert env.targets.is_unavailable(pair.standby)

    def test_peers_learn_of_it(self) -> None:
        """Guards against each instance sending one more request."""
        env = harness.make_harness(_target('a'))
        env.fleet.add_peers(harness.listed_peers(1))
        env.fleet.full_report()
        self._leave(env)
        change = env.fleet.change_report()
        assert change is not None
        assert change.leaving_targets == (data.LeavingTarget('a', 1000),)
        # A lost datagram is made up for by the next full report.
        assert env.fleet.full_report().leaving_targets == (
            change.leaving_targets
        )

    def test_told_by_a_peer(self) -> None:
        """Guards against requests to a target excluded by another instance."""
        env = harness.make_harness(_target('a'), _target('b'))
        report = dataclasses.replace(
            harness.peer_report('peer-0', 0),
            leaving_targets=(data.LeavingTarget('a', 1000),),
        )
        env.fleet.receive(report)
        assert _chosen(env) == 'b'


class TestPausedTarget:
    """A target that asks for a pause receives nothing until its end."""

    def test_nothing_is_sent_before_the_end(self) -> None:
        """Guards against asking a target again that wants a pause."""
        env = harness.make_harness(_target('a'), _target('b'))
        for name in 'ab':
            env.client.script(
                name, harness.paused_script(5.0), harness.answer_script()
            )
        began_at_s = env.clock.monotonic_s()
        for _ in range(20):
            # Each target refuses the first call, which cannot wait for them.
            assert isinstance(env.call(), data.Refusal)
            env.clock.advance(0.1)
        env.clock.advance(2.0)
        assert isinstance(env.call(), data.FrontResponse)
        sent_at_s = [sent.at_s - began_at_s for sent in env.client.sent]
        assert len(sent_at_s) == 3
        assert sent_at_s[2] >= 5.0

    def test_refusal_names_the_time_to_come_back(self) -> None:
        """Guards against callers that return before there is a target."""
        env = harness.make_harness(_target('a'))
        env.client.script('a', harness.paused_script(5.0))
        began_at_s = env.clock.monotonic_s()
        refusal = env.call()
        assert isinstance(refusal, data.Refusal)
        assert refusal.reason is data.RefusalReason.NO_TARGET
        assert refusal.retry_after_s is not None
        assert 5.0 <= refusal.retry_after_s <= 5.25
        # It is refused at once, not at its deadline.
        assert env.clock.monotonic_s() - began_at_s < 0.1

    def test_call_waits_if_its_time_allows(self) -> None:
        """Guards against refusing a request that can be served in time."""
        env = harness.make_harness(_target('a'))
        env.client.script(
            'a', harness.paused_script(0.6), harness.answer_script()
        )
        assert isinstance(env.call(), data.FrontResponse)
        first, second = env.client.sent
        assert 0.6 <= second.at_s - first.at_s <= 0.8

    def test_stream_waits_if_its_time_allows(self) -> None:
        """Guards against refusing a stream that can be served in time."""
        env = harness.make_harness(_target('a'))
        env.client.script(
            'a', harness.paused_script(2.0), harness.stream_script(1, 3)
        )
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        first, second = env.client.sent
        assert second.at_s - first.at_s >= 2.0

    def test_stream_is_refused_at_once(self) -> None:
        """Guards against a stream that waits for a pause beyond its time."""
        env = harness.make_harness(_target('a'))
        env.client.script('a', harness.paused_script(60.0))
        began_at_s = env.clock.monotonic_s()
        refusal = env.stream()
        assert isinstance(refusal, data.Refusal)
        assert refusal.retry_after_s is not None
        assert refusal.retry_after_s >= 60.0
        assert env.clock.monotonic_s() - began_at_s < 0.1

    def test_paused_engine_is_not_probed(self) -> None:
        """Guards against probes that a paused engine does not want."""
        env = harness.make_harness(_target('a'))
        env.client.script('a', harness.stream_script(1, 3, start_s=3.0))
        work = env.work(
            harness.route(STREAM, max_attempts=5),
            harness.request(time_limit_ms=25000.0),
        )
        env.client.reports['a'] = data.TargetReport(None, retry_after_s=20.0)
        assert isinstance(env.streams.run(work), forwarding.StreamCompleted)
        # The answer to the first probe asked for the pause.
        assert env.client.probed == ['a']

    def test_standby_is_not_paused(self) -> None:
        """Guards against copies that are sent to a paused engine."""
        env = harness.make_harness(_target('a'), _target('b'), _target('c'))
        env.targets.report_head(
            _target('b'), harness.head(503, retry_after_s=5.0)
        )
        for _ in range(8):
            standby = env.targets.placement.choose_standby(
                'pool', _target('a'), None, harness.demand()
            )
            assert standby is not None
            assert standby.name == 'c'

    @pytest.mark.parametrize(
        ('asked_s', 'granted_s'), [(0.25, 0.25), (7.0, 7.0), (1e12, 120.0)]
    )
    def test_pause_is_bounded(self, asked_s: float, granted_s: float) -> None:
        """Guards against a target that one odd header excludes for ever."""
        env = harness.make_harness(_target('a'))
        env.targets.report_head(
            _target('a'), harness.head(503, retry_after_s=asked_s)
        )
        env.clock.advance(granted_s - 0.1)
        assert _chosen(env) is None
        env.clock.advance(0.2)
        assert _chosen(env) == 'a'

    def test_restart_ends_the_pause(self) -> None:
        """Guards against a pause that outlives the process that asked."""
        env = harness.make_harness(_target('a'))
        env.targets.report_head(
            _target('a'), harness.head(503, retry_after_s=50.0)
        )
        env.targets.apply(data.TargetChange('a', _target('a', 2000)))
        assert _chosen(env) == 'a'

    def test_other_statuses_ask_for_no_pause(self) -> None:
        """Guards against a pause that no target asked for."""
        env = harness.make_harness(_target('a'))
        env.targets.report_head(
            _target('a'), harness.head(429, retry_after_s=5.0)
        )
        assert _chosen(env) == 'a'

    def test_load_is_shared_by_those_left(self) -> None:
        """Guards against one target that receives the load of a paused one."""
        env = harness.make_harness(*(_target(name) for name in 'abcd'))
        env.targets.report_head(
            _target('a'), harness.head(503, retry_after_s=5.0)
        )
        counts = {'b': 0, 'c': 0, 'd': 0}
        for _ in range(30):
            target = env.targets.choose_for_call('pool', frozenset())
            assert target is not None
            env.targets.begin_request(target)
            counts[target.name] += 1
        assert set(counts.values()) == {10}


class TestPauseWait:
    """The decision to wait for the end of a pause or to refuse."""

    @pytest.mark.parametrize(
        ('pause_s', 'time_left_s', 'service_time_s', 'is_in_time'),
        [
            (0.5, 1.5, 0.4, True),
            (1.2, 1.5, 0.4, False),
            (0.0, 0.3, 0.4, False),
            (3.0, 25.0, 4.5, True),
            (21.0, 25.0, 4.5, False),
        ],
    )
    def test_time_left(
        self,
        pause_s: float,
        time_left_s: float,
        service_time_s: float,
        is_in_time: bool,
    ) -> None:
        """Guards against waits that end too late, and needless refusals."""
        plan = _pause_waits.plan_pause_wait(
            pause_s, time_left_s, service_time_s
        )
        assert plan.is_in_time == is_in_time

    def test_returns_are_spread(self) -> None:
        """Guards against all waiting requests that arrive at one moment."""
        draw = random.Random(1).random
        waits_s = [
            _pause_waits.plan_pause_wait(2.0, 9.0, 0.1, draw).wait_s
            for _ in range(200)
        ]
        assert 2.0 <= min(waits_s) < 2.02
        assert 2.23 < max(waits_s) <= 2.25
