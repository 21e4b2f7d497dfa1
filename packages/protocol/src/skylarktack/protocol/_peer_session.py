"""Proof of the shared secret between peers and codes of their frames.

The initiator sends ``PeerHello``, the acceptor answers ``PeerChallenge``
and the initiator ends with ``PeerProof``. Both proofs cover both nonces and
both names under different labels, so that neither an old handshake nor a
reflected one is accepted. Every later frame begins with a code over its
sequence number, so that a repeated frame is refused too.
"""

import dataclasses
import hashlib
import hmac
import secrets

import cbor2

#: Length of a nonce, in bytes.
NONCE_BYTES = 16

#: Length of the code in front of each frame, in bytes.
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

    #: Whether the connection is a lasting one between neighbours.
    lasting: bool = True


@dataclasses.dataclass(frozen=True)
class PeerChallenge:
    """Answer of the acceptor."""

    #: Name of the acceptor.
    name: str

    #: Identifier of its process, new at each start.
    start_id: str

    #: Random bytes, new for each connection.
    nonce: bytes

    #: The acceptor's proof of the shared secret.
    proof: bytes = b''


@dataclasses.dataclass(frozen=True)
class PeerProof:
    """Last message of the handshake."""

    #: The initiator's proof of the shared secret.
    proof: bytes


@dataclasses.dataclass(frozen=True)
class PeerRefusal:
    """Answer to a request that was not handled."""

    #: Value of a ``PeerFaultKind``.
    kind: str

    #: One sentence for people.
    message: str = ''


@dataclasses.dataclass(frozen=True)
class PeerDone:
    """Answer to a request whose handler returned nothing."""


class FrameSeal:
    """Codes of the frames in one direction of one connection.

    Not safe for use by several threads: the order of the calls is the order
    of the frames.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    def seal(self, data: bytes) -> bytes:
        """Put the code of the next frame in front of it."""
        return self._next_code(data) + data

    def open(self, sealed: bytes) -> bytes | None:
        """Return the frame, or None if it is not the next genuine one."""
        data = sealed[FRAME_CODE_BYTES:]
        code = self._next_code(data)
        if not hmac.compare_digest(code, sealed[:FRAME_CODE_BYTES]):
            return None
        return data

    def _next_code(self, data: bytes) -> bytes:
        head = self._sequence.to_bytes(8, 'big')
        self._sequence += 1
        return hashlib.blake2b(
            head + data, key=self._key, digest_size=FRAME_CODE_BYTES
        ).digest()


class PeerAuthenticator:
    """Computes and checks the proofs of one handshake."""

    def __init__(self, secret: str) -> None:
        # The peers' key differs from the key that signs event ids.
        self._key = hashlib.blake2b(
            secret.encode(), digest_size=32, person=b'peer'
        ).digest()

    def hello(self, name: str, start_id: str, lasting: bool) -> PeerHello:
        """Return a first message with a new nonce."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return PeerHello(name, start_id, nonce, lasting)

    def challenge(
        self, name: str, start_id: str, hello: PeerHello
    ) -> PeerChallenge:
        """Return the answer to a first message, with a new nonce."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        bare = PeerChallenge(name, start_id, nonce)
        proof = self._code(b'acceptor', hello, bare)
        return dataclasses.replace(bare, proof=proof)

    def proof(self, hello: PeerHello, challenge: PeerChallenge) -> PeerProof:
        """Return the initiator's proof."""
        return PeerProof(self._code(b'initiator', hello, challenge))

    def accepts_challenge(
        self, hello: PeerHello, challenge: PeerChallenge
    ) -> bool:
        """Return whether the acceptor knows the secret."""
        expected = self._code(b'acceptor', hello, challenge)
        return hmac.compare_digest(expected, challenge.proof)

    def accepts_proof(
        self, hello: PeerHello, challenge: PeerChallenge, proof: PeerProof
    ) -> bool:
        """Return whether the initiator knows the secret."""
        expected = self._code(b'initiator', hello, challenge)
        return hmac.compare_digest(expected, proof.proof)

    def seals(
        self, hello: PeerHello, challenge: PeerChallenge
    ) -> tuple[FrameSeal, FrameSeal]:
        """Return the seals of the initiator's and the acceptor's frames."""
        return (
            FrameSeal(self._code(b'frames of initiator', hello, challenge)),
            FrameSeal(self._code(b'frames of acceptor', hello, challenge)),
        )

    def _code(
        self, label: bytes, hello: PeerHello, challenge: PeerChallenge
    ) -> bytes:
        covered = cbor2.dumps(
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
        return hmac.digest(self._key, covered, 'sha256')
