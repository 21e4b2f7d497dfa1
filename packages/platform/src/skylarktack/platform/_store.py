"""Reading of the platform's store: list and watch calls by kind of object.

A reader lists all objects of its kind, then watches for changes from the
revision of the list.
"""

from collections.abc import Callable
from typing import Any
from typing import Generic
from typing import TypeVar
from urllib import parse

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import forwarding
from skylarktack.platform import _configuration
from skylarktack.platform import _entries
from skylarktack.platform import _fields
from skylarktack.state import forwarding as data

T = TypeVar('T')

#: Timeout of calls other than a watch.
CALL_TIMEOUT_S = 1.5

#: Time after the end of its wait at which a watch is abandoned.
WATCH_MARGIN_S = 0.8

#: Timeout of a check, which is answered at once by a store that is available.
CHECK_TIMEOUT_S = 0.5

#: Maximum number of pages of one list.
MAX_PAGES_COUNT = 64

#: Maximum number of distinct findings that a log of findings remembers.
MAX_REMEMBERED_COUNT = 256

#: Name in the path of a check. No object has it, so the response is short.
_CHECKED_NAME = 'skylarktack-check'

_COMPACTED_STATUS = 410
_MISSING_STATUS = 404
_OK_STATUS = 200


class ObjectReader:
    """Lists and watches the objects of one kind."""

    def __init__(self, client: forwarding.StoreClient, kind: str) -> None:
        self._client = client
        self._path = f'/objects/{kind}'

    def list_objects(
        self, may_be_stale: bool = False
    ) -> forwarding.Listing[dict[str, Any]] | forwarding.StoreFault:
        """Return all objects of the kind.

        :param may_be_stale: accept a list that may be seconds old; it costs
            a tenth of an up-to-date one.
        """
        first_query = '?stale_read=1' if may_be_stale else ''
        objects: list[dict[str, Any]] = []
        query = first_query
        # The watch has to start at the revision of the oldest page;
        # otherwise it would miss changes between two pages.
        oldest_revision: int | None = None
        era: int | None = None
        for _ in range(MAX_PAGES_COUNT):
            called = self._call(query, CALL_TIMEOUT_S)
            if isinstance(called, forwarding.StoreFault):
                return called
            response = decode_object(called.body)
            if isinstance(response, forwarding.StoreFault):
                return response
            if era is not None and called.era != era:
                return unavailable_fault('store was restored during a list')
            era = called.era
            page = _objects_in(response, 'items')
            objects.extend(page)
            revision = _revision_of(response)
            if revision is not None:
                oldest_revision = min(revision, oldest_revision or revision)
            if not response.get('has_more'):
                if oldest_revision is None:
                    return unavailable_fault('list response has no revision')
                return forwarding.Listing(tuple(objects), oldest_revision, era)
            if not page:
                return unavailable_fault('a page of the list is empty')
            # ``start_revision`` takes the name of the last object, not a
            # revision.
            last = parse.quote(
                name_of(page[-1]), safe='', errors='surrogatepass'
            )
            separator = '&' if first_query else '?'
            query = f'{first_query}{separator}start_revision={last}'
        return unavailable_fault(f'list has more than {MAX_PAGES_COUNT} pages')

    def load(
        self, decode: Callable[[dict[str, Any]], T | None], may_be_stale: bool
    ) -> tuple[T, ...] | None:
        """Return the values of all objects; None on a store failure.

        :param decode: returns the value of an object, or None to leave it out.
        :param may_be_stale: see ``list_objects``.
        """
        listing = self.list_objects(may_be_stale)
        if isinstance(listing, forwarding.StoreFault):
            return None
        values = []
        for item in listing.items:
            value = decode(item)
            if value is not None:
                values.append(value)
        return tuple(values)

    def watch_events(
        self, revision: int, wait_s: float
    ) -> forwarding.StoreResponse | forwarding.StoreFault:
        """Wait for changes after a revision; return the response undecoded.

        :param wait_s: time after which the store responds without changes.
        """
        query = (
            f'?watch_stream={revision}&wait_timeout_ms={int(wait_s * 1000)}'
        )
        return self._call(query, wait_s + WATCH_MARGIN_S)

    def check(self) -> forwarding.StoreFault | None:
        """Read one object that does not exist; return how the call failed."""
        called = self._call(
            f'/{_CHECKED_NAME}', CHECK_TIMEOUT_S, _MISSING_STATUS
        )
        return called if isinstance(called, forwarding.StoreFault) else None

    def _call(
        self, suffix: str, timeout_s: float, expected_status: int = _OK_STATUS
    ) -> forwarding.StoreResponse | forwarding.StoreFault:
        """Send one call.

        :param suffix: rest of the path after the kind, or the query.
        :param expected_status: status of a good response.
        """
        response = self._client.call(
            'GET', self._path + suffix, None, timeout_s
        )
        if isinstance(response, forwarding.ExchangeFault):
            if response.kind is forwarding.FaultKind.MALFORMED:
                return _unreadable_fault(response.detail)
            if response.kind is forwarding.FaultKind.NO_RESPONSE:
                return forwarding.StoreFault(
                    forwarding.StoreFaultKind.TIMED_OUT, response.detail
                )
            return unavailable_fault(response.detail)
        if response.status == _COMPACTED_STATUS:
            return forwarding.StoreFault(
                forwarding.StoreFaultKind.REVISION_COMPACTED,
                'the revision is compacted',
            )
        if response.status != expected_status:
            return unavailable_fault(
                f'store responded with status {response.status}'
            )
        return response


class KindReader(Generic[T]):
    """Lists and watches objects of one kind, decoded to values of one type.

    Objects without a value are left out.
    """

    #: Kind of the objects, set by each subclass.
    kind = ''

    def __init__(
        self, client: forwarding.StoreClient, log: forwarding.EventLog
    ) -> None:
        self._objects = ObjectReader(client, self.kind)
        self._findings = FindingLog(log)

    def list_all(
        self, may_be_stale: bool = False
    ) -> forwarding.Listing[T] | forwarding.StoreFault:
        """Return the values of all objects; see ``ObjectReader``."""
        response = self._objects.list_objects(may_be_stale)
        if isinstance(response, forwarding.StoreFault):
            return response
        items = []
        for item in response.items:
            decoded = self.decode(item, False, response.era)
            if decoded is not None:
                items.append(decoded)
        return forwarding.Listing(
            tuple(items), response.revision, response.era
        )

    def watch(
        self, revision: int, wait_s: float
    ) -> forwarding.Changes[T] | forwarding.StoreFault:
        """Return the changes after a revision as soon as there are any."""
        response = self._objects.watch_events(revision, wait_s)
        if isinstance(response, forwarding.StoreFault):
            return response
        return self.decode_changes(response.body, response.era)

    def check(self) -> forwarding.StoreFault | None:
        """Make a short call that does not wait; see ``WatchSource``."""
        return self._objects.check()

    def decode_changes(
        self, content: bytes, era: int = 0
    ) -> forwarding.Changes[T] | forwarding.StoreFault:
        """Return the changes in a response; see ``WatchSource``."""
        response = decode_object(content)
        if isinstance(response, forwarding.StoreFault):
            return response
        items = []
        for event in _objects_in(response, 'events'):
            if not isinstance(event.get('object'), dict):
                continue
            decoded = self.decode(
                event['object'], bool(event.get('deleted')), era
            )
            if decoded is not None:
                items.append(decoded)
        revision = _revision_of(response)
        if revision is None:
            return _unreadable_fault('watch response has no revision')
        return forwarding.Changes(tuple(items), revision, content, era)

    def decode(
        self, item: dict[str, Any], is_deleted: bool, era: int
    ) -> T | None:
        """Return the value of an object, or None if it has none.

        :param era: era of the store to which the object's revision belongs.
        """
        raise AssertionError('subclasses have to override decode()')


class ConfigurationReader(KindReader[data.ForwardingConfiguration]):
    """Lists and watches manifests as configurations."""

    kind = 'config'

    def decode(
        self, item: dict[str, Any], is_deleted: bool, era: int
    ) -> data.ForwardingConfiguration | None:
        """Return the configuration of a manifest.

        A deleted or malformed manifest has none, so that the configuration
        in effect stays.
        """
        if is_deleted:
            return None
        place = f'config/{name_of(item)}'
        try:
            return _configuration.decode_configuration(
                place, item.get('specification')
            )
        except _fields.MalformedError as error:
            self._findings.record(error.findings)
            return None


class TargetReader(KindReader[data.TargetChange]):
    """Lists and watches the targets of services."""

    kind = 'servers'

    def decode(
        self, item: dict[str, Any], is_deleted: bool, era: int
    ) -> data.TargetChange | None:
        """Return the target of an object; a malformed one has none."""
        name = name_of(item)
        if is_deleted:
            return data.TargetChange(name, None)
        try:
            target = _entries.decode_target(name, item.get('specification'))
        except _fields.MalformedError as error:
            self._findings.record(error.findings)
            return data.TargetChange(name, None)
        return data.TargetChange(name, target)


class FindingLog:
    """Logs each distinct finding about malformed objects once.

    A malformed object is read again with each list and each change of it.
    """

    def __init__(self, log: forwarding.EventLog) -> None:
        self._log = log
        self._logged: dict[str, None] = {}

    def record(self, findings: tuple[state.Finding, ...]) -> None:
        """Log the findings of one object unless they were logged before."""
        text = '; '.join(
            f'{finding.place}: {finding.message}' for finding in findings
        )
        if text in self._logged:
            return
        while len(self._logged) >= MAX_REMEMBERED_COUNT:
            del self._logged[next(iter(self._logged))]
        self._logged[text] = None
        self._log.record(forwarding.StoreEntryMalformed(text))


def name_of(item: dict[str, Any]) -> str:
    """Return the name of an object, or an empty string."""
    metadata = item.get('metadata')
    if isinstance(metadata, dict) and isinstance(metadata.get('name'), str):
        return str(metadata['name'])
    return ''


def decode_object(content: bytes) -> dict[str, Any] | forwarding.StoreFault:
    """Return the JSON object in the body of a response."""
    try:
        decoded = protocol.decode_json(content)
    except ValueError as error:
        return _unreadable_fault(str(error))
    if not isinstance(decoded, dict):
        return _unreadable_fault('response is not a JSON object')
    return decoded


def unavailable_fault(detail: str) -> forwarding.StoreFault:
    """Return the fault of a call that failed or got a bad response."""
    return forwarding.StoreFault(forwarding.StoreFaultKind.UNAVAILABLE, detail)


def _unreadable_fault(detail: str) -> forwarding.StoreFault:
    return forwarding.StoreFault(forwarding.StoreFaultKind.UNREADABLE, detail)


def _objects_in(
    response: dict[str, Any], name: str
) -> tuple[dict[str, Any], ...]:
    """Return the objects of a list; other items of the list are skipped."""
    value = response.get(name)
    if not isinstance(value, list):
        return ()
    return tuple(item for item in value if isinstance(item, dict))


def _revision_of(response: dict[str, Any]) -> int | None:
    revision = response.get('at')
    if _fields.is_number(revision) and isinstance(revision, int):
        return revision
    return None
