"""Encoding of records, as decisions see it."""

from typing import Protocol

from expression import Result

from skylarktack import state

#: Prefix of the keys of all moves in the object API.
KEY_PREFIX = 'moves/'


class MoveCodec(Protocol):
    """Turns records into values of the object API and back."""

    def encode(self, record: state.MoveRecord) -> bytes:
        """Encode one record."""
        ...

    def decode(self, value: bytes) -> Result[state.MoveRecord, str]:
        """Decode one record; the error is one sentence."""
        ...


def record_key(name: str) -> str:
    """Return the key of a move's record."""
    return f'{KEY_PREFIX}{name}'
