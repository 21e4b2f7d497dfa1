"""Event ids as resume tokens."""

import pytest

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import generation

ORGANISATION = state.OrganisationName('small')
REQUEST = state.RequestId('request-1')
TOKEN = state.ResumeToken(
    position=7,
    attempt=65_540,
    target=state.TargetName('engine.0/é'),
    digest='0011223344556677',
    version=state.VersionName('model-1.5'),
)


class TestEventIds:
    """Guards against forged, foreign and damaged event ids."""

    def test_round_trip(self) -> None:
        """Any instance with the secret reads the token."""
        text = protocol.EventIdSigner('secret').encode(
            ORGANISATION, REQUEST, TOKEN
        )
        again = protocol.EventIdSigner('secret')
        assert again.decode(ORGANISATION, REQUEST, text) == TOKEN

    @pytest.mark.parametrize(
        ('organisation', 'request_id', 'secret'),
        (
            ('large', 'request-1', 'secret'),
            ('small', 'request-2', 'secret'),
            ('small', 'request-1', 'other'),
        ),
    )
    def test_foreign(
        self, organisation: str, request_id: str, secret: str
    ) -> None:
        """The id of another owner, request or deployment is refused."""
        text = protocol.EventIdSigner(secret).encode(
            state.OrganisationName(organisation),
            state.RequestId(request_id),
            TOKEN,
        )
        signer = protocol.EventIdSigner('secret')
        assert signer.decode(ORGANISATION, REQUEST, text) is None

    def test_damaged(self) -> None:
        """No changed character is accepted."""
        signer = protocol.EventIdSigner('secret')
        text = signer.encode(ORGANISATION, REQUEST, TOKEN)
        for at in range(len(text)):
            changed = text[:at] + 'x' + text[at + 1 :]
            if changed == text:
                continue
            assert signer.decode(ORGANISATION, REQUEST, changed) is None
        for broken in ('', '.', '1.2.3.4', text + 'x', 'x' * 5000):
            assert signer.decode(ORGANISATION, REQUEST, broken) is None


class TestHandoverEvent:
    """Guards against a handover that names no attempt to go on with."""

    def _encode(self, step: generation.HandedOver) -> bytes:
        encoder = protocol.CallerStreamEncoder(
            protocol.EventIdSigner('secret'),
            ORGANISATION,
            REQUEST,
        )
        return encoder.encode(step)

    def test_event_id_before_the_first_token(self) -> None:
        """The id of the handover is a genuine one for position 0."""
        resume = state.ResumeToken(
            0, 7, state.TargetName('engine-1'), '00', state.VersionName('v1')
        )
        lines = self._encode(generation.HandedOver(resume)).split(b'\n')
        assert lines[0].startswith(b'id: ')
        assert lines[1] == b'event: handover'
        decoded = protocol.EventIdSigner('secret').decode(
            ORGANISATION,
            REQUEST,
            lines[0][4:].decode(),
        )
        assert decoded == resume

    def test_no_attempt(self) -> None:
        """A generation without an attempt has nothing to go on with."""
        assert self._encode(generation.HandedOver()).startswith(
            b'event: handover\n'
        )
