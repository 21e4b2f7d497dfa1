"""Event ids of callers' streams, which are signed resume tokens."""

import functools
import hashlib
import hmac
import urllib.parse

from skylarktack import state

#: Length of the authentication code in an event id.
MAC_BYTES = 8

#: Longer event ids are rejected.
EVENT_ID_LIMIT_CHARS = 1024


class EventIdSigner:
    """Encodes and checks resume tokens with the deployment's secret.

    An event id is ``<position>.<attempt>.<digest>.<mac>.<target>/<version>``.
    The authentication code also covers the organisation and the request
    identifier, so that an id is valid only for its own request and
    organisation.
    """

    def __init__(self, secret: str) -> None:
        # ``person`` makes this key differ from the one that peers prove.
        self._key = hashlib.blake2b(
            secret.encode(), digest_size=32, person=b'event id'
        ).digest()

    def encode(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        token: state.ResumeToken,
    ) -> str:
        """Return the event id of a resume token."""
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
        """Return an encoder for all event ids of one request.

        It keys the hash once for all of them.
        """
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
        """Return the token of an event id, or None if it is not authentic."""
        parts = text.split('.', 4)
        if len(parts) != 5 or len(text) > EVENT_ID_LIMIT_CHARS:
            return None
        position, attempt, digest, mac, origin = parts
        expected = self._mac(
            organisation,
            request_id,
            f'{position}.{attempt}.{digest}.{origin}',
        )
        if not hmac.compare_digest(mac.encode(), expected.encode()):
            return None
        target, _, version = origin.partition('/')
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
    """Encodes the event ids of one request; not shared between threads."""

    def __init__(self, keyed_hash: hashlib.blake2b) -> None:
        # Copying the hash state is cheaper than keying a hash for each token.
        self._keyed_hash = keyed_hash

    def encode(
        self,
        position: int,
        attempt: int,
        digest: str,
        target: state.TargetName,
        version: state.VersionName,
    ) -> str:
        """Return the event id of one position of the request."""
        prefix = f'{position}.{attempt}.{digest}'
        origin = _encode_origin(target, version)
        keyed_hash = self._keyed_hash.copy()
        keyed_hash.update(f'{prefix}.{origin}'.encode())
        return f'{prefix}.{keyed_hash.hexdigest()}.{origin}'


@functools.lru_cache(maxsize=1024)
def _encode_origin(target: str, version: str) -> str:
    quoted = urllib.parse.quote(target, safe='')
    return f'{quoted}/{urllib.parse.quote(version, safe="")}'
