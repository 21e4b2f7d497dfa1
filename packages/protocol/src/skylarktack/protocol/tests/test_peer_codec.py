"""Contract of the messages between entry instances."""

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

#: One message of each kind that this part owns.
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
    """``Probe`` as a later release might send it."""

    sender: state.Member
    news: tuple[state.Member, ...] = ()
    round_number: int = 0


@dataclasses.dataclass(frozen=True)
class _UnknownHere:
    """A message that only a later release knows."""

    text: str = ''


class TestGoldenMessages:
    """Guards against a change that running releases cannot read."""

    @pytest.mark.parametrize('tag', sorted(MESSAGES))
    def test_bytes_are_unchanged(self, tag: str) -> None:
        """The committed bytes are written and read."""
        golden = json.loads(GOLDEN_FILE.read_text(encoding='utf-8'))
        frame = protocol.Frame(MESSAGES[tag], 5)
        assert codec().encode(frame).hex() == golden[tag]
        assert codec().decode(bytes.fromhex(golden[tag])).ok == frame

    def test_each_message_is_covered(self) -> None:
        """Every kind that this part owns has a golden message."""
        owned = {
            tag
            for tag in protocol.PEER_MESSAGES
            if tag.startswith(('peer.', 'member.'))
        }
        assert owned == set(MESSAGES)


class TestReleases:
    """Guards against two releases that cannot run side by side."""

    def test_older_reads_newer(self) -> None:
        """A field of a later release is ignored."""
        newer = protocol.PeerCodec({'member.probe': _NewerProbe})
        sent = newer.encode(protocol.Frame(_NewerProbe(MEMBER, (), 3), 1))
        assert codec().decode(sent).ok.message == membership.Probe(MEMBER)

    def test_newer_reads_older(self) -> None:
        """A field that an earlier release lacks takes its default."""
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
    def test_relays_of_an_earlier_release(
        self, sent: str, message: object
    ) -> None:
        """Relayed probes without incarnation and news are read."""
        expected = protocol.Frame(message, 5)
        assert codec().decode(bytes.fromhex(sent)).ok == expected

    def test_unknown_message(self) -> None:
        """A message of a later release is told apart from a broken one."""
        newer = protocol.PeerCodec({'member.later': _UnknownHere})
        sent = newer.encode(protocol.Frame(_UnknownHere(), 9))
        fault = codec().decode(sent).error
        assert fault.unknown_tag
        assert fault.request_number == 9


class TestMalformedFrames:
    """Guards against bytes that raise instead of being refused."""

    @settings(deadline=None)
    @given(strategies.binary(max_size=200))
    def test_random_bytes(self, data: bytes) -> None:
        """Random bytes are decoded to a fault."""
        assert codec().decode(data).is_error()

    @settings(deadline=None)
    @given(strategies.data())
    def test_damaged_message(self, data: strategies.DataObject) -> None:
        """A message with one changed byte is a message or a fault."""
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
        """Sound CBOR of another shape is a fault."""
        assert codec().decode(cbor2.dumps(value)).is_error()


class TestProofs:
    """Guards against strangers, replays and reflections."""

    def test_only_the_secret_proves(self) -> None:
        """Both sides refuse a proof made with another secret."""
        ours = protocol.PeerAuthenticator('secret')
        other = protocol.PeerAuthenticator('other')
        hello = ours.hello('a', '1', True)
        challenge = ours.challenge('b', '2', hello)
        assert ours.accepts_challenge(hello, challenge)
        assert not other.accepts_challenge(hello, challenge)
        forged = other.proof(hello, challenge)
        assert not ours.accepts_proof(hello, challenge, forged)
        # The acceptor's own proof sent back to it.
        reflected = protocol.PeerProof(challenge.proof)
        assert not ours.accepts_proof(hello, challenge, reflected)
        # An old proof in a new handshake.
        proof = ours.proof(hello, challenge)
        assert ours.accepts_proof(hello, challenge, proof)
        renewed = ours.challenge('b', '2', hello)
        assert not ours.accepts_proof(hello, renewed, proof)

    def test_frames_in_order_only(self) -> None:
        """A repeated, skipped or reflected frame is refused."""
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
