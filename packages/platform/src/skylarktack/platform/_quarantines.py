"""Quarantined prompt parts, kept as objects in the platform's store."""

import hashlib
import json
from typing import Any

from skylarktack.coordination import forwarding
from skylarktack.platform import _fields
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

#: Kind of the objects. Each is named after a hash of its part.
KIND = 'skylarktack-prompt-parts'

_PATH = f'/objects/{KIND}'

_NOT_FOUND_STATUS = 404
_CONFLICT_STATUS = 409
_SUCCESS_STATUSES = frozenset((200, 201, 204))


class StoreQuarantines:
    """Reads and writes the quarantined parts."""

    def __init__(self, client: forwarding.StoreClient) -> None:
        self._client = client
        self._objects = _store.ObjectReader(client, KIND)

    def load(
        self, may_be_stale: bool
    ) -> tuple[data.StoredQuarantine, ...] | None:
        """Return all stored quarantines; None on a store failure.

        :param may_be_stale: accept quarantines that may be seconds old, which
            costs a tenth of a call.
        """
        listing = self._objects.list_objects(may_be_stale)
        if isinstance(listing, forwarding.StoreFault):
            return None
        quarantines = []
        for item in listing.items:
            quarantine = _decode(item)
            if quarantine is not None:
                quarantines.append(quarantine)
        return tuple(quarantines)

    def save(self, quarantine: data.StoredQuarantine) -> bool:
        """Create or replace the object of a part."""
        name = _name_of(quarantine.part_id)
        body = json.dumps(
            {
                'metadata': {'name': name, 'finalizers': []},
                'specification': {
                    'part': quarantine.part_id,
                    'began_at_ms': quarantine.began_at_ms,
                    'until_ms': quarantine.until_ms,
                    'probe_count': quarantine.probe_count,
                },
            }
        ).encode()
        status = self._call('POST', _PATH, body)
        if status == _CONFLICT_STATUS:
            status = self._call('PUT', f'{_PATH}/{name}', body)
        return status in _SUCCESS_STATUSES

    def remove(self, part_id: str) -> bool:
        """Remove the object of a part; True also if there is none."""
        status = self._call('DELETE', f'{_PATH}/{_name_of(part_id)}', None)
        return status == _NOT_FOUND_STATUS or status in _SUCCESS_STATUSES

    def _call(self, method: str, path: str, body: bytes | None) -> int:
        """Return the status of a response, or 0 without one."""
        response = self._client.call(method, path, body, _store.CALL_TIMEOUT_S)
        if isinstance(response, forwarding.ExchangeFault):
            return 0
        return response.status


def _name_of(part_id: str) -> str:
    """Return a name without special characters."""
    digest = hashlib.blake2b(
        part_id.encode(errors='surrogatepass'), digest_size=16
    )
    return digest.hexdigest()


def _decode(item: dict[str, Any]) -> data.StoredQuarantine | None:
    """Return a quarantine, or None if another writer left the entry."""
    name = _store.name_of(item)
    reader = _fields.FieldReader.from_document(
        f'{KIND}/{name}', item.get('specification'), []
    )
    quarantine = data.StoredQuarantine(
        reader.text('part'),
        reader.integer('began_at_ms'),
        reader.integer('until_ms'),
        reader.integer('probe_count'),
    )
    if reader.findings or not _fields.is_clean_text(quarantine.part_id):
        return None
    if _name_of(quarantine.part_id) != name:
        return None
    return quarantine
