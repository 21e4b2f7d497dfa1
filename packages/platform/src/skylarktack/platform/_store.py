"""Calls to the platform's store for the kinds that the front end reads."""

import json
from typing import Any
from typing import Generic
from typing import TypeVar
from urllib import parse

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.platform import _configuration
from skylarktack.platform import _entries
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

T = TypeVar('T')

#: Longest time for the answer of a call that waits for nothing.
CALL_TIMEOUT_S = 1.5

#: Time beyond its wait after which a watch is given up.
WATCH_MARGIN_S = 0.8

#: Most pages of one list.
PAGE_LIMIT_COUNT = 64

_HISTORY_GONE_STATUS = 410
_OK_STATUS = 200


class ObjectReader:
    """Lists and watches the objects of one kind."""

    def __init__(self, calls: forwarding.StoreClient, kind: str) -> None:
        self._calls = calls
        self._path = f'/objects/{kind}'

    def list_objects(
        self, may_be_stale: bool = False
    ) -> forwarding.Listing[dict[str, Any]] | forwarding.StoreFault:
        """Return all objects of the kind.

        :param may_be_stale: take a list that may be seconds old, at a tenth
            of the price.
        """
        first_query = '?stale_read=1' if may_be_stale else ''
        objects: list[dict[str, Any]] = []
        query = first_query
        # The watch that follows has to begin before the oldest page.
        oldest_revision: int | None = None
        for _ in range(PAGE_LIMIT_COUNT):
            answer = self._get(query, CALL_TIMEOUT_S)
            if isinstance(answer, forwarding.StoreFault):
                return answer
            for item in answer.get('items') or ():
                if isinstance(item, dict):
                    objects.append(item)
            revision = answer.get('at')
            if isinstance(revision, int):
                oldest_revision = min(revision, oldest_revision or revision)
            if not answer.get('has_more'):
                if oldest_revision is None:
                    return unavailable('a list names no revision')
                return forwarding.Listing(tuple(objects), oldest_revision)
            # ``start_revision`` takes the name of the last object, not a
            # revision.
            last = parse.quote(name_of(objects[-1]), safe='')
            separator = '&' if first_query else '?'
            query = f'{first_query}{separator}start_revision={last}'
        return unavailable('the list has too many pages')

    def watch_events(
        self, revision: int, wait_s: float
    ) -> bytes | forwarding.StoreFault:
        """Return the store's answer to a watch, undecoded."""
        query = (
            f'?watch_stream={revision}&wait_timeout_ms={int(wait_s * 1000)}'
        )
        return self._call(query, wait_s + WATCH_MARGIN_S)

    def _get(
        self, query: str, timeout_s: float
    ) -> dict[str, Any] | forwarding.StoreFault:
        answer = self._call(query, timeout_s)
        if isinstance(answer, forwarding.StoreFault):
            return answer
        return decode_table(answer)

    def _call(
        self, query: str, timeout_s: float
    ) -> bytes | forwarding.StoreFault:
        answer = self._calls.call('GET', self._path + query, None, timeout_s)
        if isinstance(answer, forwarding.ExchangeFault):
            return unavailable(answer.detail)
        if answer.status == _HISTORY_GONE_STATUS:
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.HISTORY_GONE, 'the history is gone'
            )
        if answer.status != _OK_STATUS:
            return unavailable(f'the store answered {answer.status}')
        return answer.body


class KindReader(Generic[T]):
    """Reads one kind of objects as values of one type."""

    #: Kind of the objects.
    kind = ''

    def __init__(
        self, calls: forwarding.StoreClient, log: forwarding.EventLog
    ) -> None:
        self._objects = ObjectReader(calls, self.kind)
        self._log = log

    def list_all(
        self, may_be_stale: bool = False
    ) -> forwarding.Listing[T] | forwarding.StoreFault:
        """Return all objects."""
        answer = self._objects.list_objects(may_be_stale)
        if isinstance(answer, forwarding.StoreFault):
            return answer
        items = []
        for item in answer.items:
            decoded = self.decode(item, False)
            if decoded is not None:
                items.append(decoded)
        return forwarding.Listing(tuple(items), answer.revision)

    def watch(
        self, revision: int, wait_s: float
    ) -> forwarding.Changes[T] | forwarding.StoreFault:
        """Return the changes after a revision as soon as there are any."""
        answer = self._objects.watch_events(revision, wait_s)
        if isinstance(answer, forwarding.StoreFault):
            return answer
        return self.decode_changes(answer)

    def decode_changes(
        self, content: bytes
    ) -> forwarding.Changes[T] | forwarding.StoreFault:
        """Return the changes in the store's answer to a watch."""
        answer = decode_table(content)
        if isinstance(answer, forwarding.StoreFault):
            return answer
        items = []
        for event in answer.get('events') or ():
            if not isinstance(event, dict):
                continue
            if not isinstance(event.get('object'), dict):
                continue
            decoded = self.decode(event['object'], bool(event.get('deleted')))
            if decoded is not None:
                items.append(decoded)
        revision = answer.get('at')
        if not isinstance(revision, int):
            return unavailable('a watch names no revision')
        return forwarding.Changes(tuple(items), revision, content)

    def decode(self, item: dict[str, Any], is_gone: bool) -> T | None:
        """Return the value of an object, or None if it says nothing."""
        raise AssertionError('each kind decodes its own objects')


class ConfigurationReader(KindReader[data.ForwardingConfiguration]):
    """Reads the newest configuration."""

    kind = 'config'

    def decode(
        self, item: dict[str, Any], is_gone: bool
    ) -> data.ForwardingConfiguration | None:
        """Return the configuration of a manifest."""
        if is_gone:
            return None
        place = f'config/{name_of(item)}'
        try:
            return _configuration.decode_configuration(
                place, item.get('specification')
            )
        except _fields.MalformedError as error:
            record_findings(self._log, error.findings)
            return None


class TargetReader(KindReader[data.TargetChange]):
    """Reads the entries of targets."""

    kind = 'servers'

    def decode(
        self, item: dict[str, Any], is_gone: bool
    ) -> data.TargetChange | None:
        """Return the target of an entry; a malformed one names none."""
        name = name_of(item)
        if is_gone:
            return data.TargetChange(name, None)
        try:
            target = _entries.decode_target(name, item.get('specification'))
        except _fields.MalformedError as error:
            record_findings(self._log, error.findings)
            return data.TargetChange(name, None)
        return data.TargetChange(name, target)


def name_of(item: dict[str, Any]) -> str:
    """Return the name of an object, or an empty text."""
    metadata = item.get('metadata')
    if isinstance(metadata, dict) and isinstance(metadata.get('name'), str):
        return str(metadata['name'])
    return ''


def record_findings(
    log: forwarding.EventLog, findings: tuple[state.Finding, ...]
) -> None:
    """Write what is wrong with an object to the log."""
    log.record(
        forwarding.StoreEntryMalformed(
            '; '.join(
                f'{finding.place}: {finding.message}' for finding in findings
            )
        )
    )


def decode_table(content: bytes) -> dict[str, Any] | forwarding.StoreFault:
    """Return the table that an answer holds."""
    try:
        decoded = json.loads(content)
    except ValueError as error:
        return unavailable(str(error))
    if not isinstance(decoded, dict):
        return unavailable('the answer is not a table')
    return decoded


def unavailable(detail: str) -> forwarding.StoreFault:
    """Return the fault of a call that was not answered as it should be."""
    return forwarding.StoreFault(forwarding.StoreFaultKind.UNAVAILABLE, detail)
