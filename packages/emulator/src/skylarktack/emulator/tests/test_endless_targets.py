"""Targets that send bytes without end, before a real instance."""

from collections import Counter
from collections.abc import Iterator
from concurrent import futures
import contextlib
import socket
import time

import h11
import pytest

from skylarktack.emulator import platform
from skylarktack.transport.tests import raw_server

#: The platform ends a process above this resident memory.
MEMORY_LIMIT_KB = 300 * 1024

ENDLESS_TARGET_COUNT = 3
CALLER_COUNT = 60
LOAD_S = 3.0

HEAD = b'HTTP/1.1 200 OK\r\nX-First: 1\r\n'

ENDLESS_RESPONSES = {
    'head': (HEAD, b'X-More: ' + b'x' * 1000 + b'\r\n'),
    'body': (HEAD + b'\r\n', b'x' * 65536),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + b'x' * 65536 + b'\r\n',
    ),
}


@contextlib.contextmanager
def _endless_targets(
    deployment: platform.PlatformDeployment, prefix: bytes, repeated: bytes
) -> Iterator[None]:
    """Enter targets of the plain service that never end an answer."""

    def send_without_end(connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(prefix)
        while True:
            connection.sendall(repeated)

    with contextlib.ExitStack() as servers:
        for number in range(ENDLESS_TARGET_COUNT):
            server = raw_server.RawServer(send_without_end)
            servers.callback(server.close)
            entry = deployment.services[0].entry()
            host, port = server.address
            entry['address'] = f'{host}:{port}'
            deployment.store.put('servers', f'i-endless-{number}', entry)
            deployment.instances[0].wait_for_line(
                'target', 'target added', target=f'i-endless-{number}'
            )
        yield


def _call_until(
    instance: platform.PlatformInstance, end_s: float
) -> Counter[int | str]:
    """Send lookups one after the other; count how they ended."""
    endings: Counter[int | str] = Counter()
    while time.monotonic() < end_s:
        attempt = platform.Attempt('peek', platform.new_attempt_id())
        try:
            answer = platform.call(instance.address, attempt)
        except (OSError, h11.RemoteProtocolError) as error:
            endings[f'cut: {error!r}'] += 1
            continue
        endings[answer.status] += 1
    return endings


class TestEndlessTargets:
    """Some targets of a service send bytes until the caller closes."""

    @pytest.mark.parametrize(
        ('prefix', 'repeated'),
        ENDLESS_RESPONSES.values(),
        ids=ENDLESS_RESPONSES.keys(),
    )
    def test_other_requests_go_on(
        self, prefix: bytes, repeated: bytes
    ) -> None:
        """Guards against memory that ends the process, and other requests."""
        with platform.PlatformDeployment(instance_count=1) as deployment:
            instance = deployment.instances[0]
            endings: Counter[int | str] = Counter()
            with (
                _endless_targets(deployment, prefix, repeated),
                futures.ThreadPoolExecutor(CALLER_COUNT) as tasks,
            ):
                end_s = time.monotonic() + LOAD_S
                callers = [
                    tasks.submit(_call_until, instance, end_s)
                    for _ in range(CALLER_COUNT)
                ]
                for caller in callers:
                    endings += caller.result(60.0)
            assert instance.is_running
            assert instance.peak_memory_kb() < MEMORY_LIMIT_KB
            assert endings[200] > 0.9 * endings.total()
            assert set(endings) <= {200, 502, 503}
