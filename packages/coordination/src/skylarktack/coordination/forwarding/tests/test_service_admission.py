"""Tests of fair admission: a load in memory, and single decisions."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _admission_events
from skylarktack.coordination.forwarding import _demand_window
from skylarktack.coordination.forwarding import _fleet_demands
from skylarktack.coordination.forwarding.tests import admission_harness
from skylarktack.coordination.forwarding.tests import gateway_harness
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

HOT_BURST = (admission_harness.HOT, 'burst')
OTHERS_BURST = ('others', 'burst')


def _play(**settings: float) -> admission_harness.Play:
    play = admission_harness.Play(**settings)  # type: ignore[arg-type]
    play.run()
    return play


class TestHotOrganisation:
    """24 organisations, one of which sends twelve times as much for 14 s."""

    def test_load_breaks_the_service_without_the_part(self) -> None:
        """Guards against a load that needs no admission, for those below."""
        totals = _play(is_on=False).totals
        assert totals[OTHERS_BURST].in_time_share < 0.2

    @pytest.mark.parametrize('is_cut_off', [False, True])
    def test_excess_is_refused_to_its_sender_alone(
        self, is_cut_off: bool
    ) -> None:
        """Guards against one organisation's excess at the cost of others.

        Also without any report of a peer, where each instance knows only its
        own demand. Callers return at different times, and not too late.
        """
        totals = _play(is_cut_off=is_cut_off).totals
        others, hot = totals[OTHERS_BURST], totals[HOT_BURST]
        assert others.in_time_share > 0.97
        assert others.refusals <= 0.01 * others.sent
        of_all = (others.in_time + hot.in_time) / (others.sent + hot.sent)
        assert hot.in_time_share > 0.5
        assert hot.in_time_share > 0.25 * of_all
        for group in (admission_harness.HOT, 'others'):
            for phase in ('before', 'after'):
                assert totals[group, phase].refusals == 0
                assert totals[group, phase].in_time_share > 0.99
        delays_s = sorted(hot.retry_after_s)
        assert delays_s[0] > 0.05
        assert delays_s[-1] <= admission_harness.LIMIT_S / 3
        assert delays_s[-1] > 1.5 * delays_s[len(delays_s) // 10]

    def test_callers_who_do_not_return_are_no_reason_to_overload(
        self,
    ) -> None:
        """Guards against a demand that is discounted for absent returns."""
        totals = _play(has_returns=False).totals
        assert totals[OTHERS_BURST].in_time_share > 0.97
        assert totals[HOT_BURST].in_time_share > 0.4

    def test_nothing_is_refused_at_a_high_load_without_excess(self) -> None:
        """Guards against refusals for short queues and noise of demand.

        The load of 285 requests a second is 95% of the capacity.
        """
        play = _play(other_per_s=11.3, burst_factor=1.0)
        sent = sum(
            play.totals[group, phase].sent
            for group in (admission_harness.HOT, 'others')
            for phase in ('before', 'burst', 'end', 'after')
        )
        refused = sum(
            play.totals[group, phase].refusals
            for group in (admission_harness.HOT, 'others')
            for phase in ('before', 'burst', 'end', 'after')
        )
        assert sent > 7000
        assert refused < 0.005 * sent

    def test_old_reports_leave_others_served(self) -> None:
        """Guards against harm by reports that take three seconds.

        The first seconds of the burst are lost, as without the part.
        """
        totals = _play(report_age_s=3.0).totals
        assert totals[OTHERS_BURST].in_time_share > 0.5
        assert (
            totals[OTHERS_BURST].refusals <= 0.01 * totals[OTHERS_BURST].sent
        )
        assert totals['others', 'end'].in_time_share > 0.97

    def test_urgent_requests_are_refused_last(self) -> None:
        """Guards against urgent requests served less often than others."""
        totals = _play(urgent_share=0.3).totals
        urgent, usual = totals[HOT_BURST, 0], totals[HOT_BURST, 1]
        assert urgent.in_time_share > 0.95
        assert 0.25 < usual.in_time_share < 0.75
        assert totals[OTHERS_BURST].in_time_share > 0.97


@dataclasses.dataclass
class _Site:
    """One instance with a peer that reports the demand of others."""

    clock: fakes.SteppingClock
    log: fakes.RecordingLog
    instance: admission_harness.Instance
    report_count: int = 0

    def report(self, *demands: data.ServiceDemand) -> None:
        self.report_count += 1
        self.instance.fleet.receive(
            dataclasses.replace(
                harness.peer_report('peer-0', 0),
                sequence=self.report_count,
                demands=demands,
            )
        )

    def overload(self) -> None:
        """Have 1,000 requests a second of a and 10 of b reported."""
        self.report(_demand('a', 1000), _demand('b', 10))

    def sample(self, running: int = 6, waiting: int = 20) -> None:
        """Let each server report its service time and its load."""
        observations = self.instance.targets.observations
        for target in self.instance.targets.listed:
            observations.record_unit_time(target, admission_harness.WORK_S)
            observations.record_load(
                target, data.TargetLoad(running, waiting, 6)
            )

    def refused(
        self,
        organisation: str | None = 'a',
        route: data.ForwardingRoute | None = None,
    ) -> int:
        """Return how many of 50 requests are refused, a while later."""
        self.clock.advance(0.3)
        count = 0
        for _ in range(50):
            work = admission_harness.admitted(
                self.clock, organisation, route=route
            )
            count += self.instance.admission.check(work) is not None
        return count


def _demand(
    organisation: str, count: int, service: str = 'pool', window_ms: int = 1000
) -> data.ServiceDemand:
    return data.ServiceDemand(service, organisation, count, window_ms)


def _make_site(*listed: data.ListedTarget) -> _Site:
    clock = fakes.SteppingClock()
    log = fakes.RecordingLog()
    instance = admission_harness.make_instance(
        clock, 'own', log, listed=listed
    )
    instance.fleet.add_peers(harness.listed_peers(1))
    return _Site(clock, log, instance)


class TestDecision:
    """When an instance refuses a request."""

    def test_only_the_organisation_over_its_share_is_refused(self) -> None:
        """Guards against refusals to organisations within their share."""
        site = _make_site()
        site.overload()
        site.sample()
        assert site.refused('a') > 20
        assert site.refused('b') == 0

    def test_nothing_is_refused_without_samples(self) -> None:
        """Guards against refusals by a capacity that is not known."""
        site = _make_site()
        site.overload()
        assert site.refused() == 0
        site.sample()
        assert site.refused() > 0

    def test_nothing_is_refused_to_a_single_organisation(self) -> None:
        """Guards against a limit where there is nobody to be fair to."""
        site = _make_site()
        site.report(_demand('a', 1000))
        site.sample()
        assert site.refused() == 0
        site.overload()
        assert site.refused() > 0

    def test_nothing_is_refused_while_half_of_the_slots_are_free(
        self,
    ) -> None:
        """Guards against refusals by a capacity that is estimated too low."""
        site = _make_site()
        site.overload()
        site.sample(5, waiting=0)
        # A free slot counts until the excess has lasted for a second.
        assert site.refused() == 0
        for running, is_refused in ((3, False), (5, True)):
            for _ in range(6):
                site.sample(running, waiting=0)
                count = site.refused()
            assert (count > 0) is is_refused

    def test_streams_are_refused_only_while_all_engines_are_full(
        self,
    ) -> None:
        """Guards against a refusal while an engine has memory for a run."""
        site = _make_site()
        route = harness.route(data.RequestKind.STREAM)
        work = admission_harness.admitted(site.clock, 'a', route=route)
        site.clock.advance(5.0)
        site.instance.admission.record_stream(
            work, forwarding.StreamCompleted()
        )
        names = [one.name for one in site.instance.targets.listed]
        for name in names:
            site.overload()
            assert site.refused(route=route) == 0
            for number in range(6):
                site.instance.fleet.record_run(
                    data.RunStatus(
                        f'{name}-{number}', '', name, None, False, False, 9100
                    )
                )
        site.overload()
        assert site.refused(route=route) > 20

    def test_old_demands_are_dropped(self) -> None:
        """Guards against refusals for the demand of a peer that stopped."""
        site = _make_site()
        site.overload()
        site.sample()
        assert site.refused() > 0
        site.clock.advance(_fleet_demands.DEMAND_LIFETIME_S)
        site.sample()
        assert site.refused() == 0

    def test_an_error_admits_the_request(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests lost to an error of this part."""
        site = _make_site()
        site.overload()
        site.sample()
        assert site.refused() > 0

        def _fail(service: str) -> dict[str, float]:
            raise ZeroDivisionError

        monkeypatch.setattr(site.instance.admission.demands, 'rates', _fail)
        assert site.refused() == 0

    def test_gateway_refuses_before_it_sends(self) -> None:
        """Guards against a refusal of a request that may have run."""
        env = harness.make_harness(harness.target('only'))
        env.fleet.add_peers(harness.listed_peers(1))
        gateway = gateway_harness.make_gateway(env, _Observer())
        gateway.holder.replace_if_newer(harness.configuration())
        gateway.holder.confirm(0.0, 1000.0)
        env.fleet.receive(
            dataclasses.replace(
                harness.peer_report('peer-0', 0),
                demands=(
                    _demand('organisation', 20_000),
                    _demand('other', 10),
                ),
            )
        )
        env.targets.observations.record_unit_time(harness.target('only'), 0.08)
        outcome = gateway.send(harness.request())
        assert isinstance(outcome, data.Refusal)
        assert outcome.reason is data.RefusalReason.OVER_SHARE
        assert outcome.retry_after_s
        assert not env.client.sent


class _Observer:
    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Check that the trace explains the refusal."""
        (step,) = report.steps
        assert step.step == 'over_share'


class TestDemands:
    """Demands in reports of peers."""

    def test_odd_entries_are_dropped_and_the_others_used(self) -> None:
        """Guards against one odd figure that gets organisations refused."""
        site = _make_site()
        odd = (
            _demand('a', 10**12),
            _demand('a', -5),
            _demand('a', 5, window_ms=0),
            _demand('a', 5, window_ms=10**9),
            _demand('c', 900, service='unknown'),
        )
        site.report(_demand('b', 40), _demand('b', 50), *odd)
        demands = site.instance.admission.demands
        assert demands.rates('pool') == {'b': 40.0}
        assert demands.dropped_count() == 5
        dropped = _admission_events.DemandsDropped('peer-0', 5)
        assert dropped in site.log.events
        site.report(*[_demand(f'o{number}', 1) for number in range(99)])
        assert len(demands.rates('pool')) == _fleet_demands.MAX_DEMANDS

    def test_memory_is_bounded(self) -> None:
        """Guards against tables that grow with organisations and peers."""
        site = _make_site()
        demands = site.instance.admission.demands
        for number in range(3000):
            demands.count('pool', f'organisation-{number}')
            demands.receive(f'peer-{number}', (_demand(f'o{number}', 1),))
        site.clock.advance(0.3)
        assert len(demands.demands()) == _fleet_demands.MAX_DEMANDS
        bound = (
            _demand_window.MAX_KEYS_PER_SLICE + _fleet_demands.MAX_PEER_COUNT
        )
        assert len(demands.rates('pool')) <= bound
        site.instance.fleet.add_peers(harness.listed_peers(340))
        assert len(demands.demands()) == _fleet_demands.MIN_DEMANDS

    def test_changes_are_reported_while_the_service_is_over_capacity(
        self,
    ) -> None:
        """Guards against peers that learn of a burst seconds later."""
        site = _make_site()
        site.sample()
        site.report(_demand('b', 10))
        site.instance.fleet.full_report()
        site.refused('a')
        assert site.instance.fleet.change_report() is None
        site.overload()
        site.refused('a')
        report = site.instance.fleet.change_report()
        assert report is not None
        assert report.demands == (_demand('a', 50),)
        site.clock.advance(0.3)
        assert site.instance.fleet.change_report() is None
