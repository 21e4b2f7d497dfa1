"""UDP datagrams between instances.

Each report supersedes the previous one, so lost datagrams are not
retransmitted and no connection is kept. Messages that must not be lost use
the project's websockets.
"""

import socket

from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data

#: Maximum size of a sent datagram; most hold a few hundred bytes.
DATAGRAM_LIMIT_BYTES = 30000

#: Maximum size of a received datagram.
RECEIVE_LIMIT_BYTES = 65536


class DatagramLink:
    """Sends and receives messages between instances at one address."""

    def __init__(
        self, endpoint: data.Address, log: forwarding.EventLog
    ) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((endpoint.host, endpoint.port))
        self._log = log
        self._malformed_count = 0
        self._is_closed = False

    @property
    def endpoint(self) -> data.Address:
        """Return the bound address, with the port that was assigned."""
        host, port = self._socket.getsockname()
        return data.Address(host, port)

    def send(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Send one message to each peer; return the bytes sent.

        A message above the size limit is not sent.
        """
        datagram = messages.encode_message(message)
        if len(datagram) > DATAGRAM_LIMIT_BYTES:
            # The peers read the missing state from the store.
            return 0
        sent_bytes = 0
        for peer in peers:
            sent_bytes += self._send(datagram, peer)
        return sent_bytes

    def broadcast(
        self, message: data.FleetMessage, peers: tuple[data.Address, ...]
    ) -> int:
        """Send one message to a few peers, which relay it to the others.

        A message above the size limit is not sent.

        :return: the bytes that the message costs all senders together,
            wrappers and send failures not counted.
        """
        datagram = messages.encode_message(message)
        if len(datagram) > DATAGRAM_LIMIT_BYTES:
            # The peers read the missing state from the store.
            return 0
        self._send_to_groups(datagram, peers)
        return len(datagram) * len(peers)

    def _send_to_groups(
        self, datagram: bytes, peers: tuple[data.Address, ...]
    ) -> None:
        for group in forwarding.broadcast_groups(peers):
            outgoing = datagram
            if len(group) > 1:
                outgoing = messages.encode_message(
                    data.BroadcastMessage(datagram, group[1:])
                )
            self._send(outgoing, group[0])

    def _send(self, datagram: bytes, peer: data.Address) -> int:
        try:
            return self._socket.sendto(
                datagram, socket.MSG_DONTWAIT, (peer.host, peer.port)
            )
        except (OSError, OverflowError):
            # The send buffer is full, or the peer is unreachable or has an
            # invalid port. Receivers detect the gap from the next full report
            # or heartbeat.
            return 0

    def run(
        self,
        view: forwarding.FleetView,
        sharing: forwarding.SharedWatch,
        moves: forwarding.MoveTable,
    ) -> None:
        """Receive and apply messages until the link is closed.

        :raises OSError: if the socket cannot receive for a moment.
        """
        while True:
            try:
                datagram = self._socket.recv(RECEIVE_LIMIT_BYTES)
            except ConnectionError:
                # ICMP reported a closed port for an earlier datagram.
                continue
            except OSError:
                if self._is_closed:
                    return
                raise
            message = messages.decode_message(datagram)
            if isinstance(message, data.BroadcastMessage):
                self._send_to_groups(message.content, message.peers)
                datagram = message.content
                message = messages.decode_message(datagram)
            if isinstance(message, data.InstanceReport):
                view.receive(message)
            elif isinstance(message, data.StoreChange):
                sharing.receive_change(message)
            elif isinstance(message, data.WatchHeartbeat):
                sharing.receive_heartbeat(message)
            elif isinstance(message, data.MoveReport):
                moves.apply_report(message)
            else:
                self._count_malformed(len(datagram))

    def close(self) -> None:
        """Close the socket; nothing is sent afterwards."""
        self._is_closed = True
        self._socket.close()

    def _count_malformed(self, size_bytes: int) -> None:
        self._malformed_count += 1
        if self._malformed_count == 1:
            self._log.record(forwarding.DatagramMalformed(size_bytes))
