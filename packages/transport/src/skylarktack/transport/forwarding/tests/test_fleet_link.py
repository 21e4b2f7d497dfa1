"""Datagrams between instances, sent over loopback."""

import errno
import socket
from typing import Any

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

HEARTBEAT = data.WatchHeartbeat(
    'edge-a-1', (data.ConfirmedKind('targets', 9),)
)
TIMEOUT_S = 10.0


def _receiver() -> tuple[socket.socket, data.Address]:
    receiving = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiving.bind(('127.0.0.1', 0))
    receiving.settimeout(TIMEOUT_S)
    return receiving, data.Address(*receiving.getsockname())


class TestDatagramLink:
    """Relayed messages, and messages that are too large."""

    def test_a_broadcast_reaches_each_peer_once(self) -> None:
        """Guards against peers that are missed or reached twice."""
        link = transport.DatagramLink(
            data.Address('127.0.0.1', 0), fakes.RecordingLog()
        )
        receivers = [_receiver() for _ in range(20)]
        peers = tuple(address for _, address in receivers)
        link.broadcast(HEARTBEAT, peers)
        reached: list[data.Address] = []
        for receiving, address in receivers[:8]:
            message = messages.decode_message(receiving.recv(65536))
            assert isinstance(message, data.BroadcastMessage)
            assert messages.decode_message(message.content) == HEARTBEAT
            reached.extend((address, *message.peers))
        assert sorted(reached, key=str) == sorted(peers, key=str)
        for receiving, _ in receivers:
            receiving.close()
        link.close()

    def test_a_single_peer_receives_no_wrapper(self) -> None:
        """Guards against a broadcast wrapper without further peers."""
        link = transport.DatagramLink(
            data.Address('127.0.0.1', 0), fakes.RecordingLog()
        )
        receiving, address = _receiver()
        link.broadcast(HEARTBEAT, (address,))
        assert messages.decode_message(receiving.recv(65536)) == HEARTBEAT
        receiving.close()
        link.close()

    def test_an_oversized_message_is_not_sent(self) -> None:
        """Guards against datagrams above the size limit."""
        link = transport.DatagramLink(
            data.Address('127.0.0.1', 0), fakes.RecordingLog()
        )
        receiving, address = _receiver()
        names = tuple(f'{number:x}' * 40 for number in range(2000))
        kinds = tuple(data.ConfirmedKind(name, 1) for name in names)
        link.broadcast(data.WatchHeartbeat('edge-a-1', kinds), (address,))
        link.broadcast(HEARTBEAT, (address,))
        assert messages.decode_message(receiving.recv(65536)) == HEARTBEAT
        receiving.close()
        link.close()

    @pytest.mark.parametrize('code', [errno.ENOBUFS, errno.ENOMEM])
    def test_receives_again_after_an_error_of_the_socket(
        self, code: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an instance that hears no peer until it restarts."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        link = transport.DatagramLink(data.Address('127.0.0.1', 0), log)
        results: list[OSError | bytes] = [
            OSError(code, 'no memory'),
            b'malformed',
            b'malformed',
        ]

        def _receive(receiving: socket.socket, size_bytes: int) -> bytes:
            if not results:
                link.close()
                raise OSError(errno.EBADF, 'closed')
            result = results.pop(0)
            if isinstance(result, OSError):
                raise result
            return result

        monkeypatch.setattr(socket.socket, 'recv', _receive)
        unused: Any = None
        forwarding.Supervisor(clock, forwarding.ErrorRecorder(clock, log)).run(
            'datagram link', lambda: link.run(unused, unused, unused)
        )
        assert not results
