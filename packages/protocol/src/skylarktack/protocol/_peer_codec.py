"""Encodes messages between entry instances as CBOR frames.

A frame is the CBOR array ``[tag, wire version, request number, fields]``.
Unknown fields are ignored and missing ones get their defaults, so that two
releases can run in the same fleet.
"""

import dataclasses
from typing import Any

import cbor2
from expression import Error
from expression import Ok
from expression import Result
import pydantic

#: Version of the frame layout.
WIRE_VERSION = 1


@dataclasses.dataclass(frozen=True)
class Frame:
    """A message and the number of the request that it belongs to."""

    #: A frozen data class whose type is in the message table.
    message: Any

    #: Correlates a response with its request: positive in the request, negated
    #: in the response, 0 in a one-way message.
    request_number: int = 0


@dataclasses.dataclass(frozen=True)
class FrameFault:
    """A frame that cannot be decoded."""

    #: Human-readable description.
    message: str

    #: Whether the frame is well-formed but its tag is not in the table.
    unknown_tag: bool = False

    #: Request number of the frame, or 0 if it could not be decoded.
    request_number: int = 0


class PeerCodec:
    """Encodes and decodes frames with a table of message types."""

    def __init__(self, table: dict[str, type]) -> None:
        self._types = dict(table)
        self._tags = {kind: tag for tag, kind in table.items()}
        self._adapters: dict[str, pydantic.TypeAdapter[Any]] = {}
        for tag, kind in table.items():
            self._adapters[tag] = pydantic.TypeAdapter(kind)

    def encode(self, frame: Frame) -> bytes:
        """Return the bytes of a frame.

        :raises KeyError: if the type of the message is not in the table.
        """
        tag = self._tags[type(frame.message)]
        fields = self._adapters[tag].dump_python(frame.message)
        return cbor2.dumps(
            [tag, WIRE_VERSION, frame.request_number, _to_plain(fields)]
        )

    def decode(self, data: bytes) -> Result[Frame, FrameFault]:
        """Decode a frame; malformed bytes are a fault, never an exception."""
        try:
            tag, _, number, fields = cbor2.loads(data)
        except Exception as error:  # cbor2 raises many types on bad input
            return Error(FrameFault(f'not a frame: {error}'))
        if not isinstance(tag, str) or not isinstance(number, int):
            return Error(FrameFault('not a frame: bad head'))
        adapter = self._adapters.get(tag)
        if adapter is None:
            return Error(FrameFault(f'unknown tag {tag!r}', True, number))
        try:
            return Ok(Frame(adapter.validate_python(fields), number))
        except pydantic.ValidationError as error:
            return Error(FrameFault(str(error), False, number))


def _to_plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _to_plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, dict):
        return {key: _to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_to_plain(item) for item in value]
    if hasattr(value, 'value') and hasattr(value, 'name'):
        return value.value
    return value
