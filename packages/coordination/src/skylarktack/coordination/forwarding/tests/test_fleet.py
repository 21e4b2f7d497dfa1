"""Tests of the reports between instances and of the retry budget."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


def _report(
    sequence: int,
    runs: tuple[data.RunStatus, ...] = (),
    is_full: bool = True,
    started_at_ms: int = 1,
    lost: tuple[str, ...] = (),
) -> data.InstanceReport:
    return data.InstanceReport(
        instance='peer',
        endpoint=data.Address('10.1.0.2', 7200),
        started_at_ms=started_at_ms,
        sequence=sequence,
        is_full=is_full,
        runs=runs,
        lost_targets=lost,
        next_report_ms=1000,
    )


def _run(name: str, has_ended: bool = False) -> data.RunStatus:
    return data.RunStatus(name, name, f'engine-{name}', None, False, has_ended)


def _view(
    clock: fakes.SteppingClock, name: str = 'own'
) -> forwarding.FleetView:
    return forwarding.FleetView(
        clock, fakes.RecordingLog(), name, data.Address('10.1.0.1', 7200)
    )


def _established_view(clock: fakes.SteppingClock) -> forwarding.FleetView:
    view = _view(clock)
    clock.advance(60.0)
    return view


class TestFleetView:
    """Loads of the engines by the latest reports of live peers."""

    def test_changes_add_to_a_full_report(self) -> None:
        """Guards against loads that lack runs since the last full report."""
        view = _view(fakes.SteppingClock())
        view.receive(_report(1, (_run('a'),)))
        view.receive(_report(2, (_run('b'),), is_full=False))
        assert set(view.loads()) == {'engine-a', 'engine-b'}
        view.receive(_report(3, (_run('a', True),), is_full=False))
        assert set(view.loads()) == {'engine-b'}

    def test_an_out_of_order_report_is_dropped(self) -> None:
        """Guards against applying datagrams that arrive out of order."""
        view = _view(fakes.SteppingClock())
        view.receive(_report(2, (_run('new'),)))
        view.receive(_report(1, (_run('old'),)))
        assert set(view.loads()) == {'engine-new'}

    def test_a_restarted_peer_starts_without_runs(self) -> None:
        """Guards against counting runs of a process that was killed."""
        view = _view(fakes.SteppingClock())
        view.receive(_report(9, (_run('old'),)))
        view.receive(_report(1, (_run('new'),), started_at_ms=2))
        assert set(view.loads()) == {'engine-new'}

    def test_an_unresponsive_peer_is_not_counted(self) -> None:
        """Guards against counting runs of an instance that has crashed."""
        clock = fakes.SteppingClock()
        view = _view(clock)
        view.receive(_report(1, (_run('a'),)))
        assert view.instance_count() == 2
        clock.advance(3.0)
        assert not view.loads()
        assert view.instance_count() == 1

    def test_new_peers_get_a_full_report(self) -> None:
        """Guards against a new peer that never receives the earlier runs."""
        view = _view(fakes.SteppingClock())
        view.full_report()
        view.record_run(_run('a'))
        view.receive(_report(1))
        assert view.change_report() is None
        assert view.is_full_report_due()
        assert len(view.full_report().runs) == 1

    def test_keeps_the_placement_of_an_ended_run(self) -> None:
        """Guards against repeating the prefill after an instance crashed."""
        clock = fakes.SteppingClock()
        view = _view(clock)
        view.receive(_report(1, (_run('a', True),)))
        placement = view.find_placement('a')
        assert placement is not None
        assert placement.run.engine == 'engine-a'
        clock.advance(30.0)
        assert view.find_placement('a') is None


def _budget(
    view: forwarding.FleetView, ratio: float, allowance: float
) -> forwarding.RetryBudget:
    return forwarding.RetryBudget(
        fakes.SteppingClock(),
        forwarding.RetryLimits(ratio, allowance, 10.0),
        view,
    )


def _claim_all(budget: forwarding.RetryBudget) -> int:
    count = 0
    while count < 1000 and budget.claim_retry('pool'):
        count += 1
    return count


class TestFleetReporter:
    """Changes are reported to all peers within a byte budget."""

    PEER_COUNT = 90

    def _reporter(
        self,
    ) -> tuple[
        fakes.SteppingClock,
        forwarding.FleetView,
        harness.RecordingLink,
        forwarding.FleetReporter,
    ]:
        clock = fakes.SteppingClock()
        view = _view(clock)
        for number in range(self.PEER_COUNT):
            view.receive(harness.peer_report(f'peer-{number}', number))
        view.full_report()
        link = harness.RecordingLink()
        return clock, view, link, forwarding.FleetReporter(clock, view, link)

    def _saturate(self, view: forwarding.FleetView) -> None:
        """Receive changes above the rate at which reports are throttled."""
        for sequence in range(2, 302):
            view.receive(
                dataclasses.replace(
                    harness.peer_report('peer-0', 0),
                    sequence=sequence,
                    is_full=False,
                )
            )

    def test_a_change_is_broadcast_to_all_peers(self) -> None:
        """Guards against engines that look idle to some instances.

        With 91 instances the budget covered two of five peers; under little
        load 14 of 439 streams waited over 3.6 s for their first event.
        """
        _, view, link, reporter = self._reporter()
        view.record_run(_run('a'))
        reporter.send_changes()
        assert link.receiver_counts == [self.PEER_COUNT]

    def test_a_busy_instance_uses_the_budget_of_idle_ones(self) -> None:
        """Guards against selection by runs that are reported a second late.

        With 91 instances an equal share for each delayed the changes of the
        busy ones: 69 of 72 engines that were selected twice within a second
        were selected by instances that did not know of the first run.
        """
        _, view, link, reporter = self._reporter()
        for number in range(40):
            view.record_run(_run(f'run-{number}'))
            reporter.send_changes()
        assert len(link.sent) == 40

    def test_changes_beyond_the_budget_are_batched(self) -> None:
        """Guards against control traffic that grows with the request rate."""
        clock, view, link, reporter = self._reporter()
        self._saturate(view)
        for number in range(40):
            view.record_run(_run(f'run-{number}'))
            reporter.send_changes()
        sent_count = len(link.sent)
        assert sent_count < 10
        clock.advance(10.0)
        reporter.send_changes()
        last = link.sent[-1]
        assert isinstance(last, data.InstanceReport)
        assert len(last.runs) == 40 - sent_count
        assert link.receiver_counts[-1] == self.PEER_COUNT

    def test_unthrottled_changes_do_not_use_the_budget(self) -> None:
        """Guards against busy instances that stop reporting under load."""
        clock, view, link, reporter = self._reporter()
        for number in range(40):
            view.record_run(_run(f'free-{number}'))
            reporter.send_changes()
        self._saturate(view)
        view.record_run(_run('pressed'))
        reporter.send_changes()
        assert len(link.sent) == 40
        clock.advance(9000 / 8000)
        self._saturate(view)
        reporter.send_changes()
        assert len(link.sent) == 41

    def test_throttled_changes_wake_the_task_again(self) -> None:
        """Guards against delaying held changes until the next full report."""
        _, view, _, reporter = self._reporter()
        self._saturate(view)
        for number in range(10):
            view.record_run(_run(f'run-{number}'))
            reporter.send_changes()
            assert view.outgoing.wait_for_changes(0.0)
        reporter.send_changes()
        assert view.outgoing.wait_for_changes(0.0)

    def test_a_new_run_is_reported_without_batching(self) -> None:
        """Guards against instances that select the same engine at once."""
        clock, view, _, _ = self._reporter()
        view.record_run(_run('a'))
        view.record_run(dataclasses.replace(_run('b'), is_prefilling=True))
        before_s = clock.monotonic_s()
        view.outgoing.wait_for_urgent_changes(0.5)
        assert clock.monotonic_s() == before_s
        view.record_run(_run('a', has_ended=True))
        view.outgoing.wait_for_urgent_changes(0.5)
        assert clock.monotonic_s() == before_s + 0.5


class _Fleet:
    """Four instances that exchange a report after each retry."""

    def __init__(self, ratio: float) -> None:
        self.clock = fakes.SteppingClock()
        self._limits = forwarding.RetryLimits(ratio, 100.0, 10.0)
        self._views: dict[int, forwarding.FleetView] = {}
        self._budgets: dict[int, forwarding.RetryBudget] = {}
        for number in range(4):
            self.start(number)

    def start(self, number: int) -> None:
        """Start an instance, in place of the one that had its name."""
        view = _view(self.clock, f'instance-{number}')
        self._views[number] = view
        self._budgets[number] = forwarding.RetryBudget(
            self.clock, self._limits, view
        )

    def spend(self) -> int:
        """Receive 100 requests; return how many retries are allowed."""
        for number in range(100):
            self._budgets[number % 4].count_request('pool')
        count = 0
        self._exchange()
        while self._budgets[count % 4].claim_retry('pool'):
            count += 1
            self._exchange()
        return count

    def _exchange(self) -> None:
        for sender in self._views.values():
            report = sender.full_report()
            for receiver in self._views.values():
                receiver.receive(report)


class TestRetryBudget:
    """Retries stay within the budget that all instances share."""

    def test_one_instance_may_spend_the_unused_budget(self) -> None:
        """Guards against denied retries while the budget is unused."""
        view = _established_view(fakes.SteppingClock())
        view.receive(_report(1))
        assert _claim_all(_budget(view, 0.0, 100.0)) == 75

    def test_the_retries_of_peers_count(self) -> None:
        """Guards against a fleet that spends the budget several times."""
        view = _established_view(fakes.SteppingClock())
        counts = (data.RetryCounts('pool', 0, 70),)
        view.receive(dataclasses.replace(_report(1), counts=counts))
        assert _claim_all(_budget(view, 0.0, 100.0)) == 5

    def test_the_requests_of_peers_add_to_the_budget(self) -> None:
        """Guards against a budget from the requests of one instance only."""
        view = _established_view(fakes.SteppingClock())
        counts = (data.RetryCounts('pool', 100, 0),)
        view.receive(dataclasses.replace(_report(1), counts=counts))
        assert _claim_all(_budget(view, 0.8, 0.0)) == 60

    def test_an_isolated_instance_spends_only_its_share(self) -> None:
        """Guards against isolated instances that each spend the budget."""
        clock = fakes.SteppingClock()
        view = _view(clock)
        for number in range(9):
            peer = dataclasses.replace(_report(1), instance=f'peer-{number}')
            view.receive(peer)
        clock.advance(10.0)
        assert _claim_all(_budget(view, 0.0, 100.0)) == 7

    @pytest.mark.parametrize('replaced_count', range(5))
    @pytest.mark.parametrize('ratio', (0.0, 0.8))
    def test_replaced_instances_may_have_spent_theirs(
        self, replaced_count: int, ratio: float
    ) -> None:
        """Guards against kills that double the retries of a window."""
        fleet = _Fleet(ratio)
        fleet.clock.advance(60.0)
        spent_count = fleet.spend()
        for number in range(replaced_count):
            fleet.start(number)
        fleet.clock.advance(5.0)
        spent_again_count = fleet.spend()
        assert spent_count + spent_again_count <= 100 + ratio * 200
        assert bool(spent_again_count) is bool(replaced_count or ratio)

    def test_reports_contain_the_counts(self) -> None:
        """Guards against peers that never receive the number of retries."""
        view = _established_view(fakes.SteppingClock())
        budget = _budget(view, 0.0, 100.0)
        budget.count_request('pool')
        budget.claim_retry('pool')
        assert view.full_report().counts == (data.RetryCounts('pool', 1, 1),)

    def test_the_window_slides(self) -> None:
        """Guards against a budget that is never replenished."""
        clock = fakes.SteppingClock()
        budget = forwarding.RetryBudget(
            clock,
            forwarding.RetryLimits(0.0, 1.4, 10.0),
            _established_view(clock),
        )
        assert budget.claim_retry('pool')
        assert not budget.claim_retry('pool')
        clock.advance(11.0)
        assert budget.claim_retry('pool')

    def test_a_retry_without_a_connection_is_refunded(self) -> None:
        """Guards against failed targets that use up the budget."""
        budget = _budget(_established_view(fakes.SteppingClock()), 0.0, 1.4)
        assert budget.claim_retry('pool')
        budget.refund_retry('pool')
        assert budget.claim_retry('pool')
