"""Composition of a forwarding instance, without its background tasks."""

import time

import pytest

from skylarktack.coordination import forwarding as coordination
from skylarktack.daemon import forwarding
from skylarktack.daemon.forwarding import _request_counts
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

_ANY_PORT = data.Address('127.0.0.1', 0)


def instance_settings() -> data.ForwardingSettings:
    return data.ForwardingSettings(
        instance='instance-0',
        failure_domain='domain-a',
        front=_ANY_PORT,
        readiness=None,
        peer=None,
        metrics=None,
        store=data.Address('127.0.0.1', 9),
        grace_ms=300.0,
        configuration_lag_ms=1000.0,
        retry_ratio=0.1,
        retry_allowance_count=10.0,
        retry_window_ms=10000.0,
        has_moves=False,
        exposure_fraction=0.1,
        exposure_allowance_count=50.0,
        descriptor_limit=1024,
    )


def _fail(*arguments: object) -> None:
    raise ValueError('odd count')


class TestStop:
    """A planned stop ends in any case."""

    def test_stop_does_not_depend_on_the_last_counts(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a process that stays until it is killed."""
        log = transport.LineLog('instance-0')
        instance = forwarding.ForwardingInstance(instance_settings(), log)
        monkeypatch.setattr(_request_counts.RequestCountLog, 'flush', _fail)
        instance.stop(time.monotonic())

    @pytest.mark.parametrize(
        'step',
        ['active_count', 'report_cut_requests', 'begin_shutdown'],
    )
    def test_stop_does_not_depend_on_one_step(
        self, step: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a process that is killed because one step failed."""
        log = transport.LineLog('instance-0')
        instance = forwarding.ForwardingInstance(instance_settings(), log)
        monkeypatch.setattr(coordination.Gateway, step, _fail)
        instance.stop(time.monotonic())
        assert instance.errors.counts()
