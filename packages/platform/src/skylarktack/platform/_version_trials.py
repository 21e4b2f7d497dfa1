"""Versions whose move has begun, kept as objects in the platform's store."""

import hashlib
import json
from typing import Any

from skylarktack.coordination import forwarding
from skylarktack.platform import _fields
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

#: Kind of the objects. Each is named after a hash of service and version.
KIND = 'skylarktack-version-trials'

_PATH = f'/objects/{KIND}'

_NOT_FOUND_STATUS = 404
_CONFLICT_STATUS = 409
_SUCCESS_STATUSES = frozenset((200, 201, 204))


class StoreVersionTrials:
    """Reads and writes the records of versions."""

    def __init__(self, client: forwarding.StoreClient) -> None:
        self._client = client
        self._objects = _store.ObjectReader(client, KIND)

    def load(self, may_be_stale: bool) -> tuple[data.VersionTrial, ...] | None:
        """Return all records; None on a store failure.

        :param may_be_stale: accept records that may be seconds old, which
            costs a tenth of a call.
        """
        listing = self._objects.list_objects(may_be_stale)
        if isinstance(listing, forwarding.StoreFault):
            return None
        trials = []
        for item in listing.items:
            trial = _decode(item)
            if trial is not None:
                trials.append(trial)
        return tuple(trials)

    def save(self, trial: data.VersionTrial) -> bool:
        """Create the object of a version; True also if there is one."""
        body = json.dumps(
            {
                'metadata': {
                    'name': _name_of(trial.service, trial.version),
                    'finalizers': [],
                },
                'specification': {
                    'service': trial.service,
                    'version': trial.version,
                    'began_at_ms': trial.began_at_ms,
                },
            }
        ).encode()
        status = self._call('POST', _PATH, body)
        return status == _CONFLICT_STATUS or status in _SUCCESS_STATUSES

    def remove(self, service: str, version: str) -> bool:
        """Remove the object of a version; True also if there is none."""
        path = f'{_PATH}/{_name_of(service, version)}'
        status = self._call('DELETE', path, None)
        return status == _NOT_FOUND_STATUS or status in _SUCCESS_STATUSES

    def _call(self, method: str, path: str, body: bytes | None) -> int:
        """Return the status of a response, or 0 without one."""
        response = self._client.call(method, path, body, _store.CALL_TIMEOUT_S)
        if isinstance(response, forwarding.ExchangeFault):
            return 0
        return response.status


def _name_of(service: str, version: str) -> str:
    """Return a name without special characters."""
    text = json.dumps([service, version])
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def _decode(item: dict[str, Any]) -> data.VersionTrial | None:
    """Return a record, or None if another writer left the entry."""
    name = _store.name_of(item)
    reader = _fields.FieldReader.from_document(
        f'{KIND}/{name}', item.get('specification'), []
    )
    trial = data.VersionTrial(
        reader.text('service'),
        reader.text('version'),
        reader.integer('began_at_ms'),
    )
    if reader.findings or _name_of(trial.service, trial.version) != name:
        return None
    return trial
