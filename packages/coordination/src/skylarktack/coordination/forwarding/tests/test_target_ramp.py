"""Tests of the slow start of targets that are new or back."""

import collections
import dataclasses

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _response_judge
from skylarktack.coordination.forwarding import _target_ramp_events
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.coordination.forwarding.tests import ramp_harness
from skylarktack.state import forwarding as data

ON = data.RampMode.ON
AUTO = data.RampMode.AUTO
OFF = data.RampMode.OFF

SLOTS = ramp_harness.SLOT_COUNT


def _cold(age_s: float) -> float:
    return 3.0 if age_s < 3 else 1.0


def _briefly_cold(age_s: float) -> float:
    return 3.0 if age_s < 1 else 1.0


def _is_admitted(instance: ramp_harness.Instance) -> bool:
    """Return whether an instance may send to server c now."""
    usable = instance.targets.placement.likely_engines(
        'pool', None, harness.demand(), count=9
    )
    return 'c' in [target.name for target in usable]


def _admitted_count(play: ramp_harness.Play) -> int:
    """Return how many instances may send to server c now."""
    return sum(_is_admitted(instance) for instance in play.instances)


def _add_now(play: ramp_harness.Play, *names: str) -> None:
    for name in names:
        play.add(name, play.now_s)
    play.run(play.now_s + 0.001)


def _ended(
    play: ramp_harness.Play,
) -> list[_target_ramp_events.TargetRampEnded]:
    return play.events(_target_ramp_events.TargetRampEnded)


def _ramping_count(play: ramp_harness.Play) -> int:
    return play.instances[0].targets.ramps.counts().ramping_count


class TestPlayedLoad:
    """Calls of a whole fleet; each case is worse with the ramp off."""

    @pytest.mark.parametrize('instance_count', [12, 58])
    def test_cold_server(self, instance_count: int) -> None:
        """Guards against flooding a server that is slow at first.

        With 58 instances the reports of peers are up to 3 s old.
        """
        plays = {}
        for mode in (AUTO, OFF):
            play = ramp_harness.Play(mode, instance_count, 'ab')
            play.call_evenly(120, 12)
            play.add('c', 4.0, _cold)
            play.run(12)
            plays[mode] = play
        assert plays[AUTO].servers['c'].peak(4, 7) <= SLOTS
        assert plays[AUTO].late_share(4, 7) == 0
        assert plays[OFF].servers['c'].peak(4, 7) > 4 * SLOTS
        assert plays[OFF].late_share(4, 7) > 0.03
        # It does its share within a few seconds of sound responses.
        assert plays[AUTO].servers['c'].arrivals(10, 12) > 60

    def test_sound_server(self) -> None:
        """Guards against a ramp that leaves a sound new server idle."""
        play = ramp_harness.Play(AUTO, 58, 'ab')
        play.call_evenly(120, 9)
        play.add('c', 4.0)
        play.run(9)
        assert play.servers['c'].peak(4, 5) <= SLOTS
        assert play.servers['c'].arrivals(6, 9) > 90
        assert len(_ended(play)) == 58

    def test_sound_server_after_a_flap(self) -> None:
        """Guards against sending at once what a returned server missed."""
        peaks = {}
        for mode in (AUTO, OFF):
            play = ramp_harness.Play(mode, 12)
            play.call_evenly(120, 8)
            flapping = play.servers['c']
            flapping.is_broken = lambda age_s: 104 <= age_s < 104.2
            play.run(8)
            peaks[mode] = flapping.peak(4.2, 4.8)
            assert flapping.arrivals(5, 8) > 75
        assert peaks[AUTO] <= 2 < peaks[OFF]

    def test_broken_server(self) -> None:
        """Guards against many lost calls at a server that is still broken."""
        failed_counts = {}
        for mode in (AUTO, OFF):
            play = ramp_harness.Play(mode, 12)
            play.call_evenly(120, 14)
            play.servers['c'].is_broken = lambda age_s: age_s >= 104
            play.run(14)
            failed_counts[mode] = len(play.failed_sends)
        assert failed_counts[AUTO] < 0.75 * failed_counts[OFF]

    def test_planned_release(self) -> None:
        """Guards against overloading the rest while one after another starts.

        Each new server is slow for a second.
        """
        late_shares = {}
        for mode in (AUTO, OFF):
            play = ramp_harness.Play(mode, 12)
            play.call_evenly(180, 16)
            for number, name in enumerate('def'):
                play.add(name, 4.0 + 4 * number, _briefly_cold, 'abc'[number])
            play.run(16)
            late_shares[mode] = play.late_share(4, 16)
            if mode is AUTO:
                peaks = [one.peak(4, 16) for one in play.servers.values()]
                assert max(peaks) <= 3 * SLOTS
        assert late_shares[AUTO] < 0.005 < 0.03 < late_shares[OFF]

    def test_peers_are_cut_off(self) -> None:
        """Guards against each instance probing alone when no report comes."""
        peaks = {}
        for mode in (ON, OFF):
            play = ramp_harness.Play(mode, 58, 'ab', is_cut_off=True)
            play.call_evenly(120, 16)
            play.add('c', 4.0, _cold)
            play.run(16)
            peaks[mode] = play.servers['c'].peak(4, 7)
            assert play.servers['c'].arrivals(14.5, 16) > 30
        assert peaks[ON] <= SLOTS < peaks[OFF]


class TestAllowance:
    """How many instances may send to a new server."""

    def test_it_grows_without_traffic(self) -> None:
        """Guards against a new server that waits for idle instances."""
        play = ramp_harness.Play(ON, 58, 'ab')
        play.run(4.0)
        _add_now(play, 'c')
        admitted = []
        for at_s in (0.1, 0.4, 0.7, 1.0, 5.0, 10.1):
            play.run(4.0 + at_s)
            admitted.append(_admitted_count(play))
        assert admitted == [1, 2, 4, SLOTS, SLOTS, 58]

    def test_it_follows_responses(self) -> None:
        """Guards against a pace that the responses do not set."""
        play = ramp_harness.Play(ON, 1, 'ab')
        _add_now(play, 'c')
        instance = play.instances[0]
        new = play.servers['c'].target
        instance.targets.report_response(
            play.servers['a'].target, 'r', 45, False
        )
        limits = []
        for latency_ms in (45, 135, 45, 45):
            instance.targets.report_response(new, 'r', latency_ms, False)
            in_flight_count = 0
            while _is_admitted(instance) and in_flight_count < 2 * SLOTS:
                instance.targets.begin_request(new)
                in_flight_count += 1
            for _ in range(in_flight_count):
                instance.targets.end_request(new)
            limits.append(in_flight_count)
        assert limits == [2, 1, 2, 4]

    def test_sound_responses_end_the_ramp_before_the_allowance(self) -> None:
        """Guards against holding back a sound server with few requests."""
        play = ramp_harness.Play(ON, 1, 'ab')
        _add_now(play, 'c')
        new = play.servers['c'].target
        play.instances[0].targets.report_response(new, 'r', 45, False)
        play.run(3.1)
        assert _is_admitted(play.instances[0])
        assert [end.cause for end in _ended(play)] == ['sound responses only']

    def test_first_events_of_an_engine(self) -> None:
        """Guards against an engine that waits for a whole run to end."""
        play = ramp_harness.Play(ON, 1, 'ab')
        engine = ramp_harness.server('e', models=('m',), slots=16)
        targets = play.instances[0].targets
        targets.apply(data.TargetChange('e', engine))
        targets.report_first_event(engine, 'r', 1000)
        assert not _ended(play)
        targets.report_first_event(engine, 'r', 1000)
        assert [end.allowance for end in _ended(play)] == [16]

    def test_a_refusal_halves_it(self) -> None:
        """Guards against sending more to a server that refuses."""
        play = ramp_harness.Play(ON, 1, 'ab')
        _add_now(play, 'c')
        targets = play.instances[0].targets
        new = play.servers['c'].target
        targets.report_response(new, 'r', 45, False)
        targets.report_head(new, harness.head(429, is_not_executed=True))
        targets.begin_request(new)
        assert not _admitted_count(play)

    def test_a_new_server_is_used_if_no_other_is_free(self) -> None:
        """Guards against queues at full servers beside an idle new one."""
        play = ramp_harness.Play(ON, 58, 'ab')
        _add_now(play, 'c')
        assert _admitted_count(play) == 1
        full = data.TargetLoad(SLOTS, 3, SLOTS)
        for instance in play.instances:
            for name in 'ab':
                instance.targets.report_head(
                    play.servers[name].target,
                    dataclasses.replace(harness.head(), load=full),
                )
        assert _admitted_count(play) == 58

    def test_most_slots_are_new(self) -> None:
        """Guards against one old server that gets the work of all."""
        play = ramp_harness.Play(ON, 58, 'a')
        _add_now(play, 'b', 'c')
        assert _admitted_count(play) == 58
        assert _ramping_count(play) == 2

    def test_a_preferred_version_keeps_its_share(self) -> None:
        """Guards against a trial whose requests go to the old version."""
        play = ramp_harness.Play(ON, 58, 'ab')
        trial = ramp_harness.server('t', version='v2')
        rule = forwarding.ANY_VERSION.preferring('v2')
        for instance in play.instances:
            instance.targets.apply(data.TargetChange('t', trial))
            chosen = instance.targets.choose_for_call(
                'pool', frozenset(), rule
            )
            assert chosen == trial
        assert _ramping_count(play) == 1

    def test_engines_start_with_a_quarter_of_their_slots(self) -> None:
        """Guards against piling the runs of all instances on new engines.

        A lost domain comes back with empty engines, and no instance has
        heard of the runs that the others have just placed.
        """
        counts: dict[data.RampMode, collections.Counter[str]] = {}
        for mode in (ON, OFF):
            play = ramp_harness.Play(mode, 12, '')
            counts[mode] = collections.Counter()
            engines = [
                ramp_harness.server(f'{kind}{number}', 'v1', ('m',), 16)
                for kind, count in (('old', 6), ('new', 3))
                for number in range(count)
            ]
            for instance in play.instances:
                instance.targets.replace(tuple(engines[:6]), False)
            play.run(11.0)
            for instance in play.instances:
                for number, old in enumerate(engines[:6]):
                    instance.fleet.record_run(
                        data.RunStatus(
                            f'busy{number}', 'x', old.name, None, True
                        )
                    )
                for new in engines[6:]:
                    instance.targets.apply(data.TargetChange(new.name, new))
                for run in range(3):
                    pair = instance.targets.placement.choose_engines(
                        'pool',
                        'm',
                        harness.demand(f'{instance.fleet.instance}-{run}'),
                        frozenset(),
                    )
                    assert pair is not None
                    instance.targets.begin_request(pair.primary)
                    counts[mode][pair.primary.name] += 1
        assert [counts[ON][f'new{number}'] for number in range(3)] == [4] * 3
        assert max(counts[OFF].values()) > 8


class TestStartOfRamp:
    """Which targets are ramped up."""

    def _causes(self, play: ramp_harness.Play) -> list[str]:
        started = play.events(_target_ramp_events.TargetRampStarted)
        return [event.cause for event in started]

    def test_only_where_a_slowdown_was_reported(self) -> None:
        """Guards against serving earlier deployments in another way."""
        play = ramp_harness.Play(AUTO, 1, 'ab')
        _add_now(play, 'c')
        assert self._causes(play) == []
        load = data.TargetLoad(0, 0, SLOTS, slowdown=1.0)
        play.instances[0].targets.report_head(
            play.servers['a'].target,
            dataclasses.replace(harness.head(), load=load),
        )
        _add_now(play, 'd')
        assert self._causes(play) == ['new']

    def test_a_restart_under_the_same_name(self) -> None:
        """Guards against taking a crashed server for the one before it."""
        play = ramp_harness.Play(ON, 1, '')
        targets = play.instances[0].targets
        for started_at_ms in (1000, 1000, 900, 2000):
            target = ramp_harness.server('a', started_at_ms=started_at_ms)
            targets.apply(data.TargetChange('a', target))
        assert self._causes(play) == ['back in the list', 'new']

    def test_first_list_of_a_restarted_instance(self) -> None:
        """Guards against ramps of all targets when an instance restarts."""
        play = ramp_harness.Play(ON, 1, '')
        env = harness.make_harness(harness.target('a'))
        now_ms = round(1000 * env.clock.wall_s())
        play.instances[0].targets.is_synced.clear()
        play.instances[0].targets.replace(
            (
                ramp_harness.server('a'),
                ramp_harness.server('b', started_at_ms=1000),
                ramp_harness.server('c', started_at_ms=now_ms - 62_000),
            ),
            after_outage=False,
        )
        assert self._causes(play) == ['new']

    def test_after_a_pause(self) -> None:
        """Guards against flooding a server that has asked for a pause."""
        play = ramp_harness.Play(ON, 58, 'abc')
        paused = play.servers['c'].target
        for instance in play.instances:
            instance.targets.report_head(
                paused, harness.head(503, True, True, retry_after_s=1.0)
            )
        play.run(1.1)
        assert _admitted_count(play) == 1
        assert set(self._causes(play)) == {'back after a pause'}


class TestReportsOfPeers:
    """Reports tell of sound, slow and impossible responses."""

    def _receive(self, play: ramp_harness.Play, **figures: int) -> None:
        play.instances[0].targets.ramps.receive(
            (data.TargetObservation('c', None, **figures),)
        )

    def test_responses_of_peers_end_a_ramp(self) -> None:
        """Guards against instances without traffic that hold a server back."""
        play = ramp_harness.Play(ON, 1, 'ab')
        _add_now(play, 'c')
        self._receive(play, answered_count=2)
        assert not _ended(play)
        self._receive(play, answered_count=1)
        assert len(_ended(play)) == 1

    def test_a_ramping_target_is_reported_first(self) -> None:
        """Guards against peers that wait for the one response they need."""
        play = ramp_harness.Play(ON, 1, 'ab')
        _add_now(play, 'c')
        targets = play.instances[0].targets
        for number in range(20):
            busy = ramp_harness.server(f'busy{number}')
            for _ in range(50):
                targets.observations.record_unit_time(busy, 0.04)
        targets.report_response(play.servers['c'].target, 'r', 45, False)
        assert targets.ramps.take()[0].target == 'c'

    def test_a_slow_mean_is_a_setback(self) -> None:
        """Guards against reading any response of a peer as a sound one."""
        play = ramp_harness.Play(ON, 1, 'ab')
        _add_now(play, 'c')
        targets = play.instances[0].targets
        targets.report_response(play.servers['a'].target, 'r', 45, False)
        self._receive(
            play, answered_count=9, sample_count=9, unit_time_us=135_000
        )
        assert _ramping_count(play) == 1

    def test_reports_of_the_time_before_an_ejection(self) -> None:
        """Guards against ending a ramp by responses before the failure."""
        play = ramp_harness.Play(ON, 1, 'abc')
        play.instances[0].targets.report_failure(
            play.servers['c'].target, 'r', 'reset', is_loss=True
        )
        play.run(0.6)
        assert _is_admitted(play.instances[0])
        self._receive(play, answered_count=9)
        assert _ramping_count(play) == 1

    def test_absurd_figures(self) -> None:
        """Guards against figures that end a ramp or an instance."""
        play = ramp_harness.Play(ON, 1, 'ab')
        _add_now(play, 'c')
        self._receive(play, answered_count=10**9)
        self._receive(play, answered_count=3, unit_time_us=-1)
        self._receive(play, answered_count=3, waiting_count=-(10**9))
        assert not _ended(play)
        dropped = play.events(_target_ramp_events.RampObservationDropped)
        assert len(dropped) == 1
        assert play.instances[0].targets.ramps.counts().dropped_count == 3

    def test_an_unexpected_error_is_contained(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests that fail because of the ramp."""

        def fail(*_: object) -> float:
            raise ValueError('odd')

        play = ramp_harness.Play(ON, 58, 'ab')
        _add_now(play, 'c')
        monkeypatch.setattr(_response_judge.ResponseJudge, 'usual_s', fail)
        assert _admitted_count(play) == 58
        assert play.events(_events.UnexpectedError)


class TestExplanation:
    """Log lines and metrics of ramps."""

    def test_a_request_tells_which_target_it_passed_over(self) -> None:
        """Guards against idle targets that no log line explains."""
        env = harness.make_harness(harness.target('a'))
        load = data.TargetLoad(0, 0, SLOTS, slowdown=1.0)
        env.targets.report_head(
            harness.target('a'), dataclasses.replace(harness.head(), load=load)
        )
        new = harness.target('b')
        env.targets.apply(data.TargetChange('b', new))
        env.targets.begin_request(new)
        env.client.script('a', harness.answer_script())
        admitted = env.work(harness.route(), harness.request())
        env.calls.run(admitted)
        assert admitted.trace.steps[0].step == 'target_ramp'
        assert admitted.trace.steps[0].inputs == {
            'passed_over': 1,
            'allowances': {'b': 1},
        }
        counts = env.targets.ramps.counts()
        assert counts.held_back_count == 1
        assert counts.started_count_by_cause == {'new': 1}
        assert 'target ramp started' in env.log.messages('target')
