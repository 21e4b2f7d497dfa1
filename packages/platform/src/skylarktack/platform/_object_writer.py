"""Writing to the platform's store: objects that the instances own."""

import json
from typing import Any
from urllib import parse

from skylarktack.coordination import forwarding
from skylarktack.platform import _store

_NOT_FOUND_STATUS = 404
_CONFLICT_STATUS = 409
_SUCCESS_STATUSES = frozenset((200, 201, 204))


class ObjectWriter:
    """Creates, replaces and removes the objects of one kind."""

    def __init__(self, client: forwarding.StoreClient, kind: str) -> None:
        self._client = client
        self._path = f'/objects/{kind}'

    def create(self, name: str, specification: dict[str, Any]) -> bool:
        """Create an object; True also if there is one, which stays."""
        body = _encode(name, specification)
        status = self._call('POST', self._path, body)
        return status == _CONFLICT_STATUS or status in _SUCCESS_STATUSES

    def save(self, name: str, specification: dict[str, Any]) -> bool:
        """Create or replace an object."""
        body = _encode(name, specification)
        status = self._call('POST', self._path, body)
        if status == _CONFLICT_STATUS:
            status = self._call('PUT', self._path_of(name), body)
        return status in _SUCCESS_STATUSES

    def remove(self, name: str) -> bool:
        """Remove an object; True also if there is none."""
        status = self._call('DELETE', self._path_of(name), None)
        return status == _NOT_FOUND_STATUS or status in _SUCCESS_STATUSES

    def _path_of(self, name: str) -> str:
        return f'{self._path}/{parse.quote(name, safe="")}'

    def _call(self, method: str, path: str, body: bytes | None) -> int:
        """Return the status of a response, or 0 without one."""
        response = self._client.call(method, path, body, _store.CALL_TIMEOUT_S)
        if isinstance(response, forwarding.ExchangeFault):
            return 0
        return response.status


def _encode(name: str, specification: dict[str, Any]) -> bytes:
    return json.dumps(
        {
            'metadata': {'name': name, 'finalizers': []},
            'specification': specification,
        }
    ).encode()
