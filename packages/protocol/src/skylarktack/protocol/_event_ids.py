"""Event ids of callers' streams: signed resume tokens."""

import functools
import hashlib
import hmac
import urllib.parse

from skylarktack import state

#: Length of the authentication code in an event id, in bytes.
MAC_BYTES = 8

#: Longest event id that is looked at.
EVENT_ID_LIMIT_CHARS = 1024


class EventIdSigner:
    """Encodes and checks resume tokens with the deployment's secret.

    An event id is ``<position>.<attempt>.<digest>.<mac>.<target>/<version>``.
    The code covers the organisation and the request identifier too, so that
    the id of one request cannot be used for another, nor by another
    organisation.
    """

    def __init__(self, secret: str) -> None:
        # The event ids' key differs from the key that peers prove.
        self._key = hashlib.blake2b(
            secret.encode(), digest_size=32, person=b'event id'
        ).digest()

    def encode(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        token: state.ResumeToken,
    ) -> str:
        """Return the event id of one position of one request."""
        return self.writer(organisation, request_id).encode(
            token.position,
            token.attempt,
            token.digest,
            token.target,
            token.version,
        )

    def writer(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
    ) -> 'EventIdWriter':
        """Return an encoder for the many event ids of one request."""
        return EventIdWriter(
            hashlib.blake2b(
                f'{organisation}\n{request_id}\n'.encode(),
                key=self._key,
                digest_size=MAC_BYTES,
            )
        )

    def decode(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        text: str,
    ) -> state.ResumeToken | None:
        """Return the token of an event id, or None if it is not genuine."""
        parts = text.split('.', 4)
        if len(parts) != 5 or len(text) > EVENT_ID_LIMIT_CHARS:
            return None
        position, attempt, digest, mac, place = parts
        expected = self._mac(
            organisation,
            request_id,
            f'{position}.{attempt}.{digest}.{place}',
        )
        if not hmac.compare_digest(mac.encode(), expected.encode()):
            return None
        target, _, version = place.partition('/')
        return state.ResumeToken(
            position=int(position),
            attempt=int(attempt),
            target=state.TargetName(urllib.parse.unquote(target)),
            digest=digest,
            version=state.VersionName(urllib.parse.unquote(version)),
        )

    def _mac(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        fields: str,
    ) -> str:
        return hashlib.blake2b(
            f'{organisation}\n{request_id}\n{fields}'.encode(),
            key=self._key,
            digest_size=MAC_BYTES,
        ).hexdigest()


class EventIdWriter:
    """Encodes the event ids of one request; owned by one thread."""

    def __init__(self, keyed: hashlib.blake2b) -> None:
        # Copying the state is cheaper than keying it for each token.
        self._keyed = keyed

    def encode(
        self,
        position: int,
        attempt: int,
        digest: str,
        target: state.TargetName,
        version: state.VersionName,
    ) -> str:
        """Return the event id of one position."""
        head = f'{position}.{attempt}.{digest}'
        place = _encode_place(target, version)
        keyed = self._keyed.copy()
        keyed.update(f'{head}.{place}'.encode())
        return f'{head}.{keyed.hexdigest()}.{place}'


@functools.lru_cache(maxsize=1024)
def _encode_place(target: str, version: str) -> str:
    quoted = urllib.parse.quote(target, safe='')
    return f'{quoted}/{urllib.parse.quote(version, safe="")}'
