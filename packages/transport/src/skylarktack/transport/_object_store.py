"""The platform's object API over HTTP."""

from collections.abc import Callable
import re
import threading
from typing import TypeVar
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.transport import _http_client

T = TypeVar('T')

_VERSION = re.compile('[0-9]{1,18}')

_LOG = structlog.get_logger(part='store')


class HttpObjectStore:
    """Calls to the object API; each opens its own connection."""

    def __init__(self, settings: state.StoreSettings) -> None:
        self._address = settings.address
        self._timeout_s = settings.timeout_ms / 1000
        self._open = _http_client.OpenConnections()
        self._era_lock = threading.Lock()
        self._era: int | None = None
        self._era_listeners: list[threading.Event] = []

    @property
    def era(self) -> int:
        """Newest era reported by a response; 0 before the first."""
        return self._era or 0

    def add_era_listener(self, event: threading.Event) -> None:
        """Set the event each time a restore of the store is noticed."""
        with self._era_lock:
            self._era_listeners.append(event)

    def close(self) -> None:
        """End waiting watches; later calls fail."""
        self._open.close_all()

    def get(self, key: str) -> Result[state.StoredObject, state.StoreFault]:
        """Read one object."""
        answered = self._call('GET', _object_path(key))
        return answered.map(lambda answer: _stored(key, answer))

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[state.StoredObject, state.StoreFault]:
        """Write one object if its version is the expected one."""
        headers = {'If-None-Match': '*'}
        if expected_version is not None:
            headers = {'If-Match': f'"{expected_version}"'}
        answered = self._call(
            'PUT', _object_path(key), value, headers, changes=True
        )
        return answered.map(
            lambda answer: state.StoredObject(key, value, _version(answer))
        )

    def delete(
        self, key: str, expected_version: int
    ) -> Result[None, state.StoreFault]:
        """Remove one object if its version is the expected one."""
        headers = {'If-Match': f'"{expected_version}"'}
        answered = self._call(
            'DELETE', _object_path(key), None, headers, changes=True
        )
        return answered.map(lambda answer: None)

    def list(
        self, prefix: str
    ) -> Result[tuple[state.StoredObject, ...], state.StoreFault]:
        """Read all objects whose key starts with the prefix."""
        query = urllib.parse.urlencode({'prefix': prefix})
        answered = self._call('GET', f'/objects?{query}')
        return answered.bind(
            lambda answer: _decoded(answer, protocol.decode_objects)
        )

    def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Result[state.WatchBatch, state.StoreFault]:
        """Wait for changes after a version; empty when the wait ends."""
        query = urllib.parse.urlencode(
            {
                'prefix': prefix,
                'after': after_version,
                'wait_ms': int(wait_s * 1000),
            }
        )
        answered = self._call('GET', f'/watch?{query}', extra_wait_s=wait_s)
        return answered.bind(
            lambda answer: _decoded(answer, protocol.decode_watch_batch)
        )

    def platform_list(self) -> Result[state.PlatformList, state.StoreFault]:
        """Read the lagging list of live and leaving instances."""
        answered = self._call('GET', '/instances')
        return answered.bind(
            lambda answer: _decoded(answer, protocol.decode_platform_list)
        )

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        changes: bool = False,
        extra_wait_s: float = 0.0,
    ) -> Result[_http_client.HttpAnswer, state.StoreFault]:
        answered = _http_client.http_call(
            self._address,
            method,
            path,
            body,
            headers or {},
            self._timeout_s + extra_wait_s,
            self._open,
        )
        if answered.is_error():
            fault = answered.error
            kind = state.StoreFaultKind.UNAVAILABLE
            if changes and fault.sent:
                kind = state.StoreFaultKind.ANSWER_LOST
            return Error(state.StoreFault(kind, fault.message))
        answer = answered.ok
        era = protocol.decode_object_api_era(
            answer.header(protocol.OBJECT_API_ERA_HEADER)
        )
        if era is not None and not self._record_era(era):
            kind = state.StoreFaultKind.UNAVAILABLE
            if changes:
                kind = state.StoreFaultKind.ANSWER_LOST
            return Error(
                state.StoreFault(
                    kind, 'The response is from before a restore of the store.'
                )
            )
        if answer.status == 200:
            return Ok(answer)
        return Error(_status_fault(answer.status, changes))

    def _record_era(self, era: int) -> bool:
        """Record the era of a response; return whether it is the newest."""
        with self._era_lock:
            previous = self._era
            if previous is not None and era <= previous:
                return era == previous
            self._era = era
            listeners = tuple(self._era_listeners)
        if previous is None:
            return True
        _LOG.warning(
            'the store was restored from a copy',
            previous_era=previous,
            era=era,
        )
        for event in listeners:
            event.set()
        return True


def _status_fault(status: int, changes: bool) -> state.StoreFault:
    kinds = {
        404: state.StoreFaultKind.MISSING,
        409: state.StoreFaultKind.CONFLICT,
        412: state.StoreFaultKind.CONFLICT,
        429: state.StoreFaultKind.RATE_LIMITED,
        503: state.StoreFaultKind.UNAVAILABLE,
    }
    kind = kinds.get(status)
    if kind is None:
        # Any other error may have been raised after the write took effect.
        kind = state.StoreFaultKind.UNAVAILABLE
        if changes:
            kind = state.StoreFaultKind.ANSWER_LOST
    return state.StoreFault(kind, f'The store answered with {status}.')


def _object_path(key: str) -> str:
    return f'/objects/{urllib.parse.quote(key)}'


def _decoded(
    answer: _http_client.HttpAnswer, decode: Callable[[bytes], T]
) -> Result[T, state.StoreFault]:
    """Return what a response holds; a malformed one counts as no response."""
    try:
        return Ok(decode(answer.body))
    except ValueError as error:
        return Error(
            state.StoreFault(state.StoreFaultKind.UNAVAILABLE, str(error))
        )


def _version(answer: _http_client.HttpAnswer) -> int:
    text = (answer.header('ETag') or '"0"').strip('"')
    return int(text) if _VERSION.fullmatch(text) else 0


def _stored(key: str, answer: _http_client.HttpAnswer) -> state.StoredObject:
    return state.StoredObject(key, answer.body, _version(answer))
