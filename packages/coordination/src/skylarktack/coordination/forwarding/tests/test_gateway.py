"""Admission: configuration, route, key, stop."""

import dataclasses

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import bed
from skylarktack.state import forwarding as data


class _Observer:
    def __init__(self) -> None:
        self.reports: list[forwarding.RequestReport] = []

    def ended(self, report: forwarding.RequestReport) -> None:
        self.reports.append(report)


def _front(observer: _Observer | None = None) -> bed.Front:
    desk = bed.make(bed.target('only'))
    return bed.front(desk, observer or _Observer())


def _reason(outcome: forwarding.StreamOutcome) -> data.RefusalReason:
    assert isinstance(outcome, data.Refusal)
    return outcome.reason


class TestAdmission:
    """A refusal is final only when the instance knows."""

    def test_without_a_configuration_callers_come_back(self) -> None:
        """Guards against a 404 from an instance that just started."""
        outcome = _front().ask(bed.request())
        assert _reason(outcome) is data.RefusalReason.NO_CONFIGURATION
        assert isinstance(outcome, data.Refusal)
        assert outcome.retry_after_s == pytest.approx(0.42)

    def test_waits_for_the_first_list_of_targets(self) -> None:
        """Guards against refusals between two answers of the store."""
        front = _front()
        front.holder.offer(bed.configuration())
        front.desk.targets.is_known.clear()
        started_s = front.desk.clock.monotonic_s()
        front.desk.client.script('only', bed.answer())
        front.ask(bed.request())
        waited_s = front.desk.client.sent[0].at_s - started_s
        assert waited_s == pytest.approx(0.03)

    @pytest.mark.parametrize(
        ('request_', 'known', 'unsure'),
        [
            (
                bed.request(path=b'/unknown/'),
                data.RefusalReason.NO_ROUTE,
                data.RefusalReason.NO_CONFIGURATION,
            ),
            (
                bed.request(key='unknown'),
                data.RefusalReason.UNKNOWN_KEY,
                data.RefusalReason.NO_CONFIGURATION,
            ),
            (
                bed.request(key=None),
                data.RefusalReason.UNKNOWN_KEY,
                data.RefusalReason.NO_CONFIGURATION,
            ),
        ],
    )
    def test_an_outdated_instance_does_not_deny(
        self,
        request_: data.FrontRequest,
        known: data.RefusalReason,
        unsure: data.RefusalReason,
    ) -> None:
        """Guards against denying what a newer configuration allows."""
        front = _front()
        front.holder.offer(bed.configuration())
        front.holder.confirm(4.0)
        assert _reason(front.ask(request_)) is known
        front.holder.doubt()
        assert _reason(front.ask(request_)) is unsure

    def test_the_longest_prefix_wins(self) -> None:
        """Guards against requests on the route of a shorter prefix."""
        longer = dataclasses.replace(
            bed.route(), name='longer', path_prefix='/a/b/'
        )
        table = forwarding.RouteTable(
            bed.configuration(1, bed.route(), longer)
        )
        found = table.find_route('host.example', b'/a/b/c?x=1')
        assert found is not None
        assert found.name == 'longer'
        assert table.find_route('host.example', b'/ab') is None
        assert table.find_route('other.example', b'/a/b') is None

    def test_an_anonymous_route_needs_no_key(self) -> None:
        """Guards against denying a route that needs no key."""
        front = _front()
        anonymous = dataclasses.replace(bed.route(), is_anonymous=True)
        front.holder.offer(bed.configuration(1, anonymous))
        front.desk.client.script('only', bed.answer())
        outcome = front.ask(bed.request(key=None))
        assert isinstance(outcome, data.FrontAnswer)
        assert front.desk.client.sent[0].delivery.organisation is None


class TestConfigurationHolder:
    """A configuration in force never goes back."""

    def test_an_older_version_is_not_taken(self) -> None:
        """Guards against a late answer that reverts a configuration."""
        front = _front()
        front.holder.offer(bed.configuration(7))
        front.holder.offer(bed.configuration(5))
        table = front.holder.table
        assert table is not None
        assert table.configuration.version == 7

    def test_a_confirmation_expires(self) -> None:
        """Guards against trusting a configuration after a silent watch."""
        front = _front()
        front.holder.confirm(4.0)
        assert front.holder.is_current()
        front.desk.clock.advance(4.1)
        assert not front.holder.is_current()


class TestStopping:
    """An instance that stops takes nothing that it cannot finish."""

    def test_late_streams_are_sent_elsewhere(self) -> None:
        """Guards against streams that the end of the process cuts."""
        front = _front()
        stream = bed.route(data.RequestKind.STREAM)
        call = dataclasses.replace(
            bed.route(), name='call', path_prefix='/call/'
        )
        front.holder.offer(bed.configuration(1, stream, call))
        front.gateway.order_stop()
        front.desk.clock.advance(1.0)
        outcome = front.ask(bed.request())
        assert _reason(outcome) is data.RefusalReason.STOPPING
        front.desk.client.script('only', bed.answer())
        served = front.ask(bed.request(path=b'/call/x'))
        assert isinstance(served, data.FrontAnswer)


class TestReports:
    """Each request that ends leaves what is needed to explain it."""

    def test_names_route_organisation_version_and_steps(self) -> None:
        """Guards against failures that logs cannot explain."""
        observer = _Observer()
        front = _front(observer)
        front.holder.offer(bed.configuration(3))
        front.desk.client.script('only', bed.lost())
        front.ask(bed.request())
        report = observer.reports[0]
        assert report.route == 'route'
        assert report.organisation == 'organisation'
        assert report.configuration_version == 3
        assert [step.step for step in report.steps] == ['send', 'fault']
