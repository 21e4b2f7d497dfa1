"""Connections of callers and of a load balancer while an instance stops."""

from collections.abc import Iterator
import contextlib
import dataclasses
import socket
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


def _send_slowly(caller: socket.socket, ended: threading.Event) -> None:
    """Send a request body that never ends, until the connection does."""
    with contextlib.suppress(OSError):
        while not ended.wait(0.05):
            caller.sendall(b'x')


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


class TestGracePeriod:
    """The duration of a whole stop."""

    def test_stop_ends_though_a_caller_never_does(self) -> None:
        """Guards against a stop that outlasts its grace period."""
        grace_s = 4.0
        instance = daemon.Instance(
            dataclasses.replace(
                SETTINGS,
                stop=state.StopSettings(
                    accept_ms=0, grace_ms=round(1000 * grace_s)
                ),
            )
        )
        instance.start()
        address = instance.caller_address
        ended = threading.Event()
        with socket.create_connection(
            (address.host, address.port), TIMEOUT_S
        ) as caller:
            caller.sendall(
                b'POST /a HTTP/1.1\r\nHost: h\r\n'
                b'Content-Length: 100000\r\n\r\n'
            )
            sending = threading.Thread(
                target=_send_slowly, args=(caller, ended)
            )
            sending.start()
            time.sleep(0.2)
            began_s = time.monotonic()
            instance.stop()
            duration_s = time.monotonic() - began_s
            ended.set()
            sending.join(TIMEOUT_S)
        assert duration_s < grace_s

    @pytest.mark.parametrize(
        ('drain_ms', 'accept_ms', 'grace_ms', 'longest_s'),
        [
            (30_000, 3000, None, 50.0),
            (100, 3000, None, 23.0),
            (100, 3000, 11_000, 11.0),
        ],
    )
    def test_accepted_settings(
        self,
        drain_ms: int,
        accept_ms: int,
        grace_ms: int | None,
        longest_s: float,
    ) -> None:
        """Guards against a default that cuts off a drain in progress."""
        settings = dataclasses.replace(
            SETTINGS,
            generation=state.GenerationSettings(drain_ms=drain_ms),
            stop=state.StopSettings(accept_ms=accept_ms, grace_ms=grace_ms),
        )
        assert not _stopping.check_stop_settings(settings)
        assert _stopping.grace_period_s(settings) == longest_s

    @pytest.mark.parametrize(
        ('stop', 'place'),
        [
            (state.StopSettings(accept_ms=-1), 'stop.accept_ms'),
            (
                state.StopSettings(unready_check_count=0),
                'stop.unready_check_count',
            ),
            (state.StopSettings(grace_ms=10_999), 'stop.grace_ms'),
            (
                state.StopSettings(accept_ms=0, grace_ms=8099),
                'stop.grace_ms',
            ),
        ],
    )
    def test_rejected_settings(
        self, stop: state.StopSettings, place: str
    ) -> None:
        """Guards against a grace period too short for its steps."""
        findings = _stopping.check_stop_settings(
            dataclasses.replace(SETTINGS, stop=stop)
        )
        assert [finding.place for finding in findings] == [place]
