"""Tests of the configuration in force."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import gateway_harness
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


class _Observer:
    def on_request_end(self, report: forwarding.RequestReport) -> None:
        """Ignore the report."""


def _make_gateway() -> gateway_harness.GatewayHarness:
    return gateway_harness.make_gateway(harness.make_harness(), _Observer())


class TestConfigurationHolder:
    """The configuration in force, and whether it is current."""

    def test_older_configuration_is_ignored(self) -> None:
        """Guards against a late response that reverts the configuration."""
        gateway_env = _make_gateway()
        gateway_env.holder.replace_if_newer(harness.configuration(7))
        gateway_env.holder.replace_if_newer(harness.configuration(5))
        table = gateway_env.holder.table
        assert table is not None
        assert table.configuration.version == 7

    def test_confirmation_expires(self) -> None:
        """Guards against trusting a configuration after the watch stalled."""
        gateway_env = _make_gateway()
        gateway_env.holder.confirm(0.0, 4.0)
        assert gateway_env.holder.is_current()
        gateway_env.harness.clock.advance(4.1)
        assert not gateway_env.holder.is_current()

    @pytest.mark.parametrize(
        ('asked_at_s', 'resumed_at_s', 'is_current'),
        [
            (10.0, 9.0, True),
            # Sent, or awaited, before the process was suspended.
            (10.0, 11.0, False),
        ],
    )
    def test_confirmation_ends_with_a_suspension(
        self, asked_at_s: float, resumed_at_s: float, is_current: bool
    ) -> None:
        """Guards against a 404 by what was current before a suspension."""
        gateway_env = _make_gateway()
        gateway_env.suspensions.resumed_at_s = resumed_at_s
        gateway_env.holder.confirm(asked_at_s, 4.0)
        assert gateway_env.holder.is_current() is is_current

    @pytest.mark.parametrize(
        ('fitting_bytes', 'count'), [(8000, 0), (7999, 1)]
    )
    def test_a_body_limit_above_the_memory_is_logged(
        self, fitting_bytes: int, count: int
    ) -> None:
        """Guards against bodies that are refused without a known cause."""
        log = fakes.RecordingLog()
        holder = forwarding.ConfigurationHolder(
            fakes.SteppingClock(),
            log,
            fakes.ScriptedSuspensions(),
            4.0,
            0.0,
            fitting_bytes,
        )
        limits = data.FrontLimits(max_body_bytes=8000)
        holder.replace_if_newer(
            dataclasses.replace(harness.configuration(5), limits=limits)
        )
        assert holder.version == 5
        message = forwarding.BodyLimitExceedsMemory.message
        assert log.messages('configuration').count(message) == count


class TestConfigurationOfPeers:
    """Peers report the version in force at each."""

    @pytest.mark.parametrize(
        ('own', 'peers', 'after_s', 'is_current'),
        [
            (7, (7,), 0.0, True),
            (7, (5,), 0.0, True),
            (7, (0,), 0.0, True),
            (5, (7,), 0.0, False),
            (5, (7, 5), 0.0, False),
            (7, (7, 5), 0.0, True),
            # No peer has reported it again.
            (5, (7,), 31.0, True),
            (5, (7, 5), 31.0, True),
        ],
    )
    def test_an_older_one_is_not_current(
        self,
        own: int,
        peers: tuple[int, ...],
        after_s: float,
        is_current: bool,
    ) -> None:
        """Guards against refusals by a version that a restore brought back.

        An instance that starts between a restore and the operator's next
        write reads an older configuration than its peers have.
        """
        gateway_env = _make_gateway()
        gateway_env.holder.replace_if_newer(harness.configuration(own))
        for version in peers:
            gateway_env.holder.record_peer_version(version)
        gateway_env.harness.clock.advance(after_s)
        gateway_env.holder.confirm(0.0, 4.0)
        assert gateway_env.holder.is_current() is is_current

    def test_waits_for_the_first_reports(self) -> None:
        """Guards against a 404 before the first peer reports its version."""
        clock = fakes.SteppingClock()
        holder = forwarding.ConfigurationHolder(
            clock,
            fakes.RecordingLog(),
            fakes.ScriptedSuspensions(),
            4.0,
            peer_wait_s=1.0,
        )
        holder.replace_if_newer(harness.configuration(5))
        holder.confirm(0.0, 4.0)
        assert not holder.is_current()
        clock.advance(1.1)
        assert holder.is_current()

    def test_waits_for_reports_after_a_suspension(self) -> None:
        """Guards against a 404 by a copy while reports are unread."""
        clock = fakes.SteppingClock()
        suspensions = fakes.ScriptedSuspensions()
        holder = forwarding.ConfigurationHolder(
            clock, fakes.RecordingLog(), suspensions, 4.0, peer_wait_s=1.0
        )
        holder.replace_if_newer(harness.configuration(5))
        clock.advance(60.0)
        suspensions.resumed_at_s = clock.monotonic_s()
        holder.confirm(clock.monotonic_s(), 4.0)
        assert not holder.is_current()
        clock.advance(1.1)
        assert holder.is_current()

    def test_fleet_exchanges_versions(self) -> None:
        """Guards against a restarted instance that no peer warns."""
        gateway_env = _make_gateway()
        fleet = gateway_env.harness.fleet
        fleet.set_configurations(gateway_env.holder)
        gateway_env.holder.replace_if_newer(harness.configuration(5))
        gateway_env.holder.confirm(0.0, 4.0)
        assert fleet.full_report().configuration_version == 5
        report = harness.peer_report('peer', 1)
        fleet.receive(dataclasses.replace(report, configuration_version=7))
        assert not gateway_env.holder.is_current()
