"""Mutual authentication of peers and authentication codes of their frames.

The initiator sends ``PeerHello``, the acceptor responds with
``PeerChallenge`` and the initiator finishes with ``PeerProof``. Both proofs
cover both nonces and both names under different labels, so that neither a
replayed nor a reflected handshake is accepted. Every later frame starts with
an authentication code that covers its sequence number, so that a replayed
frame is rejected too.
"""

import dataclasses
import hashlib
import hmac
import secrets

import cbor2

#: Length of the nonce of each side.
NONCE_BYTES = 16

#: Length of the authentication code in front of each frame.
FRAME_CODE_BYTES = 16


@dataclasses.dataclass(frozen=True)
class PeerHello:
    """First message of the initiator."""

    #: Name of the initiator.
    name: str

    #: Identifier of its process, new at each start.
    start_id: str

    #: Random bytes, new for each connection.
    nonce: bytes

    #: Whether the connection stays open between neighbours.
    lasting: bool = True


@dataclasses.dataclass(frozen=True)
class PeerChallenge:
    """Response of the acceptor."""

    #: Name of the acceptor.
    name: str

    #: Identifier of its process, new at each start.
    start_id: str

    #: Random bytes, new for each connection.
    nonce: bytes

    #: Code that proves that the acceptor knows the shared secret; empty until
    #: it is computed.
    proof: bytes = b''


@dataclasses.dataclass(frozen=True)
class PeerProof:
    """Last message of the handshake."""

    #: Code that proves that the initiator knows the shared secret.
    proof: bytes


@dataclasses.dataclass(frozen=True)
class PeerRefusal:
    """Response to a request that was not handled."""

    #: Value of a ``PeerFaultKind``.
    kind: str

    #: Human-readable description.
    message: str = ''


@dataclasses.dataclass(frozen=True)
class PeerDone:
    """Response to a request whose handler returned nothing."""


class FrameSeal:
    """Adds and checks the authentication codes of frames.

    Each direction of a connection has its own. Not thread-safe: the calls
    must be made in the order of the frames.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    def seal(self, data: bytes) -> bytes:
        """Return the next frame with its code in front."""
        return self._next_code(data) + data

    def open(self, sealed: bytes) -> bytes | None:
        """Return the frame without its code, or None if the code is wrong.

        The code is wrong if the frame is forged or is not the next one.
        """
        data = sealed[FRAME_CODE_BYTES:]
        code = self._next_code(data)
        if not hmac.compare_digest(code, sealed[:FRAME_CODE_BYTES]):
            return None
        return data

    def _next_code(self, data: bytes) -> bytes:
        sequence_bytes = self._sequence.to_bytes(8, 'big')
        self._sequence += 1
        return hashlib.blake2b(
            sequence_bytes + data, key=self._key, digest_size=FRAME_CODE_BYTES
        ).digest()


class PeerAuthenticator:
    """Computes and checks the proofs of one handshake."""

    def __init__(self, secret: str) -> None:
        # ``person`` makes this key differ from the one that signs event ids.
        self._key = hashlib.blake2b(
            secret.encode(), digest_size=32, person=b'peer'
        ).digest()

    def hello(self, name: str, start_id: str, lasting: bool) -> PeerHello:
        """Return the initiator's first message, with a new nonce."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return PeerHello(name, start_id, nonce, lasting)

    def challenge(
        self, name: str, start_id: str, hello: PeerHello
    ) -> PeerChallenge:
        """Return the acceptor's response, with a new nonce and its proof."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        unproven = PeerChallenge(name, start_id, nonce)
        proof = self._handshake_mac(b'acceptor', hello, unproven)
        return dataclasses.replace(unproven, proof=proof)

    def proof(self, hello: PeerHello, challenge: PeerChallenge) -> PeerProof:
        """Return the initiator's last message."""
        return PeerProof(self._handshake_mac(b'initiator', hello, challenge))

    def accepts_challenge(
        self, hello: PeerHello, challenge: PeerChallenge
    ) -> bool:
        """Return whether the challenge proves knowledge of the secret."""
        expected = self._handshake_mac(b'acceptor', hello, challenge)
        return hmac.compare_digest(expected, challenge.proof)

    def accepts_proof(
        self, hello: PeerHello, challenge: PeerChallenge, proof: PeerProof
    ) -> bool:
        """Return whether the proof proves knowledge of the secret."""
        expected = self._handshake_mac(b'initiator', hello, challenge)
        return hmac.compare_digest(expected, proof.proof)

    def seals(
        self, hello: PeerHello, challenge: PeerChallenge
    ) -> tuple[FrameSeal, FrameSeal]:
        """Return the seals of the initiator's and the acceptor's frames.

        Each call starts both sequences again.
        """
        return (
            FrameSeal(
                self._handshake_mac(b'frames of initiator', hello, challenge)
            ),
            FrameSeal(
                self._handshake_mac(b'frames of acceptor', hello, challenge)
            ),
        )

    def _handshake_mac(
        self, label: bytes, hello: PeerHello, challenge: PeerChallenge
    ) -> bytes:
        payload = cbor2.dumps(
            [
                label,
                hello.name,
                hello.start_id,
                hello.nonce,
                hello.lasting,
                challenge.name,
                challenge.start_id,
                challenge.nonce,
            ]
        )
        return hmac.digest(self._key, payload, 'sha256')
