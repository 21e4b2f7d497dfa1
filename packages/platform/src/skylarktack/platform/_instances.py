"""The system's own kind of objects that lists its instances."""

import json
from typing import Any
from urllib import parse

from skylarktack.coordination import forwarding
from skylarktack.platform import _entries
from skylarktack.platform import _fields
from skylarktack.platform import _store
from skylarktack.state import forwarding as data

#: Kind of the objects; one for each name of an instance.
KIND = 'skylarktack-instances'

_EXISTS_STATUS = 409
_DONE_STATUSES = frozenset((200, 201))


class StorePeerRegistry:
    """Lists the instances of the fleet in the platform's store."""

    def __init__(
        self, calls: forwarding.StoreClient, log: forwarding.EventLog
    ) -> None:
        self._calls = calls
        self._objects = _store.ObjectReader(calls, KIND)
        self._log = log
        self._has_entered = False

    def register(
        self, peer: data.ListedPeer
    ) -> tuple[data.ListedPeer, ...] | None:
        """Enter this instance; return all, or None if the store is away.

        An instance that starts again under its name mostly finds its entry
        in a list that may be stale, which costs a tenth of a call. Otherwise
        the list is read after the entry was made, so that of two instances
        that start together one sees the other.
        """
        peers = self._list(may_be_stale=True)
        if peers is None or self._has_entered:
            return peers
        if peer not in peers:
            if not self._enter(peer):
                return None
            peers = self._list(may_be_stale=False)
        self._has_entered = peers is not None
        return peers

    def _list(self, may_be_stale: bool) -> tuple[data.ListedPeer, ...] | None:
        listing = self._objects.list_objects(may_be_stale)
        if isinstance(listing, forwarding.StoreFault):
            return None
        peers = []
        for item in listing.items:
            listed = _decode(item)
            if listed is not None:
                peers.append(listed)
        return tuple(peers)

    def _enter(self, peer: data.ListedPeer) -> bool:
        body = json.dumps(
            {
                'metadata': {'name': peer.instance, 'finalizers': []},
                'specification': {'address': str(peer.endpoint)},
            }
        ).encode()
        path = f'/objects/{KIND}'
        answer = self._calls.call('POST', path, body, _store.CALL_TIMEOUT_S)
        if isinstance(answer, forwarding.ExchangeFault):
            return False
        if answer.status == _EXISTS_STATUS:
            name = parse.quote(peer.instance, safe='')
            answer = self._calls.call(
                'PUT', f'{path}/{name}', body, _store.CALL_TIMEOUT_S
            )
            if isinstance(answer, forwarding.ExchangeFault):
                return False
        if answer.status in _DONE_STATUSES:
            return True
        self._log.record(forwarding.InstanceNotRegistered(answer.status))
        return False


def _decode(item: dict[str, Any]) -> data.ListedPeer | None:
    name = _store.name_of(item)
    reader = _fields.FieldReader.of(
        f'{KIND}/{name}', item.get('specification'), []
    )
    endpoint = _entries.decode_address(reader, 'address')
    if reader.findings or not name:
        return None
    return data.ListedPeer(name, endpoint)
