"""Calls to the store, from messages written after the platform's page."""

import json
from typing import Any

from skylarktack import platform
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.platform.tests import test_configuration
from skylarktack.platform.tests import test_entries
from skylarktack.state import forwarding as data


class Calls:
    """Answers calls by script and records them."""

    def __init__(
        self, *answers: tuple[int, Any] | forwarding.ExchangeFault
    ) -> None:
        self._answers = list(answers)
        self.calls: list[tuple[str, str, Any]] = []

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> forwarding.StoreResponse | forwarding.ExchangeFault:
        decoded = None if body is None else json.loads(body)
        self.calls.append((method, path, decoded))
        answer = self._answers.pop(0)
        if isinstance(answer, forwarding.ExchangeFault):
            return answer
        status, content = answer
        if isinstance(content, bytes):
            return forwarding.StoreResponse(status, content)
        return forwarding.StoreResponse(status, json.dumps(content).encode())


LOST = forwarding.ExchangeFault(forwarding.FaultKind.LOST, 'no answer')


def _object(name: str, specification: object) -> dict[str, Any]:
    return {
        'metadata': {'name': name, 'revision': 3, 'created_at': 1},
        'specification': specification,
        'status': None,
    }


def _targets(
    *answers: tuple[int, Any] | forwarding.ExchangeFault,
) -> tuple[platform.TargetReader, Calls, fakes.RecordingLog]:
    calls = Calls(*answers)
    log = fakes.RecordingLog()
    return platform.TargetReader(calls, log), calls, log


class TestLists:
    """A list is read to its last page."""

    def test_pages(self) -> None:
        """Guards against targets of a second page that are never seen."""
        entry = test_entries.ENTRY
        reader, calls, _ = _targets(
            (200, {'items': [_object('i/1', entry)], 'has_more': True}),
            (200, {'items': [_object('i-2', entry)], 'at': 530}),
        )
        listing = reader.list_all()
        assert isinstance(listing, forwarding.Listing)
        assert [item.name for item in listing.items] == ['i/1', 'i-2']
        assert listing.revision == 530
        assert [path for _, path, _ in calls.calls] == [
            '/objects/servers',
            '/objects/servers?start_revision=i%2F1',
        ]

    def test_changes_between_two_pages_are_watched(self) -> None:
        """Guards against a change of a page that was read before it.

        The watch began at the revision of the last page, so a target of the
        first page that left meanwhile was used until its next change.
        """
        entry = test_entries.ENTRY
        reader, _, _ = _targets(
            (
                200,
                {'items': [_object('i-1', entry)], 'has_more': True, 'at': 7},
            ),
            (200, {'items': [_object('i-2', entry)], 'at': 9}),
        )
        listing = reader.list_all()
        assert isinstance(listing, forwarding.Listing)
        assert listing.revision == 7

    def test_a_stale_list(self) -> None:
        """Guards against pages of one list that differ in age."""
        entry = test_entries.ENTRY
        reader, calls, _ = _targets(
            (
                200,
                {'items': [_object('i-1', entry)], 'has_more': True, 'at': 7},
            ),
            (200, {'items': [_object('i-2', entry)], 'at': 6}),
        )
        listing = reader.list_all(may_be_stale=True)
        assert isinstance(listing, forwarding.Listing)
        assert listing.revision == 6
        assert [path for _, path, _ in calls.calls] == [
            '/objects/servers?stale_read=1',
            '/objects/servers?stale_read=1&start_revision=i-1',
        ]

    def test_a_malformed_entry_names_no_target(self) -> None:
        """Guards against a foreign entry that hides the others."""
        entry = test_entries.ENTRY
        items = [
            _object('good', entry),
            _object('bad', entry | {'state': 'resting'}),
            _object('worse', 'bytes'),
            'no object',
        ]
        reader, _, log = _targets((200, {'items': items, 'at': 5}))
        listing = reader.list_all()
        assert isinstance(listing, forwarding.Listing)
        named = [item.name for item in listing.items if item.target]
        assert named == ['good']
        assert len(log.messages('store')) == 2

    def test_faults(self) -> None:
        """Guards against an answer that is taken for an empty list."""
        answers: tuple[tuple[int, Any] | forwarding.ExchangeFault, ...] = (
            LOST,
            (503, {}),
            (429, {}),
            (200, b'no json'),
            (200, []),
            (200, {'items': []}),
        )
        for answer in answers:
            reader, _, _ = _targets(answer)
            fault = reader.list_all()
            assert isinstance(fault, forwarding.StoreFault)
            assert fault.kind is forwarding.StoreFaultKind.UNAVAILABLE


class TestWatches:
    """A watch tells of changes and of lost history."""

    def test_changes(self) -> None:
        """Guards against removed targets that are taken for changed."""
        entry = test_entries.ENTRY
        reader, calls, _ = _targets(
            (
                200,
                {
                    'events': [
                        {'deleted': False, 'object': _object('new', entry)},
                        {'deleted': True, 'object': _object('old', entry)},
                    ],
                    'at': 533,
                },
            )
        )
        changes = reader.watch(530, 3.0)
        assert isinstance(changes, forwarding.Changes)
        assert changes.revision == 533
        assert changes.items[0].target is not None
        assert changes.items[1] == data.TargetChange('old', None)
        assert calls.calls[0][1] == (
            '/objects/servers?watch_stream=530&wait_timeout_ms=3000'
        )

    def test_lost_history(self) -> None:
        """Guards against watching on where changes are missing."""
        reader, _, _ = _targets((410, {}))
        fault = reader.watch(530, 3.0)
        assert isinstance(fault, forwarding.StoreFault)
        assert fault.kind is forwarding.StoreFaultKind.HISTORY_GONE

    def test_a_configuration(self) -> None:
        """Guards against a manifest that is not put in force."""
        manifest = test_configuration.MANIFEST
        event = {'deleted': False, 'object': _object('main', manifest)}
        calls = Calls((200, {'events': [event], 'at': 9}))
        reader = platform.ConfigurationReader(calls, fakes.RecordingLog())
        changes = reader.watch(8, 3.0)
        assert isinstance(changes, forwarding.Changes)
        assert [item.version for item in changes.items] == [12]


class TestPeerRegistry:
    """Instances find each other in the store."""

    PEER = data.ListedPeer('edge-a-1', data.Address('10.1.0.19', 7200))

    def test_enters_itself_once(self) -> None:
        """Guards against writes at each look."""
        own = _object('edge-a-1', {'address': '10.1.0.19:7200'})
        other = _object('edge-b-1', {'address': '10.2.0.13:7200'})
        calls = Calls(
            (200, {'items': [other], 'at': 4}),
            (201, own),
            (200, {'items': [own, other], 'at': 5}),
            (200, {'items': [own, other], 'at': 6}),
        )
        registry = platform.StorePeerRegistry(calls, fakes.RecordingLog())
        peers = registry.register(self.PEER)
        assert peers is not None
        assert [peer.instance for peer in peers] == ['edge-a-1', 'edge-b-1']
        assert registry.register(self.PEER) is not None
        path = '/objects/skylarktack-instances'
        assert [(method, where) for method, where, _ in calls.calls] == [
            ('GET', f'{path}?stale_read=1'),
            ('POST', path),
            ('GET', path),
            ('GET', f'{path}?stale_read=1'),
        ]

    def test_an_entry_that_stands_is_not_made_again(self) -> None:
        """Guards against three calls of each instance that is restarted."""
        own = _object('edge-a-1', {'address': '10.1.0.19:7200'})
        calls = Calls((200, {'items': [own], 'at': 5}))
        registry = platform.StorePeerRegistry(calls, fakes.RecordingLog())
        assert registry.register(self.PEER) == (self.PEER,)
        assert len(calls.calls) == 1

    def test_of_two_that_start_together_one_sees_the_other(self) -> None:
        """Guards against a list that is read before the entry is made."""
        nothing = (200, {'items': [], 'at': 5})
        calls = Calls(nothing, (201, {}), nothing)
        registry = platform.StorePeerRegistry(calls, fakes.RecordingLog())
        registry.register(self.PEER)
        path = '/objects/skylarktack-instances'
        assert [(method, where) for method, where, _ in calls.calls[1:]] == [
            ('POST', path),
            ('GET', path),
        ]

    def test_replaces_the_address_of_an_earlier_instance(self) -> None:
        """Guards against peers that send to an address that is gone."""
        old = _object('edge-a-1', {'address': '10.9.9.9:7200'})
        listed = (200, {'items': [old], 'at': 5})
        calls = Calls(listed, (409, old), (200, {}), listed)
        registry = platform.StorePeerRegistry(calls, fakes.RecordingLog())
        assert registry.register(self.PEER) is not None
        method, _, body = calls.calls[2]
        assert method == 'PUT'
        assert body['specification'] == {'address': '10.1.0.19:7200'}

    def test_an_outage_is_told(self) -> None:
        """Guards against an instance that stays alone after an outage."""
        registry = platform.StorePeerRegistry(
            Calls(LOST), fakes.RecordingLog()
        )
        assert registry.register(self.PEER) is None
