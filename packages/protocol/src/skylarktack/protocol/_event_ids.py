"""Event ids of callers' streams: signed resume tokens."""

import hashlib
import hmac

from skylarktack import state

#: Length of the authentication code in an event id, in bytes.
MAC_BYTES = 8


class EventIdSigner:
    """Encodes and checks resume tokens with the deployment's secret.

    An event id is ``<position>.<attempt>.<digest>.<mac>.<target>``. The code
    covers the request identifier too, so that the id of one request cannot
    be used for another.
    """

    def __init__(self, secret: str) -> None:
        # The event ids' key differs from the key that peers prove.
        self._key = hashlib.blake2b(
            secret.encode(), digest_size=32, person=b'event id'
        ).digest()

    def encode(
        self, request_id: state.RequestId, token: state.ResumeToken
    ) -> str:
        """Return the event id of one position of one request."""
        fields = (
            f'{token.position}.{token.attempt}.{token.digest}.{token.target}'
        )
        return (
            f'{token.position}.{token.attempt}.{token.digest}.'
            f'{self._mac(request_id, fields)}.{token.target}'
        )

    def decode(
        self, request_id: state.RequestId, text: str
    ) -> state.ResumeToken | None:
        """Return the token of an event id, or None if it is not genuine."""
        parts = text.split('.', 4)
        if len(parts) != 5:
            return None
        position, attempt, digest, mac, target = parts
        fields = f'{position}.{attempt}.{digest}.{target}'
        if not hmac.compare_digest(
            mac.encode(), self._mac(request_id, fields).encode()
        ):
            return None
        return state.ResumeToken(
            position=int(position),
            attempt=int(attempt),
            target=state.TargetName(target),
            digest=digest,
        )

    def _mac(self, request_id: state.RequestId, fields: str) -> str:
        return hashlib.blake2b(
            f'{request_id}\n{fields}'.encode(),
            key=self._key,
            digest_size=MAC_BYTES,
        ).hexdigest()
