"""Registry of the instances, kept as objects in the platform's store."""

import json
from typing import Any
from urllib import parse

from skylarktack.coordination import forwarding
from skylarktack.platform import _entries
from skylarktack.platform import _fields
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

#: Kind of the registry's objects. Each is named after its instance.
KIND = 'skylarktack-instances'

_CONFLICT_STATUS = 409
_SUCCESS_STATUSES = frozenset((200, 201))


class StorePeerRegistry:
    """Registers this instance in the store and lists its peers."""

    def __init__(
        self, client: forwarding.StoreClient, log: forwarding.EventLog
    ) -> None:
        self._client = client
        self._reader = _store.ObjectReader(client, KIND)
        self._log = log

    def register(
        self, peer: data.ListedPeer, may_be_stale: bool
    ) -> tuple[data.ListedPeer, ...] | None:
        """Register this instance; return all, or None on a store failure.

        An instance that restarts under its name mostly finds its entry in the
        list. Otherwise the list is read again after the entry was written, so
        that of two instances that start together at least one sees the other.

        :param may_be_stale: accept a first list that may be seconds old, which
            costs a tenth of a call.
        """
        peers = self._reader.load(_decode, may_be_stale)
        if peers is None or peer in peers:
            return peers
        if not self._write_entry(peer):
            return None
        return self._reader.load(_decode, may_be_stale=False)

    def _write_entry(self, peer: data.ListedPeer) -> bool:
        body = json.dumps(
            {
                'metadata': {'name': peer.instance, 'finalizers': []},
                'specification': {'address': str(peer.endpoint)},
            }
        ).encode()
        path = f'/objects/{KIND}'
        response = self._client.call('POST', path, body, _store.CALL_TIMEOUT_S)
        if isinstance(response, forwarding.ExchangeFault):
            return False
        if response.status == _CONFLICT_STATUS:
            name = parse.quote(peer.instance, safe='')
            response = self._client.call(
                'PUT', f'{path}/{name}', body, _store.CALL_TIMEOUT_S
            )
            if isinstance(response, forwarding.ExchangeFault):
                return False
        if response.status in _SUCCESS_STATUSES:
            return True
        self._log.record(forwarding.InstanceNotRegistered(response.status))
        return False


def _decode(item: dict[str, Any]) -> data.ListedPeer | None:
    name = _store.name_of(item)
    reader = _fields.FieldReader.from_document(
        f'{KIND}/{name}', item.get('specification'), []
    )
    endpoint = _entries.decode_address(reader, 'address')
    if reader.findings or not _fields.is_clean_text(name):
        return None
    return data.ListedPeer(name, endpoint)
