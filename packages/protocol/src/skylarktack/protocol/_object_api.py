"""Encodings of the platform's object API: JSON bodies."""

import base64
import dataclasses
import json
import re
from typing import Any

import pydantic

from skylarktack import state
from skylarktack.protocol import _json_values

#: Header of all responses. The era rises by one each time the store comes back
#: from a copy that lacks its last writes.
OBJECT_API_ERA_HEADER = 'Object-Api-Era'

#: Eras fit into 64 bits.
_ERA = re.compile(r'[0-9]{1,18}')

_PLATFORM_LIST = pydantic.TypeAdapter(state.PlatformList)


def decode_object_api_era(text: str | None) -> int | None:
    """Return the era in a header; None if it is absent or malformed."""
    if text is None or not _ERA.fullmatch(text):
        return None
    return int(text)


def encode_objects(objects: tuple[state.StoredObject, ...]) -> bytes:
    """Encode a list of objects."""
    return json.dumps(
        {'objects': [_encode_object(item) for item in objects]}
    ).encode()


def decode_objects(body: bytes) -> tuple[state.StoredObject, ...]:
    """Decode a list of objects.

    :raises ValueError: if it is malformed.
    """
    return _decode_objects(_decode_fields(body))


def encode_watch_batch(batch: state.WatchBatch) -> bytes:
    """Encode the response to a watch."""
    return json.dumps(
        {
            'version': batch.version,
            'objects': [_encode_object(item) for item in batch.changed],
        }
    ).encode()


def decode_watch_batch(body: bytes) -> state.WatchBatch:
    """Decode the response to a watch.

    :raises ValueError: if it is malformed.
    """
    fields = _decode_fields(body)
    return state.WatchBatch(_decode_version(fields), _decode_objects(fields))


def encode_platform_list(platform_list: state.PlatformList) -> bytes:
    """Encode the platform's list of instances."""
    return _PLATFORM_LIST.dump_json(platform_list)


def decode_platform_list(body: bytes) -> state.PlatformList:
    """Decode the platform's list of instances.

    :raises ValueError: if it is malformed.
    """
    return _PLATFORM_LIST.validate_json(body)


def _encode_object(stored: state.StoredObject) -> dict[str, object]:
    fields = dataclasses.asdict(stored)
    fields['value'] = base64.b64encode(stored.value).decode()
    return fields


def _decode_fields(body: bytes) -> dict[str, Any]:
    decoded = _json_values.decode_json(body)
    if not isinstance(decoded, dict):
        raise ValueError('the response is not a JSON object')
    return decoded


def _decode_objects(fields: dict[str, Any]) -> tuple[state.StoredObject, ...]:
    listed = fields.get('objects')
    if not isinstance(listed, list):
        raise ValueError('the response has no list of objects')
    return tuple(_decode_object(item) for item in listed)


def _decode_object(fields: Any) -> state.StoredObject:
    if not isinstance(fields, dict):
        raise ValueError('an entry of the list is no JSON object')
    key = fields.get('key')
    value = fields.get('value')
    if not isinstance(key, str) or not isinstance(value, str):
        raise ValueError('an object has no key or no value')
    return state.StoredObject(
        key=key,
        value=base64.b64decode(value),
        version=_decode_version(fields),
    )


def _decode_version(fields: dict[str, Any]) -> int:
    version = fields.get('version')
    if isinstance(version, bool) or not isinstance(version, int):
        raise ValueError('the version is not an integer')
    return version
