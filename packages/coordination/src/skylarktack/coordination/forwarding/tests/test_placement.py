"""Tests of placing runs on engines: tables of fleets, and played loads."""

import dataclasses
import random

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

EngineLoad = _placement.EngineLoad


@dataclasses.dataclass(frozen=True)
class FleetCase:
    """Loads of a fleet, and the engine that a run should be placed on."""

    name: str
    loads: dict[str, EngineLoad]
    expected: str
    demand: _placement.RunDemand = harness.demand()
    slot_count: int = 64


CASES = (
    FleetCase('idle engine', {'a': EngineLoad(decode_count=1)}, 'b'),
    FleetCase(
        'a prompt being read weighs more than a run',
        {'a': EngineLoad(prefill_count=1), 'b': EngineLoad(decode_count=1)},
        'b',
    ),
    FleetCase(
        'full memory weighs more than free slots',
        {
            'a': EngineLoad(decode_count=1, token_count=50_000),
            'b': EngineLoad(decode_count=4, token_count=24_000),
        },
        'b',
    ),
    FleetCase(
        'copies fill the memory too',
        {
            'a': EngineLoad(standby_count=6, token_count=48_000),
            'b': EngineLoad(decode_count=3, token_count=18_000),
        },
        'b',
    ),
    FleetCase(
        'few slots weigh more than free memory',
        {
            'a': EngineLoad(decode_count=2, token_count=12_000),
            'b': EngineLoad(decode_count=1, token_count=40_000),
        },
        'b',
        slot_count=2,
    ),
    FleetCase(
        'the engine with the prompt',
        {'a': EngineLoad(decode_count=1)},
        'a',
        harness.demand(known_engine='a'),
    ),
    FleetCase(
        'not if it has too much work',
        {'a': EngineLoad(prefill_count=1, decode_count=2)},
        'b',
        harness.demand(known_engine='a'),
    ),
    FleetCase(
        'an interrupted stream waits longer for its prompt',
        {'a': EngineLoad(prefill_count=1, decode_count=2)},
        'a',
        dataclasses.replace(harness.demand(known_engine='a'), is_resumed=True),
    ),
    FleetCase(
        'unknown memory',
        {
            'a': EngineLoad(decode_count=1, token_count=900_000),
            'b': EngineLoad(decode_count=2),
        },
        'a',
        dataclasses.replace(harness.demand(), kv_cache_tokens=0),
    ),
)


class TestChoosePrimary:
    """The engine that a run slows down least."""

    @pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
    def test_fleet(self, case: FleetCase) -> None:
        """Guards against placing runs by a count that says little."""
        targets = [
            dataclasses.replace(
                harness.target(name), slot_count=case.slot_count
            )
            for name in 'ab'
        ]
        chosen = _placement.choose_primary(targets, case.loads, case.demand)
        assert chosen.name == case.expected

    def test_prompt_returns_to_an_idle_fleet(self) -> None:
        """Guards against reading all prompts again after a kill of all.

        No instance remembers where a prompt was read, and the choice among
        equals depends on the prompt alone.
        """
        targets = [harness.target(f'engine-{number}') for number in range(18)]
        draw = random.Random(3)
        found_count = 0
        for number in range(200):
            demand = harness.demand(f'prompt-{number}')
            loads = {
                target.name: EngineLoad(decode_count=draw.randint(1, 2))
                for target in targets
            }
            before = _placement.choose_primary(targets, loads, demand)
            after = _placement.choose_primary(targets, {}, demand)
            found_count += before == after
        # At random it would be one in 18.
        assert found_count > 60


class TestChooseStandby:
    """The engine on which a run goes on best after a loss."""

    def test_other_domain_first(self) -> None:
        """Guards against a copy that is lost with the run's domain."""
        near = harness.target('near')
        far = harness.target('far', 'domain-b')
        loads = {'far': EngineLoad(decode_count=3)}
        chosen = _placement.choose_standby(
            (near, far), harness.target('a'), loads, harness.demand()
        )
        assert chosen == far

    def test_engine_without_room_is_last(self) -> None:
        """Guards against a copy that finds no room."""
        targets = [harness.target(name, 'domain-b') for name in 'bc']
        loads = {
            'b': EngineLoad(token_count=54_500),
            'c': EngineLoad(decode_count=3, token_count=20_000),
        }
        chosen = _placement.choose_standby(
            targets, harness.target('a'), loads, harness.demand()
        )
        assert chosen is not None
        assert chosen.name == 'c'

    def test_copies_are_spread(self) -> None:
        """Guards against one engine that takes over all runs of another."""
        targets = [harness.target(name, 'domain-b') for name in 'bcde']
        loads: dict[str, EngineLoad] = {}
        counts = dict.fromkeys('bcde', 0)
        for number in range(16):
            chosen = _placement.choose_standby(
                targets,
                harness.target('a'),
                loads,
                harness.demand(f'prompt-{number}'),
            )
            assert chosen is not None
            counts[chosen.name] += 1
            run = data.RunStatus('x', 'x', 'a', None, False, False, 3000)
            load = loads.get(chosen.name, _placement.IDLE)
            loads[chosen.name] = load.with_standby(run)
        assert set(counts.values()) == {4}


class TestFullEngine:
    """What an engine reports of its room."""

    @pytest.mark.parametrize(
        ('queued_count', 'used_tokens', 'is_full'),
        [
            (0, 20_000, False),
            (1, 20_000, True),
            (0, 46_000, True),
            (0, 45_900, False),
            (0, None, False),
            (None, None, False),
        ],
    )
    def test_report(
        self,
        queued_count: int | None,
        used_tokens: int | None,
        is_full: bool,
    ) -> None:
        """Guards against runs that are queued or preempt others."""
        report = data.TargetReport(queued_count, used_tokens=used_tokens)
        assert (
            _placement.is_report_of_full_engine(report, harness.demand())
            == is_full
        )


class TestFreshInstance:
    """An instance that started a short time ago asks engines for room."""

    def test_full_engine_is_passed_over(self) -> None:
        """Guards against runs that queue behind copies of lost runs."""
        env = harness.make_harness(
            harness.target('a'), harness.target('b'), is_warmed_up=False
        )
        preferred = _placement.choose_primary(
            [harness.target('a'), harness.target('b')], {}, harness.demand()
        ).name
        other = 'b' if preferred == 'a' else 'a'
        env.client.reports[preferred] = data.TargetReport(
            0, used_tokens=50_000
        )
        env.client.script(other, harness.stream_script(1, 3))
        env.stream()
        assert env.client.sent_to() == [other]
        assert env.client.probed == [preferred, other]

    def test_all_engines_full(self) -> None:
        """Guards against refusing a stream that may wait in a queue."""
        env = harness.make_harness(
            harness.target('a'), harness.target('b'), is_warmed_up=False
        )
        for name in 'ab':
            env.client.reports[name] = data.TargetReport(2)
            env.client.script(name, harness.stream_script(1, 3))
        env.stream()
        assert env.caller.received == harness.event_range_bytes(1, 3)

    def test_unresponsive_engine_is_passed_over(self) -> None:
        """Guards against a prompt that is sent to a frozen engine."""
        env = harness.make_harness(
            harness.target('a'), harness.target('b'), is_warmed_up=False
        )
        env.client.unresponsive.add('a')
        env.client.script('b', harness.stream_script(1, 3))
        env.stream()
        assert env.client.sent_to() == ['b']

    def test_returning_stream_finds_its_prompt(self) -> None:
        """Guards against reading all prompts again after a kill of all."""
        names = [f'engine-{number}' for number in range(12)]
        targets = [harness.target(name) for name in names]
        ranked = _placement.likely_engines(targets, harness.demand('own'), 4)
        expected = ranked[2].name
        env = harness.make_harness(*targets, is_warmed_up=False)
        env.client.parts[expected] = frozenset(('shared', 'own'))
        env.client.script(expected, harness.stream_script(8, 9))
        resumed = harness.request(last_event_id=7, time_limit_ms=25000.0)
        outcome = env.stream(of_request=resumed)
        assert isinstance(outcome, forwarding.StreamCompleted)
        assert env.client.sent_to() == [expected]
        assert env.client.asked_for_parts == [
            engine.name for engine in ranked[:3]
        ]

    def test_few_engines_are_asked_for_a_prompt(self) -> None:
        """Guards against questions that grow with the number of engines."""
        names = [f'engine-{number}' for number in range(40)]
        env = harness.make_harness(
            *(harness.target(name) for name in names), is_warmed_up=False
        )
        for name in names:
            env.client.script(name, harness.stream_script(8, 9))
        env.stream(
            of_request=harness.request(last_event_id=7, time_limit_ms=25000.0)
        )
        assert len(env.client.asked_for_parts) == 4

    def test_new_stream_asks_for_no_prompt(self) -> None:
        """Guards against questions about prompts that nobody has read."""
        env = harness.make_harness(harness.target('a'), is_warmed_up=False)
        env.client.script('a', harness.stream_script(1, 3))
        env.stream()
        assert not env.client.asked_for_parts

    def test_later_no_engine_is_asked(self) -> None:
        """Guards against a probe for each stream, which is charged."""
        env = harness.make_harness(harness.target('a'))
        env.client.script('a', harness.stream_script(1, 3, start_s=0.2))
        env.stream()
        assert not env.client.probed
