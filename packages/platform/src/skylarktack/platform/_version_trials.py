"""Versions whose move has begun, kept as objects in the platform's store."""

import hashlib
import json
from typing import Any

from skylarktack.coordination import forwarding
from skylarktack.platform import _fields
from skylarktack.platform import _object_writer
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

#: Kind of the objects. Each is named after a hash of service and version.
KIND = 'skylarktack-version-trials'


class StoreVersionTrials:
    """Reads and writes the records of versions."""

    def __init__(self, client: forwarding.StoreClient) -> None:
        self._reader = _store.ObjectReader(client, KIND)
        self._writer = _object_writer.ObjectWriter(client, KIND)

    def load(self, may_be_stale: bool) -> tuple[data.VersionTrial, ...] | None:
        """Return all records; None on a store failure.

        :param may_be_stale: accept records that may be seconds old, which
            costs a tenth of a call.
        """
        return self._reader.load(_decode, may_be_stale)

    def save(self, trial: data.VersionTrial) -> bool:
        """Create the object of a version; True also if there is one."""
        return self._writer.create(
            _name_of(trial.service, trial.version),
            {
                'service': trial.service,
                'version': trial.version,
                'began_at_ms': trial.began_at_ms,
            },
        )

    def remove(self, service: str, version: str) -> bool:
        """Remove the object of a version; True also if there is none."""
        return self._writer.remove(_name_of(service, version))


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
