"""Encodes move records, stored as objects ``moves/<name>``, as JSON.

A move is a planned rollout of a route from one version to another.
"""

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from skylarktack import state

_RECORD = pydantic.TypeAdapter(state.MoveRecord)


class JsonMoveCodec:
    """Encodes and decodes move records as JSON."""

    def encode(self, record: state.MoveRecord) -> bytes:
        """Return the value that the object API stores for a record."""
        return _RECORD.dump_json(record)

    def decode(self, value: bytes) -> Result[state.MoveRecord, str]:
        """Decode a stored value; unknown fields are ignored."""
        try:
            return Ok(_RECORD.validate_json(value))
        except pydantic.ValidationError as error:
            return Error(str(error))
