"""Connections of callers across changes of the limits on callers."""

import dataclasses
import socket
import time
from typing import Any

import pytest

from skylarktack.emulator import platform

CONNECTION_COUNT = 10

#: When the connections are used again: within four fifths of the longer
#: limit, and after the shorter one.
REUSE_S = 3.0
SHORT_IDLE_TIMEOUT_MS = 1000
LONG_IDLE_TIMEOUT_MS = 12_000


@dataclasses.dataclass(frozen=True)
class _Change:
    """A change of the idle limit while connections wait."""

    first_ms: int
    second_ms: int


def _manifest(version: int, idle_timeout_ms: int) -> dict[str, Any]:
    manifest = platform.manifest(version)
    manifest['limits']['idle_timeout_ms'] = idle_timeout_ms
    return manifest


def _call(connection: socket.socket) -> str:
    """Send a call on a kept connection; return how it ended."""
    attempt_id = platform.new_attempt_id()
    try:
        connection.sendall(
            f'POST /peek/x HTTP/1.1\r\nHost: {platform.HOST}\r\n'
            f'Key: {platform.KEY}\r\nAttempt-Id: {attempt_id}\r\n'
            'Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody'.encode()
        )
        received = connection.recv(65536)
    except OSError as error:
        return repr(error)
    return received[:12].decode() or 'closed'


class TestIdleTimeout:
    """The idle limit changes while connections wait for a request."""

    @pytest.mark.parametrize(
        'change',
        [
            _Change(SHORT_IDLE_TIMEOUT_MS, LONG_IDLE_TIMEOUT_MS),
            _Change(LONG_IDLE_TIMEOUT_MS, SHORT_IDLE_TIMEOUT_MS),
        ],
        ids=['raised', 'lowered'],
    )
    def test_kept_connections_are_served(self, change: _Change) -> None:
        """Guards against a close by a limit that is not in force any more."""
        with platform.PlatformDeployment(instance_count=1) as deployment:
            instance = deployment.instances[0]
            deployment.apply(_manifest(2, change.first_ms))
            instance.wait_for_line(
                'configuration', 'configuration applied', version=2
            )
            # Connections of before know the limits of before, too.
            time.sleep(REUSE_S)
            connections = [
                socket.create_connection(
                    (instance.address.host, instance.address.port),
                    timeout=10.0,
                )
                for _ in range(CONNECTION_COUNT)
            ]
            first_endings = {_call(connection) for connection in connections}
            deployment.apply(_manifest(3, change.second_ms))
            time.sleep(REUSE_S)
            endings = [_call(connection) for connection in connections]
            for connection in connections:
                connection.close()
            assert first_endings == {'HTTP/1.1 200'}
            assert endings == CONNECTION_COUNT * ['HTTP/1.1 200']
