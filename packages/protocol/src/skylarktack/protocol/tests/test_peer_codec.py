"""Contract tests of the messages between entry instances."""

import dataclasses
import functools
import json
import pathlib
from typing import Any

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import membership

GOLDEN_FILE = pathlib.Path(__file__).parent / 'golden' / 'peer_messages.json'

MEMBER = state.Member(
    name=state.InstanceName('entry-7'),
    address=state.Address('10.2.0.7', 7400),
    failure_domain=state.FailureDomain('domain-2'),
    region='region-1',
    incarnation=1_800_000_000_123,
    state=state.MemberState.SUSPECT,
)

#: One message of each ``peer`` and ``member`` type.
MESSAGES: dict[str, Any] = {
    'peer.hello': protocol.PeerHello('entry-7', 'a1', b'\x01' * 16, False),
    'peer.challenge': protocol.PeerChallenge(
        'entry-8', 'b2', b'\x02' * 16, b'\x03' * 32
    ),
    'peer.proof': protocol.PeerProof(b'\x04' * 32),
    'peer.refusal': protocol.PeerRefusal('unsupported', 'no handler'),
    'peer.done': protocol.PeerDone(),
    'member.join': membership.Join(MEMBER, (MEMBER,)),
    'member.joined': membership.JoinResponse(MEMBER, (MEMBER,)),
    'member.probe': membership.Probe(MEMBER, (MEMBER,)),
    'member.probed': membership.ProbeResponse(MEMBER, (MEMBER,)),
    'member.relay': membership.IndirectProbe(
        state.InstanceName('entry-9'), 500, 1_800_000_000_123
    ),
    'member.relayed': membership.IndirectProbeResponse(True, (MEMBER,)),
    'member.news': membership.MembershipUpdates((MEMBER,)),
    'member.exchange': membership.Exchange(
        news=(MEMBER,),
        digest=81,
        members=(MEMBER,),
        topics=(membership.TopicPayload('load', b'\x05\x06'),),
    ),
}


@functools.cache
def codec() -> protocol.PeerCodec:
    """Return the codec of this release."""
    return protocol.PeerCodec(protocol.PEER_MESSAGES)


@dataclasses.dataclass(frozen=True)
class _NewerProbe:
    """``Probe`` as a newer release might define it."""

    sender: state.Member
    news: tuple[state.Member, ...] = ()
    round_number: int = 0


@dataclasses.dataclass(frozen=True)
class _NewerMessage:
    """A message that only a newer release knows."""

    text: str = ''


class TestGoldenMessages:
    """Guards against a change that deployed releases cannot decode."""

    @pytest.mark.parametrize('tag', sorted(MESSAGES))
    def test_bytes_are_unchanged(self, tag: str) -> None:
        """A message encodes to the golden bytes and decodes from them."""
        golden = json.loads(GOLDEN_FILE.read_text(encoding='utf-8'))
        frame = protocol.Frame(MESSAGES[tag], 5)
        assert codec().encode(frame).hex() == golden[tag]
        assert codec().decode(bytes.fromhex(golden[tag])).ok == frame

    def test_each_message_is_covered(self) -> None:
        """Every ``peer`` and ``member`` message has golden bytes."""
        owned = {
            tag
            for tag in protocol.PEER_MESSAGES
            if tag.startswith(('peer.', 'member.'))
        }
        assert owned == set(MESSAGES)


class TestReleaseCompatibility:
    """Guards against two releases that cannot run in the same fleet."""

    def test_unknown_field_is_ignored(self) -> None:
        """A field of a newer release is ignored."""
        newer = protocol.PeerCodec({'member.probe': _NewerProbe})
        sent = newer.encode(protocol.Frame(_NewerProbe(MEMBER, (), 3), 1))
        assert codec().decode(sent).ok.message == membership.Probe(MEMBER)

    def test_missing_field_gets_its_default(self) -> None:
        """A field that an older release lacks gets its default."""
        newer = protocol.PeerCodec({'member.probe': _NewerProbe})
        sent = codec().encode(protocol.Frame(membership.Probe(MEMBER), 1))
        assert newer.decode(sent).ok.message == _NewerProbe(MEMBER)

    @pytest.mark.parametrize(
        ('sent', 'message'),
        [
            (
                '846c6d656d6265722e72656c61790105a26674617267657467656e74'
                '72792d396a74696d656f75745f6d731901f4',
                membership.IndirectProbe(state.InstanceName('entry-9'), 500),
            ),
            (
                '846e6d656d6265722e72656c617965640105a16772656163686564f5',
                membership.IndirectProbeResponse(True),
            ),
        ],
    )
    def test_indirect_probes_of_an_older_release(
        self, sent: str, message: object
    ) -> None:
        """Indirect probes without incarnation and updates are decoded."""
        expected = protocol.Frame(message, 5)
        assert codec().decode(bytes.fromhex(sent)).ok == expected

    def test_unknown_message(self) -> None:
        """An unknown message is distinguished from a malformed one."""
        newer = protocol.PeerCodec({'member.later': _NewerMessage})
        sent = newer.encode(protocol.Frame(_NewerMessage(), 9))
        fault = codec().decode(sent).error
        assert fault.unknown_tag
        assert fault.request_number == 9


class TestMalformedFrames:
    """Guards against bytes that raise an exception."""

    @settings(deadline=None)
    @given(strategies.binary(max_size=200))
    def test_random_bytes(self, data: bytes) -> None:
        """Random bytes give a fault."""
        assert codec().decode(data).is_error()

    @settings(deadline=None)
    @given(strategies.data())
    def test_damaged_message(self, data: strategies.DataObject) -> None:
        """A message with one changed byte gives a message or a fault."""
        sent = bytearray(
            codec().encode(protocol.Frame(MESSAGES['member.exchange'], 1))
        )
        index = data.draw(strategies.integers(0, len(sent) - 1))
        sent[index] ^= data.draw(strategies.integers(1, 255))
        decoded = codec().decode(bytes(sent))
        assert decoded.is_ok() or decoded.error.message

    @pytest.mark.parametrize(
        'value',
        [7, [], ['peer.done', 1, 0], ['member.news', 1, 0, 7], [{}, 1, 0, {}]],
    )
    def test_wrong_shape(self, value: object) -> None:
        """Valid CBOR with another structure gives a fault."""
        assert codec().decode(cbor2.dumps(value)).is_error()


class TestProofs:
    """Guards against peers without the secret, replays and reflections."""

    def test_proof_requires_the_secret(self) -> None:
        """Both sides reject a proof made with another secret.

        The acceptor also rejects reflected and replayed proofs.
        """
        ours = protocol.PeerAuthenticator('secret')
        other = protocol.PeerAuthenticator('other')
        hello = ours.hello('a', '1', True)
        challenge = ours.challenge('b', '2', hello)
        assert ours.accepts_challenge(hello, challenge)
        assert not other.accepts_challenge(hello, challenge)
        forged = other.proof(hello, challenge)
        assert not ours.accepts_proof(hello, challenge, forged)
        # The acceptor's own proof is reflected to it.
        reflected = protocol.PeerProof(challenge.proof)
        assert not ours.accepts_proof(hello, challenge, reflected)
        # The proof of an old handshake is replayed in a new one.
        proof = ours.proof(hello, challenge)
        assert ours.accepts_proof(hello, challenge, proof)
        new_challenge = ours.challenge('b', '2', hello)
        assert not ours.accepts_proof(hello, new_challenge, proof)

    def test_replayed_or_reflected_frame_is_rejected(self) -> None:
        """A replayed or reflected frame is rejected."""
        ours = protocol.PeerAuthenticator('secret')
        hello = ours.hello('a', '1', True)
        challenge = ours.challenge('b', '2', hello)
        sender, reflector = ours.seals(hello, challenge)
        first = sender.seal(b'one')
        assert ours.seals(hello, challenge)[0].open(first) == b'one'
        receiver = ours.seals(hello, challenge)[0]
        assert receiver.open(first) == b'one'
        assert receiver.open(first) is None
        assert reflector.open(first) is None
