"""Calls to the platform's store for the kinds that the front end reads."""

import json
from typing import Any
from urllib import parse

from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.platform import _configuration
from skylarktack.platform import _entries
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

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

    def __init__(self, calls: forwarding.StoreCalls, kind: str) -> None:
        self._calls = calls
        self._path = f'/objects/{kind}'

    def list_objects(
        self,
    ) -> forwarding.Listing[dict[str, Any]] | forwarding.StoreFault:
        """Return all objects of the kind."""
        objects: list[dict[str, Any]] = []
        query = ''
        for _ in range(PAGE_LIMIT_COUNT):
            answer = self._get(query, CALL_TIMEOUT_S)
            if isinstance(answer, forwarding.StoreFault):
                return answer
            for item in answer.get('items') or ():
                if isinstance(item, dict):
                    objects.append(item)
            if not answer.get('has_more'):
                revision = answer.get('at')
                if not isinstance(revision, int):
                    return _unreadable('a list names no revision')
                return forwarding.Listing(tuple(objects), revision)
            # ``start_revision`` takes the name of the last object, not a
            # revision.
            last = parse.quote(name_of(objects[-1]), safe='')
            query = f'?start_revision={last}'
        return _unreadable('the list has too many pages')

    def watch_objects(
        self, revision: int, wait_s: float
    ) -> (
        forwarding.Changes[tuple[dict[str, Any], bool]] | forwarding.StoreFault
    ):
        """Return changed objects and whether each was removed."""
        query = (
            f'?watch_stream={revision}&wait_timeout_ms={int(wait_s * 1000)}'
        )
        answer = self._get(query, wait_s + WATCH_MARGIN_S)
        if isinstance(answer, forwarding.StoreFault):
            return answer
        changed = []
        for event in answer.get('events') or ():
            if not isinstance(event, dict):
                continue
            if isinstance(event.get('object'), dict):
                changed.append((event['object'], bool(event.get('deleted'))))
        new_revision = answer.get('at')
        if not isinstance(new_revision, int):
            return _unreadable('a watch names no revision')
        return forwarding.Changes(tuple(changed), new_revision)

    def _get(
        self, query: str, timeout_s: float
    ) -> dict[str, Any] | forwarding.StoreFault:
        answer = self._calls.call('GET', self._path + query, None, timeout_s)
        if isinstance(answer, forwarding.ExchangeFault):
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.UNAVAILABLE, answer.detail
            )
        if answer.status == _HISTORY_GONE_STATUS:
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.HISTORY_GONE, 'the history is gone'
            )
        if answer.status != _OK_STATUS:
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.UNAVAILABLE,
                f'the store answered {answer.status}',
            )
        try:
            decoded = json.loads(answer.body)
        except ValueError as error:
            return _unreadable(str(error))
        if not isinstance(decoded, dict):
            return _unreadable('the answer is not a table')
        return decoded


class ConfigurationReader:
    """Reads the newest configuration."""

    def __init__(
        self, calls: forwarding.StoreCalls, log: forwarding.BeliefLog
    ) -> None:
        self._objects = ObjectReader(calls, 'config')
        self._log = log

    def list_all(
        self,
    ) -> (
        forwarding.Listing[data.ForwardingConfiguration]
        | forwarding.StoreFault
    ):
        """Return the configuration, if there is one."""
        answer = self._objects.list_objects()
        if isinstance(answer, forwarding.StoreFault):
            return answer
        return forwarding.Listing(self._decode(answer.items), answer.revision)

    def watch(
        self, revision: int, wait_s: float
    ) -> (
        forwarding.Changes[data.ForwardingConfiguration]
        | forwarding.StoreFault
    ):
        """Return configurations accepted after a revision."""
        answer = self._objects.watch_objects(revision, wait_s)
        if isinstance(answer, forwarding.StoreFault):
            return answer
        kept = tuple(item for item, is_gone in answer.items if not is_gone)
        return forwarding.Changes(self._decode(kept), answer.revision)

    def _decode(
        self, objects: tuple[dict[str, Any], ...]
    ) -> tuple[data.ForwardingConfiguration, ...]:
        configurations = []
        for item in objects:
            place = f'config/{name_of(item)}'
            try:
                configurations.append(
                    _configuration.decode_configuration(
                        place, item.get('specification')
                    )
                )
            except _fields.MalformedError as error:
                _record_findings(self._log, error.findings)
        return tuple(configurations)


class TargetReader:
    """Reads the entries of targets."""

    def __init__(
        self, calls: forwarding.StoreCalls, log: forwarding.BeliefLog
    ) -> None:
        self._objects = ObjectReader(calls, 'servers')
        self._log = log

    def list_all(
        self,
    ) -> forwarding.Listing[data.TargetChange] | forwarding.StoreFault:
        """Return all entries."""
        answer = self._objects.list_objects()
        if isinstance(answer, forwarding.StoreFault):
            return answer
        changes = tuple(self._decode(item, False) for item in answer.items)
        return forwarding.Listing(changes, answer.revision)

    def watch(
        self, revision: int, wait_s: float
    ) -> forwarding.Changes[data.TargetChange] | forwarding.StoreFault:
        """Return entries that changed after a revision."""
        answer = self._objects.watch_objects(revision, wait_s)
        if isinstance(answer, forwarding.StoreFault):
            return answer
        changes = tuple(
            self._decode(item, is_gone) for item, is_gone in answer.items
        )
        return forwarding.Changes(changes, answer.revision)

    def _decode(
        self, item: dict[str, Any], is_gone: bool
    ) -> data.TargetChange:
        name = name_of(item)
        if is_gone:
            return data.TargetChange(name, None)
        try:
            target = _entries.decode_target(name, item.get('specification'))
        except _fields.MalformedError as error:
            _record_findings(self._log, error.findings)
            return data.TargetChange(name, None)
        return data.TargetChange(name, target)


def name_of(item: dict[str, Any]) -> str:
    """Return the name of an object, or an empty text."""
    metadata = item.get('metadata')
    if isinstance(metadata, dict) and isinstance(metadata.get('name'), str):
        return str(metadata['name'])
    return ''


def _record_findings(
    log: forwarding.BeliefLog, findings: tuple[state.Finding, ...]
) -> None:
    log.record(
        'store',
        'an entry is malformed and names nothing',
        findings='; '.join(
            f'{finding.place}: {finding.message}' for finding in findings
        ),
    )


def _unreadable(detail: str) -> forwarding.StoreFault:
    return forwarding.StoreFault(forwarding.StoreFaultKind.UNAVAILABLE, detail)
