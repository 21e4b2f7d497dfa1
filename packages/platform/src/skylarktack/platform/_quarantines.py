"""Quarantined prompt parts, kept as objects in the platform's store."""

import hashlib
from typing import Any

from skylarktack.coordination import forwarding
from skylarktack.platform import _fields
from skylarktack.platform import _object_writer
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

#: Kind of the objects. Each is named after a hash of its part.
KIND = 'skylarktack-prompt-parts'


class StoreQuarantines:
    """Reads and writes the quarantined parts."""

    def __init__(self, client: forwarding.StoreClient) -> None:
        self._reader = _store.ObjectReader(client, KIND)
        self._writer = _object_writer.ObjectWriter(client, KIND)

    def load(
        self, may_be_stale: bool
    ) -> tuple[data.StoredQuarantine, ...] | None:
        """Return all stored quarantines; None on a store failure.

        :param may_be_stale: accept quarantines that may be seconds old, which
            costs a tenth of a call.
        """
        return self._reader.load(_decode, may_be_stale)

    def save(self, quarantine: data.StoredQuarantine) -> bool:
        """Create or replace the object of a part."""
        return self._writer.save(
            _name_of(quarantine.part_id),
            {
                'part': quarantine.part_id,
                'began_at_ms': quarantine.began_at_ms,
                'until_ms': quarantine.until_ms,
                'probe_count': quarantine.probe_count,
            },
        )

    def remove(self, part_id: str) -> bool:
        """Remove the object of a part; True also if there is none."""
        return self._writer.remove(_name_of(part_id))


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
