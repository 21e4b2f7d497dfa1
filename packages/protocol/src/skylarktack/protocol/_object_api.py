"""Encodings of the platform's object API: JSON bodies."""

import base64
import dataclasses
import json

import pydantic

from skylarktack import state

_PLATFORM_LIST = pydantic.TypeAdapter(state.PlatformList)


def encode_objects(objects: tuple[state.StoredObject, ...]) -> bytes:
    """Encode a list of objects."""
    return json.dumps(
        {'objects': [_encode_object(item) for item in objects]}
    ).encode()


def decode_objects(body: bytes) -> tuple[state.StoredObject, ...]:
    """Decode a list of objects.

    :raises ValueError: if it is malformed.
    """
    objects: list[state.StoredObject] = []
    for fields in json.loads(body)['objects']:
        objects.append(_decode_object(fields))
    return tuple(objects)


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
    version = int(json.loads(body)['version'])
    return state.WatchBatch(version, decode_objects(body))


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


def _decode_object(fields: dict[str, str]) -> state.StoredObject:
    return state.StoredObject(
        key=fields['key'],
        value=base64.b64decode(fields['value']),
        version=int(fields['version']),
    )
