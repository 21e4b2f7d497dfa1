"""Tests of event ids as resume tokens."""

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
    """Guards against accepting forged, foreign or damaged event ids."""

    def test_round_trip(self) -> None:
        """Any instance with the secret decodes the token."""
        text = protocol.EventIdSigner('secret').encode(
            ORGANISATION, REQUEST, TOKEN
        )
        other_instance = protocol.EventIdSigner('secret')
        assert other_instance.decode(ORGANISATION, REQUEST, text) == TOKEN

    @pytest.mark.parametrize(
        ('organisation', 'request_id', 'secret'),
        (
            ('large', 'request-1', 'secret'),
            ('small', 'request-2', 'secret'),
            ('small', 'request-1', 'other'),
        ),
    )
    def test_foreign_id_is_rejected(
        self, organisation: str, request_id: str, secret: str
    ) -> None:
        """An id of another organisation, request or secret is rejected."""
        text = protocol.EventIdSigner(secret).encode(
            state.OrganisationName(organisation),
            state.RequestId(request_id),
            TOKEN,
        )
        signer = protocol.EventIdSigner('secret')
        assert signer.decode(ORGANISATION, REQUEST, text) is None

    def test_damaged_id_is_rejected(self) -> None:
        """An id with a changed character and a malformed id are rejected."""
        signer = protocol.EventIdSigner('secret')
        text = signer.encode(ORGANISATION, REQUEST, TOKEN)
        for index in range(len(text)):
            changed = text[:index] + 'x' + text[index + 1 :]
            if changed == text:
                continue
            assert signer.decode(ORGANISATION, REQUEST, changed) is None
        for broken in ('', '.', '1.2.3.4', text + 'x', 'x' * 5000):
            assert signer.decode(ORGANISATION, REQUEST, broken) is None


class TestHandoverEvent:
    """Guards against a handover from which a caller cannot resume."""

    def _encode(self, event: generation.HandedOver) -> bytes:
        encoder = protocol.CallerStreamEncoder(
            protocol.EventIdSigner('secret'),
            ORGANISATION,
            REQUEST,
        )
        return encoder.encode(event)

    def test_event_id_before_the_first_token(self) -> None:
        """The event id of the handover is authentic, also index position 0."""
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

    def test_handover_without_attempt(self) -> None:
        """Without an attempt the handover has no event id."""
        assert self._encode(generation.HandedOver()).startswith(
            b'event: handover\n'
        )
