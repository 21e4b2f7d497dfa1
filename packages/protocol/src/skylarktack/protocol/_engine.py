"""Encodings of the engines' API: JSON bodies and server-sent events."""

import dataclasses
import json

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from skylarktack import state
from skylarktack.coordination import ports

_ATTEMPT_REQUEST = pydantic.TypeAdapter(state.AttemptRequest)
_LOAD = pydantic.TypeAdapter(ports.EngineLoad)
_CACHE_EVENTS = pydantic.TypeAdapter(tuple[ports.CacheEvent, ...])
_TARGET_COMMAND = pydantic.TypeAdapter(ports.TargetCommand)


def encode_engine_order(request: state.AttemptRequest) -> bytes:
    """Encode the body of the request that starts an attempt."""
    return json.dumps(dataclasses.asdict(request)).encode()


def decode_engine_order(body: bytes) -> state.AttemptRequest:
    """Decode the body of the request that starts an attempt.

    :raises ValueError: if it is malformed.
    """
    return _ATTEMPT_REQUEST.validate_json(body)


def decode_engine_load(
    body: bytes,
) -> Result[ports.EngineLoad, ports.StreamFault]:
    """Decode an engine's load report; malformed JSON is a fault."""
    try:
        return Ok(_LOAD.validate_json(body))
    except ValueError as error:
        return Error(_malformed_fault(str(error)))


def decode_cache_events(
    body: bytes,
) -> Result[tuple[ports.CacheEvent, ...], ports.StreamFault]:
    """Decode a list of cache events; malformed JSON is a fault."""
    try:
        return Ok(_CACHE_EVENTS.validate_json(body))
    except ValueError as error:
        return Error(_malformed_fault(str(error)))


def encode_plain(value: object) -> bytes:
    """Encode a frozen data class, or a tuple of them, as JSON."""
    adapter: pydantic.TypeAdapter[object] = pydantic.TypeAdapter(type(value))
    if isinstance(value, tuple):
        return json.dumps(
            [dataclasses.asdict(item) for item in value]
        ).encode()
    return adapter.dump_json(value)


def decode_target_order(body: bytes) -> ports.TargetCommand:
    """Decode a command that changes what a target serves.

    :raises ValueError: if it is malformed.
    """
    return _TARGET_COMMAND.validate_json(body)


def encode_stream_event(event: state.StreamEvent) -> bytes:
    """Encode one event of an engine's stream as a server-sent event."""
    if isinstance(event, state.TokenEvent):
        data = json.dumps(event.text.decode())
        return (
            f'id: {event.attempt}:{event.position}\ndata: {data}\n\n'
        ).encode()
    if isinstance(event, state.Keepalive):
        return b': keepalive\n\n'
    names = {
        state.StreamStart: 'start',
        state.StreamEnd: 'end',
        state.StreamError: 'error',
    }
    data = json.dumps(dataclasses.asdict(event))
    return f'event: {names[type(event)]}\ndata: {data}\n\n'.encode()


#: Maximum size of one event.
MAX_EVENT_BYTES = 1024 * 1024


class StreamDecoder:
    """Decodes an engine's server-sent events incrementally."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> tuple[state.StreamEvent, ...]:
        """Return the events that these bytes complete.

        Every token passes through here and creating a ``Result`` takes seven
        microseconds, so malformed events raise instead.

        :raises ValueError: if an event is malformed.
        """
        blocks = (self._buffer + data).split(b'\n\n')
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError('an event exceeds the size limit')
        return tuple([_decode_block(block) for block in blocks])


def _decode_block(block: bytes) -> state.StreamEvent:
    if block.startswith(b'id: '):
        head, _, data = block.partition(b'\n')
        attempt, _, position = head[4:].partition(b':')
        return state.TokenEvent(
            int(attempt), int(position), _decode_text(data)
        )
    if block.startswith(b':'):
        return state.Keepalive()
    head, _, data = block.partition(b'\n')
    name = head.removeprefix(b'event: ').decode()
    fields = json.loads(data.removeprefix(b'data: '))
    if not isinstance(fields, dict):
        raise ValueError(f'data of event {name!r} is not a JSON object')
    kinds: dict[str, type[state.StreamEvent]] = {
        'start': state.StreamStart,
        'end': state.StreamEnd,
        'error': state.StreamError,
    }
    kind = kinds.get(name)
    if kind is None:
        raise ValueError(f'unknown event {name!r}')
    try:
        return kind(**fields)
    except TypeError as error:
        raise ValueError(str(error)) from error


def _decode_text(data: bytes) -> bytes:
    # Most tokens are JSON strings without escapes and need no JSON parser.
    text = data[7:-1]
    if (
        data[:7] == b'data: "'
        and data.find(b'"', 7) == len(data) - 1
        and b'\\' not in text
        and text.isascii()
        and text.decode().isprintable()
    ):
        return text
    decoded = json.loads(data.removeprefix(b'data: '))
    if not isinstance(decoded, str):
        raise ValueError('data of a token event is not a JSON string')
    return decoded.encode()


def _malformed_fault(message: str) -> ports.StreamFault:
    return ports.StreamFault(ports.StreamFaultKind.MALFORMED, message)
