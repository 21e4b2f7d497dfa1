"""Tests of the table of targets: updates, statistics and selection."""

import dataclasses
import math

from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


def _engines_of_prompts(env: harness.Harness) -> set[str]:
    """Return the engines that are chosen for many prompts."""
    chosen = set()
    for number in range(60):
        pair = env.targets.placement.choose_engines(
            'pool', None, harness.demand(f'prompt-{number}'), frozenset()
        )
        assert pair is not None
        chosen.add(pair.primary.name)
    return chosen


class TestTargetList:
    """Updates of the table by the store, also after an outage."""

    def test_a_draining_target_receives_no_requests(self) -> None:
        """Guards against requests to a target that is about to stop."""
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        draining = harness.target('a', is_leaving=True)
        env.targets.apply(data.TargetChange('a', draining))
        chosen = env.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'b'

    def test_a_removed_target_receives_no_requests(self) -> None:
        """Guards against sending requests to another service's address."""
        env = harness.make_harness(harness.target('a'))
        env.targets.apply(data.TargetChange('a', None))
        assert env.targets.choose_for_call('pool', frozenset()) is None

    def test_entries_that_expired_in_an_outage_are_kept_briefly(self) -> None:
        """Guards against having no targets right after an outage."""
        env = harness.make_harness(harness.target('a'))
        env.targets.replace((), after_outage=True)
        assert env.targets.choose_for_call('pool', frozenset()) is not None
        env.clock.advance(2.5)
        assert env.targets.choose_for_call('pool', frozenset()) is None

    def test_a_target_that_registers_again_stays(self) -> None:
        """Guards against removing a target that registered again."""
        env = harness.make_harness(harness.target('a'))
        env.targets.replace((), after_outage=True)
        env.targets.apply(data.TargetChange('a', harness.target('a')))
        env.clock.advance(2.5)
        assert env.targets.choose_for_call('pool', frozenset()) is not None


class TestStandbySelection:
    """Selection of the engine for the standby copy of a run."""

    def test_serves_the_model(self) -> None:
        """Guards against standby copies on engines of another model."""
        other = dataclasses.replace(
            harness.target('b', 'domain-b'), models=('other',)
        )
        same = dataclasses.replace(
            harness.target('c', 'domain-c'), models=('wanted', 'other')
        )
        env = harness.make_harness(harness.target('a'), other, same)
        for _ in range(8):
            standby = env.targets.placement.choose_standby(
                'pool', harness.target('a'), 'wanted', harness.demand()
            )
            assert standby is not None
            assert standby.name == 'c'


class TestEjection:
    """Ejection of targets after failures, and suspicion of domains."""

    def test_a_failed_target_is_ejected_for_a_while(self) -> None:
        """Guards against repeated requests to a failed target."""
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        env.targets.report_failure(
            harness.target('a'), 'book', 'reset', is_loss=True
        )
        for _ in range(5):
            chosen = env.targets.choose_for_call('pool', frozenset())
            assert chosen is not None
            assert chosen.name == 'b'
        env.clock.advance(1.0)
        assert not env.targets.is_unavailable(harness.target('a'))

    def test_a_short_route_timeout_does_not_eject_a_target(self) -> None:
        """Guards against ejecting healthy targets for a route's timeout.

        Calls on a route with a short timeout timed out at every target, which
        ejected the targets for the calls of all other routes.
        """
        env = harness.make_harness(harness.target('a'))
        sent_at_s = env.clock.monotonic_s()
        env.clock.advance(0.2)
        env.targets.report_alive(harness.target('a'))
        env.clock.advance(0.2)
        env.targets.report_timeout(harness.target('a'), 'book', sent_at_s)
        assert not env.targets.is_unavailable(harness.target('a'))

    def test_an_unresponsive_target_is_ejected(self) -> None:
        """Guards against calls to a target that no longer responds."""
        env = harness.make_harness(harness.target('a'))
        env.targets.report_alive(harness.target('a'))
        env.clock.advance(0.1)
        sent_at_s = env.clock.monotonic_s()
        env.clock.advance(0.8)
        env.targets.report_timeout(harness.target('a'), 'book', sent_at_s)
        assert env.targets.is_unavailable(harness.target('a'))

    def test_an_ejected_target_is_used_if_no_other_is_left(self) -> None:
        """Guards against rejecting requests while a target may respond."""
        env = harness.make_harness(harness.target('a'))
        env.targets.report_failure(
            harness.target('a'), 'book', 'reset', is_loss=True
        )
        assert env.targets.choose_for_call('pool', frozenset()) is not None

    def test_two_failures_make_a_domain_suspect(self) -> None:
        """Guards against trying every target of a failed domain."""
        env = harness.make_harness(
            harness.target('a'),
            harness.target('b'),
            harness.target('c'),
            harness.target('d', 'domain-b'),
        )
        for name in ('a', 'b'):
            env.targets.report_failure(
                harness.target(name), 'book', 'reset', True
            )
        chosen = env.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'd'

    def test_a_suspicion_lasts_as_long_as_the_entries(self) -> None:
        """Guards against standby copies on engines that failed unnoticed.

        An entry remains for three heartbeat intervals, or for as long as the
        store is unavailable, and a failed engine looks idle.
        """
        env = harness.make_harness(
            *(harness.target(name) for name in 'abc'),
            harness.target('d', 'domain-b'),
        )
        for name in ('a', 'b'):
            env.targets.report_failure(
                harness.target(name), 'book', 'reset', True
            )
        env.clock.advance(9.0)
        standby = env.targets.placement.choose_standby(
            'pool', harness.target('x', 'z'), None, harness.demand()
        )
        assert standby is not None
        assert standby.name == 'd'

    def test_live_and_new_targets_are_not_suspect(self) -> None:
        """Guards against excluding the live targets of a domain."""
        env = harness.make_harness(*(harness.target(name) for name in 'abc'))
        for name in ('a', 'b'):
            env.targets.report_failure(
                harness.target(name), 'book', 'reset', True
            )
        env.clock.advance(0.1)
        env.targets.report_alive(harness.target('c'))
        env.targets.apply(data.TargetChange('new', harness.target('new')))
        env.targets.apply(
            data.TargetChange('far', harness.target('far', 'domain-b'))
        )
        assert _engines_of_prompts(env) == {'c', 'new', 'far'}

    def test_a_late_loss_does_not_renew_a_suspicion(self) -> None:
        """Guards against avoiding the replaced targets of a domain.

        Runs at targets that hung with open connections were found lost after
        the domain was back. All work went to the few targets listed since.
        """
        old = tuple(harness.target(name) for name in 'abc')
        env = harness.make_harness(*old, harness.target('far', 'domain-b'))
        for target in old[:2]:
            env.targets.report_failure(target, 'book', 'reset', True)
        env.clock.advance(1.0)
        for name in ('new-1', 'new-2'):
            env.targets.apply(data.TargetChange(name, harness.target(name)))
        env.clock.advance(2.0)
        for target in old:
            env.targets.report_failure(target, 'book', 'no answer', True)
        chosen = _engines_of_prompts(env)
        assert chosen == {'far', 'new-1', 'new-2'}

    def test_few_targets_do_not_get_the_work_of_all(self) -> None:
        """Guards against overloading the rest when domains fail in turn."""
        domains = ('a', 'b', 'c')
        targets = []
        for domain in domains:
            for number in range(6):
                targets.append(harness.target(f'{domain}{number}', domain))
        env = harness.make_harness(*targets, harness.target('last', 'd'))
        for domain in domains:
            for number in range(2):
                lost = harness.target(f'{domain}{number}', domain)
                env.targets.report_failure(lost, 'book', 'reset', True)
            env.clock.advance(3.0)
        domains_used = {name[0] for name in _engines_of_prompts(env)}
        assert domains_used == {'l', 'a'}

    def test_events_that_a_peer_received_end_a_suspicion(self) -> None:
        """Guards against avoiding live targets that others are using."""
        env = harness.make_harness(
            *(harness.target(name) for name in 'abc'),
            harness.target('far', 'domain-b'),
        )
        for name in ('a', 'b'):
            env.targets.report_failure(
                harness.target(name), 'book', 'reset', True
            )
        env.clock.advance(0.2)
        run = data.RunStatus('run', 'key', 'c', None, is_prefilling=False)
        report = harness.peer_report('peer-1', 1)
        env.fleet.receive(
            dataclasses.replace(report, is_full=False, runs=(run,))
        )
        assert env.targets.suspected_at_s(harness.target('c')) == -math.inf

    def test_failures_of_one_target_do_not_make_a_domain_suspect(self) -> None:
        """Guards against suspecting a domain because of one bad target."""
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        for _ in range(3):
            env.targets.report_failure(
                harness.target('a'), 'book', 'reset', True
            )
        env.targets.apply(
            data.TargetChange('far', harness.target('far', 'domain-b'))
        )
        env.targets.report_response(
            harness.target('far'), 'book', 900.0, False
        )
        chosen = env.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'b'

    def test_a_recent_response_overrides_a_suspicion(self) -> None:
        """Guards against ejecting a target for a peer's broken link."""
        env = harness.make_harness(harness.target('a'))
        env.targets.report_response(
            harness.target('a'), 'book', 20.0, is_error=False
        )
        env.targets.report_suspicion('a')
        assert not env.targets.is_unavailable(harness.target('a'))

    def test_a_suspicion_ejects_a_target(self) -> None:
        """Guards against each instance detecting a failure by itself."""
        env = harness.make_harness(harness.target('a'))
        env.targets.report_suspicion('a')
        assert env.targets.is_unavailable(harness.target('a'))

    def test_a_refused_connection_ejects_until_the_entry_expires(self) -> None:
        """Guards against requests to a process that has exited.

        Its entry remains for three heartbeat intervals; the next process at
        the address has another name.
        """
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        env.targets.report_connection_refused(
            harness.target('a'), 'book', 'refused'
        )
        env.clock.advance(3.6)
        assert env.targets.is_unavailable(harness.target('a'))

    def test_a_replaced_target_is_reported_to_peers(self) -> None:
        """Guards against one misdirected request of each instance."""
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        env.fleet.full_report()
        env.targets.report_misdirected(harness.target('a'))
        report = env.fleet.change_report()
        assert report is not None
        assert report.replaced_targets == ('a',)
        other = harness.make_harness(harness.target('a'), harness.target('b'))
        other.fleet.receive(dataclasses.replace(report, instance='peer'))
        assert other.targets.is_unavailable(harness.target('a'))
        other.clock.advance(3.6)
        assert other.targets.is_unavailable(harness.target('a'))

    def test_a_replaced_target_stays_ejected_in_an_outage(self) -> None:
        """Guards against repeated requests to a target that was replaced.

        Entries do not expire while the store is unavailable.
        """
        env = harness.make_harness(harness.target('a'), harness.target('b'))
        env.targets.report_misdirected(harness.target('a'))
        env.clock.advance(30.0)
        assert env.targets.is_unavailable(harness.target('a'))
        again = dataclasses.replace(harness.target('a'), started_at_ms=5)
        env.targets.apply(data.TargetChange('a', again))
        assert not env.targets.is_unavailable(again)

    def test_errors_make_a_target_less_preferred(self) -> None:
        """Guards against a partly failed target that passes health checks."""
        env = harness.make_harness(
            harness.target('grey'), harness.target('good', 'domain-b')
        )
        for _ in range(10):
            env.targets.report_response(
                harness.target('grey'), 'book', 20.0, True
            )
            env.targets.report_response(
                harness.target('good'), 'book', 20.0, False
            )
        chosen = env.targets.choose_for_call('pool', frozenset())
        assert chosen is not None
        assert chosen.name == 'good'


class TestEngineChoice:
    """Selection of engines by the runs of the whole fleet."""

    def test_spreads_runs_by_the_reports_of_peers(self) -> None:
        """Guards against all instances selecting the same engine."""
        env = harness.make_harness(
            harness.target('a'), harness.target('b', 'domain-b')
        )
        env.fleet.receive(
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
            pair = env.targets.placement.choose_engines(
                'pool', None, harness.demand(), frozenset()
            )
            assert pair is not None
            assert pair.primary.name == 'b'

    def test_equal_engines_share_the_prompts(self) -> None:
        """Guards against all instances selecting the first of equals."""
        names = [f'engine-{number}' for number in range(8)]
        env = harness.make_harness(*(harness.target(name) for name in names))
        counts = dict.fromkeys(names, 0)
        for number in range(400):
            pair = env.targets.placement.choose_engines(
                'pool', None, harness.demand(f'prompt-{number}'), frozenset()
            )
            assert pair is not None
            counts[pair.primary.name] += 1
        assert min(counts.values()) > 25
        assert max(counts.values()) < 80

    def test_a_returning_prompt_goes_to_the_engine_that_read_it(self) -> None:
        """Guards against reading a prompt again that an engine has cached.

        The caller of a lost instance returns without an event id.
        """
        env = harness.make_harness(*(harness.target(name) for name in 'abcd'))
        run = data.RunStatus('old', 'own', 'c', None, False)
        env.fleet.record_run(run)
        env.fleet.record_run_end(run)
        pair = env.targets.placement.choose_engines(
            'pool', None, harness.demand('own'), frozenset()
        )
        assert pair is not None
        assert pair.primary.name == 'c'
