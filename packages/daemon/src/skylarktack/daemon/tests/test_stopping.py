"""Connections of callers and of a load balancer while an instance stops."""

from collections.abc import Iterator
import contextlib
import dataclasses
import threading
import time

import pytest

from skylarktack import daemon
from skylarktack import state
from skylarktack import transport
from skylarktack.daemon import _stopping

_ANY_PORT = state.Address('127.0.0.1', 0)

TIMEOUT_S = 10.0

#: Longer than any stop of these tests may take.
LONG_MS = 20_000

SETTINGS = state.InstanceSettings(
    name=state.InstanceName('entry-1'),
    failure_domain=state.FailureDomain('domain-0'),
    region='region-1',
    listen=_ANY_PORT,
    operator_listen=_ANY_PORT,
    secret='secret of the test',
    operator_token_sha256='',
    store=state.StoreSettings(state.Address('127.0.0.1', 9)),
    peer=state.PeerSettings(_ANY_PORT),
    generation=state.GenerationSettings(drain_ms=100),
)


@contextlib.contextmanager
def _stopping_instance(
    stop: state.StopSettings,
) -> Iterator[tuple[daemon.Instance, state.Address, threading.Thread]]:
    """Yield an instance whose stop has begun.

    Its address for callers and the thread that stops it follow.
    """
    instance = daemon.Instance(dataclasses.replace(SETTINGS, stop=stop))
    instance.start()
    address = instance.caller_address
    stopping = threading.Thread(target=instance.stop, daemon=True)
    stopping.start()
    assert instance.stop_ordered.wait(TIMEOUT_S)
    yield instance, address, stopping
    stopping.join(TIMEOUT_S)


def _status(address: state.Address, path: str) -> int:
    """Return the status of a request on a new connection; 0 if refused."""
    answered = transport.http_call(address, 'GET', path, None, {}, TIMEOUT_S)
    return answered.ok.status if answered.is_ok() else 0


class TestAcceptance:
    """New connections after the stop has begun."""

    def test_caller_is_answered_before_the_balancer_knows(self) -> None:
        """Guards against refused connections in a planned stop."""
        stop = state.StopSettings(accept_ms=LONG_MS)
        with _stopping_instance(stop) as (_, address, stopping):
            # The generations are drained by then, since there are none.
            time.sleep(0.5)
            assert _status(address, '/healthz') == 200
            assert _status(address, '/readyz') == 503
            time.sleep(0.5)
            assert _status(address, '/healthz') == 200
            assert _status(address, '/readyz') == 503
            stopping.join(TIMEOUT_S)
            assert not stopping.is_alive()
            assert _status(address, '/healthz') == 0

    def test_stop_does_not_wait_for_checks_in_vain(self) -> None:
        """Guards against a stop that lasts until it is killed."""
        stop = state.StopSettings(accept_ms=500)
        began_s = time.monotonic()
        with _stopping_instance(stop) as (_, _, stopping):
            stopping.join(TIMEOUT_S)
            assert not stopping.is_alive()
        assert time.monotonic() - began_s < TIMEOUT_S / 2

    def test_status_is_no_check_of_the_balancer(self) -> None:
        """Guards against a listener that closes when operators look."""
        stop = state.StopSettings(accept_ms=LONG_MS)
        with _stopping_instance(stop) as (instance, address, stopping):
            for _ in range(5):
                assert not instance.status().ready
            stopping.join(0.7)
            assert stopping.is_alive()
            for _ in range(stop.unready_check_count):
                _status(address, '/readyz')


class TestSettings:
    """The times of a planned stop."""

    @pytest.mark.parametrize(
        ('stop', 'place'),
        [
            (state.StopSettings(accept_ms=-1), 'stop.accept_ms'),
            (
                state.StopSettings(unready_check_count=0),
                'stop.unready_check_count',
            ),
        ],
    )
    def test_rejected_settings(
        self, stop: state.StopSettings, place: str
    ) -> None:
        """Guards against a stop that refuses callers at once."""
        findings = _stopping.check_stop_settings(
            dataclasses.replace(SETTINGS, stop=stop)
        )
        assert [finding.place for finding in findings] == [place]
