"""JSON form of the objects ``moves/<name>``."""

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from skylarktack import state

_RECORD = pydantic.TypeAdapter(state.MoveRecord)


class JsonMoveCodec:
    """Encodes and decodes the record of a move."""

    def encode(self, record: state.MoveRecord) -> bytes:
        """Encode one record."""
        return _RECORD.dump_json(record)

    def decode(self, value: bytes) -> Result[state.MoveRecord, str]:
        """Decode one record; unknown fields are ignored."""
        try:
            return Ok(_RECORD.validate_json(value))
        except pydantic.ValidationError as error:
            return Error(str(error))
