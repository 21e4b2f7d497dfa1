"""Interface to the encoding of move records, and their keys."""

from typing import Protocol

from expression import Result

from skylarktack import state

#: Prefix of the keys of all moves in the object API.
KEY_PREFIX = 'moves/'


class MoveCodec(Protocol):
    """Encoding of move records, implemented by the protocol layer."""

    def encode(self, record: state.MoveRecord) -> bytes:
        """Return the record as a value for the object API."""
        ...

    def decode(self, value: bytes) -> Result[state.MoveRecord, str]:
        """Decode a record; the error is a human-readable description."""
        ...


def record_key(name: str) -> str:
    """Return the key of a move's record in the object API."""
    return f'{KEY_PREFIX}{name}'
