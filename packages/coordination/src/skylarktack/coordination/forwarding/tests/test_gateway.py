"""Tests of the gateway: admission, shutdown and request reports."""

import dataclasses
import threading

import pytest

from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _front_limits
from skylarktack.coordination.forwarding.tests import gateway_harness
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

NON_IDEMPOTENT = data.RequestKind.NON_IDEMPOTENT


class _Observer:
    def __init__(self) -> None:
        self.reports: list[forwarding.RequestReport] = []

    def on_request_end(self, report: forwarding.RequestReport) -> None:
        self.reports.append(report)


def _make_gateway_env(
    observer: _Observer | None = None,
) -> gateway_harness.GatewayHarness:
    env = harness.make_harness(harness.target('only'))
    return gateway_harness.make_gateway(env, observer or _Observer())


def _replace_before_check(
    monkeypatch: pytest.MonkeyPatch,
    holder: forwarding.ConfigurationHolder,
    newer: data.ForwardingConfiguration,
) -> None:
    """Have a newer configuration confirmed just before the next check."""
    is_current = holder.is_current

    def _is_current_after_change() -> bool:
        holder.replace_if_newer(newer)
        holder.confirm(0.0, 4.0)
        return is_current()

    monkeypatch.setattr(holder, 'is_current', _is_current_after_change)


def _reason(outcome: forwarding.StreamOutcome) -> data.RefusalReason:
    assert isinstance(outcome, data.Refusal)
    return outcome.reason


class TestCallerLimits:
    """Limits on callers, and what may be in force elsewhere."""

    @pytest.mark.parametrize(
        ('is_confirmed', 'expected_ms'),
        [
            (True, 5000.0),
            (False, _front_limits.UNCONFIRMED_IDLE_TIMEOUT_MS),
        ],
        ids=['confirmed', 'unconfirmed'],
    )
    def test_idle_timeout(
        self, is_confirmed: bool, expected_ms: float
    ) -> None:
        """Guards against a close by a limit that may be out of date."""
        gateway_env = _make_gateway_env()
        configuration = dataclasses.replace(
            harness.configuration(),
            limits=data.FrontLimits(idle_timeout_ms=3000.0),
        )
        gateway_env.holder.replace_if_newer(configuration)
        clock = gateway_env.harness.clock
        clock.advance(100.0)
        if is_confirmed:
            gateway_env.holder.confirm(0.0, 1.0)
        limits = gateway_env.gateway.limits(clock.monotonic_s())
        assert limits.idle_timeout_ms == expected_ms

    def test_limits_that_are_replaced_meanwhile(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a close by older limits than the confirmed ones."""
        gateway_env = _make_gateway_env()
        versions = []
        for version, idle_timeout_ms in ((1, 3000.0), (2, 50_000.0)):
            versions.append(
                dataclasses.replace(
                    harness.configuration(version),
                    limits=data.FrontLimits(idle_timeout_ms=idle_timeout_ms),
                )
            )
        gateway_env.holder.replace_if_newer(versions[0])
        gateway_env.harness.clock.advance(100.0)
        _replace_before_check(monkeypatch, gateway_env.holder, versions[1])
        limits = gateway_env.gateway.limits(
            gateway_env.harness.clock.monotonic_s()
        )
        assert limits.idle_timeout_ms > 50_000.0

    def test_a_change_is_logged(self) -> None:
        """Guards against changed limits that no line tells of."""
        gateway_env = _make_gateway_env()
        for version, idle_timeout_ms in ((1, 3000.0), (2, 3000.0), (3, 4.0)):
            gateway_env.holder.replace_if_newer(
                dataclasses.replace(
                    harness.configuration(),
                    version=version,
                    limits=data.FrontLimits(idle_timeout_ms=idle_timeout_ms),
                )
            )
        messages = gateway_env.harness.log.messages('configuration')
        assert messages.count('limits on callers changed') == 2


class TestAdmission:
    """Admission by configuration, route and API key.

    A refusal is final only if the configuration is current.
    """

    def test_refusal_without_configuration_allows_one_retry(self) -> None:
        """Guards against a 404 from an instance that has just started."""
        gateway_env = _make_gateway_env()
        started_s = gateway_env.harness.clock.monotonic_s()
        outcome = gateway_env.send(harness.request(time_limit_ms=1500.0))
        assert _reason(outcome) is data.RefusalReason.NO_CONFIGURATION
        queued_s = gateway_env.harness.clock.monotonic_s() - started_s
        assert isinstance(outcome, data.Refusal)
        assert outcome.retry_after_s is not None
        # Callers wait for a third of their remaining time, and the second
        # attempt needs some of the rest.
        assert 0 < outcome.retry_after_s <= (1.5 - queued_s) / 3
        assert queued_s + outcome.retry_after_s <= 0.75
        assert outcome.retry_after_s == pytest.approx(0.294)

    def test_request_is_queued_until_targets_are_listed(self) -> None:
        """Guards against refusals while only the targets are still unknown.

        The store returns the configuration and the targets in two responses.
        """
        gateway_env = _make_gateway_env()
        gateway_env.holder.replace_if_newer(harness.configuration())
        gateway_env.harness.targets.is_synced.clear()
        started_s = gateway_env.harness.clock.monotonic_s()
        gateway_env.harness.client.script('only', harness.answer_script())
        gateway_env.send(harness.request())
        queued_s = gateway_env.harness.client.sent[0].at_s - started_s
        assert queued_s == pytest.approx(0.45)

    @pytest.mark.parametrize('kind', list(data.RequestKind))
    def test_request_of_disconnected_caller_is_not_sent(
        self, kind: data.RequestKind
    ) -> None:
        """Guards against a booking that is executed for a caller that is gone.

        The caller may close the connection while the request is queued or the
        process is suspended.
        """
        observer = _Observer()
        gateway_env = _make_gateway_env(observer)
        gateway_env.holder.replace_if_newer(
            harness.configuration(1, harness.route(kind))
        )
        gateway_env.harness.client.script('only', harness.answer_script())
        gateway_env.harness.caller.disconnects_at_s = (
            gateway_env.harness.clock.monotonic_s()
        )
        outcome = gateway_env.send(harness.request())
        assert isinstance(outcome, forwarding.CallerDisconnected)
        assert not gateway_env.harness.client.sent
        assert observer.reports[0].steps[0].step == 'caller_left'

    def test_request_is_served_after_configuration_arrives(self) -> None:
        """Guards against refusals shortly before the first configuration.

        Callers retry only once, so such a refusal could lose the request.
        """
        gateway_env = _make_gateway_env()
        gateway_env.harness.client.script('only', harness.answer_script())
        configuration = harness.configuration()

        class _Clock:
            """Delivers the configuration during the first wait."""

            def __init__(self) -> None:
                self._steps = gateway_env.harness.clock

            def monotonic_s(self) -> float:
                return self._steps.monotonic_s()

            def wall_s(self) -> float:
                return self._steps.wall_s()

            def wait(self, event: threading.Event, timeout_s: float) -> bool:
                if not event.is_set() and timeout_s >= 0.3:
                    self._steps.advance(0.3)
                    gateway_env.holder.replace_if_newer(configuration)
                    return True
                return self._steps.wait(event, timeout_s)

        gateway = forwarding.Gateway(
            dataclasses.replace(
                gateway_env.gateway.dependencies, clock=_Clock()
            )
        )
        outcome = gateway.handle(
            harness.request(time_limit_ms=1500.0), gateway_env.harness.caller
        )
        assert isinstance(outcome, data.FrontResponse)

    @pytest.mark.parametrize(
        ('request_', 'reason_if_current', 'reason_if_stale'),
        [
            (
                harness.request(path=b'/unknown/'),
                data.RefusalReason.NO_ROUTE,
                data.RefusalReason.NO_CONFIGURATION,
            ),
            (
                harness.request(key='unknown'),
                data.RefusalReason.UNKNOWN_KEY,
                data.RefusalReason.NO_CONFIGURATION,
            ),
            (
                harness.request(key=None),
                data.RefusalReason.UNKNOWN_KEY,
                data.RefusalReason.NO_CONFIGURATION,
            ),
        ],
    )
    def test_stale_configuration_gives_no_final_refusal(
        self,
        request_: data.FrontRequest,
        reason_if_current: data.RefusalReason,
        reason_if_stale: data.RefusalReason,
    ) -> None:
        """Guards against denying what a newer configuration would allow."""
        gateway_env = _make_gateway_env()
        gateway_env.holder.replace_if_newer(harness.configuration())
        gateway_env.holder.confirm(0.0, 4.0)
        assert _reason(gateway_env.send(request_)) is reason_if_current
        gateway_env.holder.mark_stale()
        assert _reason(gateway_env.send(request_)) is reason_if_stale

    def test_configuration_that_is_replaced_during_admission(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an older one that passes for the confirmed one."""
        gateway_env = _make_gateway_env()
        holder = gateway_env.holder
        holder.replace_if_newer(
            dataclasses.replace(harness.configuration(1), routes=())
        )
        gateway_env.harness.client.script('only', harness.answer_script())
        _replace_before_check(monkeypatch, holder, harness.configuration(2))
        outcome = gateway_env.send(harness.request())
        assert isinstance(outcome, data.FrontResponse)

    def test_longest_path_prefix_is_matched(self) -> None:
        """Guards against matching the route of a shorter prefix."""
        longer = dataclasses.replace(
            harness.route(), name='longer', path_prefix='/a/b/'
        )
        table = forwarding.RouteTable(
            harness.configuration(1, harness.route(), longer)
        )
        found = table.find_route('host.example', b'/a/b/c?x=1')
        assert found is not None
        assert found.name == 'longer'
        assert table.find_route('host.example', b'/ab') is None
        assert table.find_route('other.example', b'/a/b') is None

    def test_anonymous_route_requires_no_key(self) -> None:
        """Guards against requiring a key on an anonymous route."""
        gateway_env = _make_gateway_env()
        anonymous = dataclasses.replace(harness.route(), is_anonymous=True)
        gateway_env.holder.replace_if_newer(
            harness.configuration(1, anonymous)
        )
        gateway_env.harness.client.script('only', harness.answer_script())
        outcome = gateway_env.send(harness.request(key=None))
        assert isinstance(outcome, data.FrontResponse)
        assert gateway_env.harness.client.sent[0].delivery.organisation is None


class TestShutdown:
    """An instance that is stopping refuses what it may not finish."""

    def test_streams_are_refused_after_grace_time(self) -> None:
        """Guards against streams that are cut off when the process ends."""
        gateway_env = _make_gateway_env()
        stream = harness.route(data.RequestKind.STREAM)
        call = dataclasses.replace(
            harness.route(), name='call', path_prefix='/call/'
        )
        gateway_env.holder.replace_if_newer(
            harness.configuration(1, stream, call)
        )
        now_s = gateway_env.harness.clock.monotonic_s()
        gateway_env.gateway.begin_shutdown(now_s + 7.75)
        gateway_env.harness.clock.advance(1.0)
        outcome = gateway_env.send(harness.request())
        assert _reason(outcome) is data.RefusalReason.STOPPING
        # Guards against callers whose only retry reaches another stopping
        # instance, which the load balancer has not removed yet.
        assert isinstance(outcome, data.Refusal)
        assert outcome.retry_after_s is not None
        objective_s = stream.latency_objective_ms / 1000
        assert 2.0 <= outcome.retry_after_s <= objective_s / 2
        gateway_env.harness.client.script('only', harness.answer_script())
        served = gateway_env.send(harness.request(path=b'/call/x'))
        assert isinstance(served, data.FrontResponse)

    def test_calls_that_may_outlast_process_are_refused(self) -> None:
        """Guards against calls that are cut off when the process ends."""
        gateway_env = _make_gateway_env()
        gateway_env.holder.replace_if_newer(
            harness.configuration(
                1, harness.route(NON_IDEMPOTENT, timeout_ms=800)
            )
        )
        now_s = gateway_env.harness.clock.monotonic_s()
        gateway_env.gateway.begin_shutdown(now_s + 7.75)
        gateway_env.harness.clock.advance(6.8)
        gateway_env.harness.client.script('only', harness.answer_script())
        assert isinstance(
            gateway_env.send(harness.request()), data.FrontResponse
        )
        gateway_env.harness.clock.advance(0.3)
        outcome = gateway_env.send(harness.request())
        assert _reason(outcome) is data.RefusalReason.STOPPING
        assert len(gateway_env.harness.client.sent) == 1


class TestRequestReports:
    """Reports on requests that have ended."""

    def test_report_contains_route_organisation_version_and_steps(
        self,
    ) -> None:
        """Guards against failures that the log cannot explain."""
        observer = _Observer()
        gateway_env = _make_gateway_env(observer)
        gateway_env.holder.replace_if_newer(harness.configuration(3))
        gateway_env.harness.client.script(
            'only', harness.connection_lost_script()
        )
        gateway_env.send(harness.request())
        report = observer.reports[0]
        assert report.route == 'route'
        assert report.organisation == 'organisation'
        assert report.configuration_version == 3
        assert [step.step for step in report.steps] == ['send', 'fault']

    def test_report_of_refusal_contains_route_and_organisation(self) -> None:
        """Guards against refusals that are logged without their route."""
        observer = _Observer()
        gateway_env = _make_gateway_env(observer)
        gateway_env.holder.replace_if_newer(harness.configuration(3))
        gateway_env.holder.confirm(0.0, 60.0)
        gateway_env.send(harness.request(key='unknown'))
        assert observer.reports[-1].route == 'route'
        assert observer.reports[-1].organisation is None
        stream = harness.route(data.RequestKind.STREAM)
        gateway_env.holder.replace_if_newer(harness.configuration(4, stream))
        gateway_env.gateway.begin_shutdown(
            gateway_env.harness.clock.monotonic_s() + 7.75
        )
        gateway_env.harness.clock.advance(1.0)
        gateway_env.send(harness.request())
        assert observer.reports[-1].route == 'route'
        assert observer.reports[-1].organisation == 'organisation'
