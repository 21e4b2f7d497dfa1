"""Mutual proof of the shared secret on a new connection."""

from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from websockets import exceptions
from websockets.sync import connection as websocket

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.transport import _peer_link


class PeerHandshake:
    """Both sides of the handshake of one instance."""

    def __init__(
        self,
        name: state.InstanceName,
        start_id: str,
        secret: str,
        codec: protocol.PeerCodec,
        timeout_s: float,
        metrics: ports.Metrics,
    ) -> None:
        self._name = name
        self._start_id = start_id
        self._codec = codec
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._authenticator = protocol.PeerAuthenticator(secret)

    def initiate(
        self,
        connection: websocket.Connection,
        expected: state.InstanceName,
        lasting: bool,
    ) -> Result[_peer_link.PeerSession, str]:
        """Prove the secret to an acceptor and check its proof.

        The error is the reason under which the refusal is counted.
        """
        hello = self._authenticator.hello(self._name, self._start_id, lasting)
        if not self._send(connection, hello):
            return Error('closed')
        challenge = self._receive(connection)
        if challenge is None:
            return Error('closed')
        if not isinstance(challenge, protocol.PeerChallenge):
            return Error('malformed')
        if not self._authenticator.accepts_challenge(hello, challenge):
            return Error('stranger')
        if challenge.name != expected or challenge.name == self._name:
            return Error('wrong_name')
        if not self._send(
            connection, self._authenticator.proof(hello, challenge)
        ):
            return Error('closed')
        outgoing, incoming = self._authenticator.seals(hello, challenge)
        return Ok(
            _peer_link.PeerSession(
                peer=expected,
                start_id=challenge.start_id,
                initiated=True,
                lasting=lasting,
                outgoing=outgoing,
                incoming=incoming,
            )
        )

    def accept(
        self, connection: websocket.Connection
    ) -> Result[_peer_link.PeerSession, str]:
        """Prove the secret to an initiator and check its proof.

        The error is the reason under which the refusal is counted.
        """
        hello = self._receive(connection)
        if hello is None:
            return Error('closed')
        if not isinstance(hello, protocol.PeerHello):
            return Error('malformed')
        if hello.name == self._name:
            return Error('wrong_name')
        challenge = self._authenticator.challenge(
            self._name, self._start_id, hello
        )
        if not self._send(connection, challenge):
            return Error('closed')
        proof = self._receive(connection)
        if proof is None:
            return Error('closed')
        if not isinstance(proof, protocol.PeerProof):
            return Error('malformed')
        if not self._authenticator.accepts_proof(hello, challenge, proof):
            return Error('stranger')
        incoming, outgoing = self._authenticator.seals(hello, challenge)
        return Ok(
            _peer_link.PeerSession(
                peer=state.InstanceName(hello.name),
                start_id=hello.start_id,
                initiated=False,
                lasting=hello.lasting,
                outgoing=outgoing,
                incoming=incoming,
            )
        )

    def _send(self, connection: websocket.Connection, message: object) -> bool:
        encoded = self._codec.encode(protocol.Frame(message))
        try:
            connection.send(encoded)
        except (OSError, exceptions.WebSocketException):
            return False
        self._metrics.count('peer.sent_bytes', len(encoded))
        return True

    def _receive(self, connection: websocket.Connection) -> Any:
        """Return a message, None if the connection closed, or a fault."""
        try:
            data = connection.recv(timeout=self._timeout_s)
        except (OSError, exceptions.WebSocketException, EOFError) as error:
            if _peer_link.is_oversized(error):
                return protocol.FrameFault('oversized')
            return None
        if not isinstance(data, bytes):
            return protocol.FrameFault('not a binary frame')
        self._metrics.count('peer.received_bytes', len(data))
        decoded = self._codec.decode(data)
        if decoded.is_error():
            return decoded.error
        return decoded.ok.message
