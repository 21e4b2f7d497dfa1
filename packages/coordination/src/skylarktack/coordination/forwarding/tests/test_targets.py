"""The table of targets: list, evidence, choice."""

import dataclasses

from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


class TestTargetList:
    """The table follows the registry, also after an outage."""

    def test_a_leaving_target_gets_nothing_new(self) -> None:
        """Guards against requests to a target that stops."""
        desk = harness.make_harness(harness.target('a'), harness.target('b'))
        leaving = harness.target('a', is_leaving=True)
        desk.targets.apply(data.TargetChange('a', leaving))
        chosen = desk.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'b'

    def test_a_target_that_is_gone_is_forgotten(self) -> None:
        """Guards against an address that another service has by now."""
        desk = harness.make_harness(harness.target('a'))
        desk.targets.apply(data.TargetChange('a', None))
        assert desk.targets.choose_for_call('pool', frozenset()) is None

    def test_entries_that_expired_in_an_outage_have_a_moment(self) -> None:
        """Guards against an empty table right after an outage."""
        desk = harness.make_harness(harness.target('a'))
        desk.targets.replace((), after_outage=True)
        assert desk.targets.choose_for_call('pool', frozenset()) is not None
        desk.clock.advance(2.5)
        assert desk.targets.choose_for_call('pool', frozenset()) is None

    def test_an_entry_that_comes_back_stays(self) -> None:
        """Guards against dropping a target that registered again."""
        desk = harness.make_harness(harness.target('a'))
        desk.targets.replace((), after_outage=True)
        desk.targets.apply(data.TargetChange('a', harness.target('a')))
        desk.clock.advance(2.5)
        assert desk.targets.choose_for_call('pool', frozenset()) is not None


class TestStandby:
    """A copy lies where the run can go on."""

    def test_serves_the_model(self) -> None:
        """Guards against copies at engines of another model."""
        other = dataclasses.replace(
            harness.target('b', 'domain-b'), models=('other',)
        )
        same = dataclasses.replace(
            harness.target('c', 'domain-c'), models=('wanted', 'other')
        )
        desk = harness.make_harness(harness.target('a'), other, same)
        for _ in range(8):
            standby = desk.targets.choose_standby(
                'pool', harness.target('a'), 'wanted'
            )
            assert standby is not None
            assert standby.name == 'c'


class TestEvidence:
    """Failures pass a target over; answers bring it back."""

    def test_a_failed_target_is_passed_over_for_a_while(self) -> None:
        """Guards against request after request to a dead target."""
        desk = harness.make_harness(harness.target('a'), harness.target('b'))
        desk.targets.report_failure(
            harness.target('a'), 'book', 'reset', is_loss=True
        )
        for _ in range(5):
            chosen = desk.targets.choose_for_call('pool', frozenset())
            assert chosen is not None
            assert chosen.name == 'b'
        desk.clock.advance(1.0)
        assert not desk.targets.is_unavailable(harness.target('a'))

    def test_a_slow_route_does_not_condemn_a_target(self) -> None:
        """Guards against passing over sound targets for a route's time.

        Each call on a route with a short time ran out on every target, and
        kept it from the calls of all other routes.
        """
        desk = harness.make_harness(harness.target('a'))
        sent_at_s = desk.clock.monotonic_s()
        desk.clock.advance(0.2)
        desk.targets.report_alive(harness.target('a'))
        desk.clock.advance(0.2)
        desk.targets.report_timeout(harness.target('a'), 'book', sent_at_s)
        assert not desk.targets.is_unavailable(harness.target('a'))

    def test_a_target_that_hangs_is_passed_over(self) -> None:
        """Guards against calls to a target that answers nobody."""
        desk = harness.make_harness(harness.target('a'))
        desk.targets.report_alive(harness.target('a'))
        desk.clock.advance(0.1)
        sent_at_s = desk.clock.monotonic_s()
        desk.clock.advance(0.8)
        desk.targets.report_timeout(harness.target('a'), 'book', sent_at_s)
        assert desk.targets.is_unavailable(harness.target('a'))

    def test_is_used_when_all_others_failed_too(self) -> None:
        """Guards against refusals while a target might serve."""
        desk = harness.make_harness(harness.target('a'))
        desk.targets.report_failure(
            harness.target('a'), 'book', 'reset', is_loss=True
        )
        assert desk.targets.choose_for_call('pool', frozenset()) is not None

    def test_two_losses_put_a_domain_in_doubt(self) -> None:
        """Guards against trying each target of a domain that died."""
        desk = harness.make_harness(
            harness.target('a'),
            harness.target('b'),
            harness.target('c'),
            harness.target('d', 'domain-b'),
        )
        for name in ('a', 'b'):
            desk.targets.report_failure(
                harness.target(name), 'book', 'reset', True
            )
        chosen = desk.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'd'

    def test_the_doubt_lasts_as_long_as_entries_of_the_dead(self) -> None:
        """Guards against copies of runs at engines that died unnoticed.

        An entry stays for three heartbeats, or for as long as the store is
        away, and a dead engine looks idle.
        """
        desk = harness.make_harness(
            *(harness.target(name) for name in 'abc'),
            harness.target('d', 'domain-b'),
        )
        for name in ('a', 'b'):
            desk.targets.report_failure(
                harness.target(name), 'book', 'reset', True
            )
        desk.clock.advance(9.0)
        standby = desk.targets.choose_standby(
            'pool', harness.target('x', 'z'), None
        )
        assert standby is not None
        assert standby.name == 'd'

    def test_what_is_heard_or_new_is_not_in_doubt(self) -> None:
        """Guards against passing over the living of a domain."""
        desk = harness.make_harness(*(harness.target(name) for name in 'abc'))
        for name in ('a', 'b'):
            desk.targets.report_failure(
                harness.target(name), 'book', 'reset', True
            )
        desk.clock.advance(0.1)
        desk.targets.report_alive(harness.target('c'))
        desk.targets.apply(data.TargetChange('new', harness.target('new')))
        desk.targets.apply(
            data.TargetChange('far', harness.target('far', 'domain-b'))
        )
        chosen = set()
        for _ in range(60):
            pair = desk.targets.choose_engines(
                'pool', harness.request(), frozenset()
            )
            assert pair is not None
            chosen.add(pair.primary.name)
        assert chosen == {'c', 'new', 'far'}

    def test_one_target_that_fails_twice_is_no_domain(self) -> None:
        """Guards against one bad target that puts a domain in doubt."""
        desk = harness.make_harness(harness.target('a'), harness.target('b'))
        for _ in range(3):
            desk.targets.report_failure(
                harness.target('a'), 'book', 'reset', True
            )
        desk.targets.apply(
            data.TargetChange('far', harness.target('far', 'domain-b'))
        )
        desk.targets.report_answer(harness.target('far'), 'book', 900.0, False)
        chosen = desk.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'b'

    def test_a_recent_answer_outweighs_a_rumour(self) -> None:
        """Guards against one instance's broken link ejecting a target."""
        desk = harness.make_harness(harness.target('a'))
        desk.targets.report_answer(
            harness.target('a'), 'book', 20.0, is_error=False
        )
        desk.targets.report_suspicion('a')
        assert not desk.targets.is_unavailable(harness.target('a'))

    def test_a_rumour_passes_a_target_over(self) -> None:
        """Guards against each instance finding a loss by itself."""
        desk = harness.make_harness(harness.target('a'))
        desk.targets.report_suspicion('a')
        assert desk.targets.is_unavailable(harness.target('a'))

    def test_a_refused_connection_outlasts_the_entry(self) -> None:
        """Guards against trying a process that ended until it is unlisted.

        Its entry stays for three heartbeats; the next process at the
        address has another name.
        """
        desk = harness.make_harness(harness.target('a'), harness.target('b'))
        desk.targets.report_connection_refused(
            harness.target('a'), 'book', 'refused'
        )
        desk.clock.advance(3.6)
        assert desk.targets.is_unavailable(harness.target('a'))

    def test_a_target_that_lost_its_address_is_told_to_peers(self) -> None:
        """Guards against each instance asking the wrong target once."""
        desk = harness.make_harness(harness.target('a'), harness.target('b'))
        desk.fleet.full_report()
        desk.targets.report_misdirected(harness.target('a'))
        report = desk.fleet.change_report()
        assert report is not None
        assert report.replaced_targets == ('a',)
        other = harness.make_harness(harness.target('a'), harness.target('b'))
        other.fleet.receive(dataclasses.replace(report, instance='peer'))
        assert other.targets.is_unavailable(harness.target('a'))
        other.clock.advance(3.6)
        assert other.targets.is_unavailable(harness.target('a'))

    def test_a_name_without_an_address_stays_out_in_an_outage(self) -> None:
        """Guards against asking for the dead again and again.

        Entries do not expire while the store is away.
        """
        desk = harness.make_harness(harness.target('a'), harness.target('b'))
        desk.targets.report_misdirected(harness.target('a'))
        desk.clock.advance(30.0)
        assert desk.targets.is_unavailable(harness.target('a'))
        again = dataclasses.replace(harness.target('a'), started_at_ms=5)
        desk.targets.apply(data.TargetChange('a', again))
        assert not desk.targets.is_unavailable(again)

    def test_errors_and_slowness_lower_a_target(self) -> None:
        """Guards against a grey target that answers health checks."""
        desk = harness.make_harness(
            harness.target('grey'), harness.target('good', 'domain-b')
        )
        for _ in range(10):
            desk.targets.report_answer(
                harness.target('grey'), 'book', 20.0, True
            )
            desk.targets.report_answer(
                harness.target('good'), 'book', 20.0, False
            )
        chosen = desk.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'good'


class TestEngineChoice:
    """Engines are chosen by the runs of the whole fleet."""

    def test_spreads_runs_by_the_reports_of_peers(self) -> None:
        """Guards against all instances choosing the same engine."""
        desk = harness.make_harness(
            harness.target('a'), harness.target('b', 'domain-b')
        )
        desk.fleet.receive(
            data.InstanceReport(
                instance='instance-1',
                endpoint=data.Address('10.1.0.2', 7200),
                started_at_ms=1,
                sequence=1,
                is_full=True,
                runs=(data.RunStatus('x', 'x', 'a', None, True),),
                lost_targets=(),
                next_report_ms=1000,
            )
        )
        for _ in range(5):
            pair = desk.targets.choose_engines(
                'pool', harness.request(), frozenset()
            )
            assert pair is not None
            assert pair.primary.name == 'b'

    def test_ties_are_broken_at_random(self) -> None:
        """Guards against instances that all take the first of equals."""
        names = [f'engine-{number}' for number in range(8)]
        desk = harness.make_harness(*(harness.target(name) for name in names))
        chosen = set()
        for _ in range(100):
            pair = desk.targets.choose_engines(
                'pool', harness.request(), frozenset()
            )
            assert pair is not None
            chosen.add(pair.primary.name)
        assert len(chosen) > 4
