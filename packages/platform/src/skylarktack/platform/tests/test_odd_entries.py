"""Entries of other writers that no reader may stumble over."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from skylarktack import platform
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.platform.tests import test_configuration
from skylarktack.platform.tests import test_entries
from skylarktack.platform.tests import test_store
from skylarktack.state import forwarding as data

DEPTH_COUNT = 100_000

#: Texts in place of the value of one field of an entry.
ODD_ENTRY_VALUES = {
    'number beyond float': ('capacity_slots', '1e999'),
    'NaN': ('capacity_slots', 'NaN'),
    'infinite start': ('born', '-Infinity'),
    'integer of 400 digits': ('capacity_slots', '9' * 400),
    'integer of 9,000 digits': ('born', '9' * 9000),
    'negative slots': ('capacity_slots', '-4'),
    'absurd slots': ('capacity_slots', '900000000'),
    'port 0': ('address', '"10.0.0.9:0"'),
    'port 99999': ('address', '"10.0.0.9:99999"'),
    'superscript port': ('address', '"10.0.0.9:8\\u00b2"'),
    'Arabic digit in port': ('address', '"10.0.0.9:80\\u0668"'),
    'host with a space': ('address', '"10.0 .0.9:80"'),
    'host name': ('address', '"somewhere:80"'),
    'address out of range': ('address', '"10.0.0.999:80"'),
    'line break': ('version', '"v1\\r\\nTenant: other"'),
    'lone surrogate': ('service', '"\\ud800"'),
    'deep array': ('models', '[' * DEPTH_COUNT + ']' * DEPTH_COUNT),
    'deep object': ('models', '{"a":' * DEPTH_COUNT + '1' + '}' * DEPTH_COUNT),
    'deep unknown field': ('extra', '[' * DEPTH_COUNT + ']' * DEPTH_COUNT),
    'moderately deep field': ('extra', '[' * 200 + ']' * 200),
}

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=12),
    lambda nested: (
        strategies.lists(nested, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=6), nested)
    ),
    max_leaves=12,
)


def _object_text(name: str, specification: str) -> str:
    return (
        f'{{"metadata":{{"name":"{name}","revision":3}},'
        f'"specification":{specification},"status":null}}'
    )


def _odd_entry(field: str, value: str) -> str:
    """Return the text of an entry in which one field has an odd value."""
    others = dict(test_entries.ENTRY)
    others.pop(field, None)
    text = json.dumps(others)
    return f'{text[:-1]},"{field}":{value}}}'


def _list_text(*objects: str) -> bytes:
    return f'{{"items":[{",".join(objects)}],"at":30}}'.encode()


def _reader(
    body: bytes,
) -> tuple[platform.TargetReader, fakes.RecordingLog]:
    log = fakes.RecordingLog()
    client = test_store.ScriptedClient((200, body), (200, body))
    return platform.TargetReader(client, log), log


class TestOddTargetEntry:
    """One odd entry names no target, and the others hold."""

    @pytest.mark.parametrize(
        ('field', 'value'),
        ODD_ENTRY_VALUES.values(),
        ids=ODD_ENTRY_VALUES.keys(),
    )
    def test_others_in_the_list_hold(self, field: str, value: str) -> None:
        """Guards against a list that one entry makes unreadable."""
        sound = json.dumps(test_entries.ENTRY)
        body = _list_text(
            _object_text('i-1', sound),
            _object_text('i-odd', _odd_entry(field, value)),
            _object_text('i-2', sound),
        )
        reader, log = _reader(body)
        listing = reader.list_all()
        assert isinstance(listing, forwarding.Listing)
        known = [item.name for item in listing.items if item.target]
        assert known == ['i-1', 'i-2']
        assert listing.revision == 30
        # Another list of the same entries adds no line.
        reader.list_all()
        (event,) = log.events
        assert isinstance(event, forwarding.StoreEntryMalformed)
        assert 'servers/i-odd' in event.findings

    @pytest.mark.parametrize(
        ('field', 'value'),
        ODD_ENTRY_VALUES.values(),
        ids=ODD_ENTRY_VALUES.keys(),
    )
    def test_others_in_a_watch_hold(self, field: str, value: str) -> None:
        """Guards against a watch that ends at an odd change."""
        sound = json.dumps(test_entries.ENTRY)
        odd = _object_text('i-odd', _odd_entry(field, value))
        reader, _ = _reader(b'')
        changes = reader.decode_changes(
            f'{{"events":[{{"object":{odd}}},'
            f'{{"object":{_object_text("i-2", sound)}}}],"at":31}}'.encode()
        )
        assert isinstance(changes, forwarding.Changes)
        assert [item.target is None for item in changes.items] == [True, False]

    @pytest.mark.parametrize('name', ['', 'i 1', 'i\\r\\n1', 'x' * 300])
    def test_odd_name(self, name: str) -> None:
        """Guards against names that break the header of each request."""
        body = _list_text(
            _object_text(name, json.dumps(test_entries.ENTRY)),
            _object_text('i-2', json.dumps(test_entries.ENTRY)),
        )
        reader, _ = _reader(body)
        listing = reader.list_all()
        assert isinstance(listing, forwarding.Listing)
        known = [item.name for item in listing.items if item.target]
        assert known == ['i-2']

    def test_bytes_that_are_not_utf8(self) -> None:
        """Guards against a list that a few bytes make unreadable."""
        odd = _odd_entry('service', '"\\u0001"').encode()
        body = _list_text(
            _object_text('i-odd', 'ODD'),
            _object_text('i-2', json.dumps(test_entries.ENTRY)),
        ).replace(b'ODD', odd.replace(b'\\u0001', b'\xff\xfe'))
        reader, _ = _reader(body)
        listing = reader.list_all()
        assert isinstance(listing, forwarding.Listing)
        assert 'i-2' in [item.name for item in listing.items if item.target]


class TestOddResponse:
    """A response of the store in another form is a fault."""

    @pytest.mark.parametrize(
        'body',
        [
            b'{"items":5,"at":[]}',
            b'{"items":{},"at":true}',
            b'{"items":[],"at":-1}',
            b'{"items":[],"has_more":true,"at":4}',
            b'{"items":[],"at":1e999}',
            b'[' * DEPTH_COUNT,
            b'{"items":' + b'[' * DEPTH_COUNT,
            b'[]',
            b'\xff',
        ],
    )
    def test_list(self, body: bytes) -> None:
        """Guards against an exception that ends the following of a kind."""
        reader, _ = _reader(body)
        assert isinstance(reader.list_all(), forwarding.StoreFault)

    @hypothesis.given(decoded=_JSON)
    def test_any_json(self, decoded: object) -> None:
        """Guards against forms of a response that nobody thought of."""
        reader, _ = _reader(b'')
        body = json.dumps({'events': decoded, 'at': 4}).encode()
        assert isinstance(
            reader.decode_changes(body),
            forwarding.Changes | forwarding.StoreFault,
        )

    @hypothesis.given(content=strategies.binary(max_size=200))
    def test_any_bytes(self, content: bytes) -> None:
        """Guards against bytes that end the task that reads them."""
        reader, _ = _reader(b'')
        reader.decode_changes(content)


class TestOddFields:
    """Each kind of document with any value in one of its fields."""

    @hypothesis.given(
        field=strategies.sampled_from(sorted(test_entries.ENTRY)), value=_JSON
    )
    def test_entry(self, field: str, value: object) -> None:
        """Guards against errors other than that of a malformed entry."""
        entry = test_entries.ENTRY | {field: value}
        try:
            target = platform.decode_target('i-1', entry)
        except platform.MalformedError:
            return
        assert 0 < target.endpoint.port < 65536
        assert 0 <= target.slot_count <= 100_000

    @hypothesis.given(
        field=strategies.sampled_from(sorted(test_configuration.MANIFEST)),
        value=_JSON,
    )
    def test_configuration(self, field: str, value: object) -> None:
        """Guards against errors other than that of a malformed manifest."""
        manifest = test_configuration.MANIFEST | {field: value}
        try:
            decoded = platform.decode_configuration('config/main', manifest)
        except platform.MalformedError:
            return
        assert decoded.version >= 0

    @hypothesis.given(specification=_JSON, status=_JSON, metadata=_JSON)
    def test_order(
        self, specification: object, status: object, metadata: object
    ) -> None:
        """Guards against move orders that end the task that follows them."""
        body = json.dumps(
            {
                'events': [
                    {
                        'object': {
                            'metadata': metadata,
                            'specification': specification,
                            'status': status,
                        }
                    }
                ],
                'at': 3,
            }
        ).encode()
        log = fakes.RecordingLog()
        reader = platform.MoveReader(test_store.ScriptedClient(), log)
        assert isinstance(reader.decode_changes(body), forwarding.Changes)

    @hypothesis.given(
        body=strategies.binary(max_size=60)
        | _JSON.map(lambda value: json.dumps(value).encode())
    )
    def test_report(self, body: bytes) -> None:
        """Guards against a report that ends the stream that asked for it."""
        decoded = platform.PlatformMessageCodec().decode_report(body)
        assert decoded is None or isinstance(decoded, data.TargetReport)


class TestOddHeaders:
    """Headers of callers and targets with any value."""

    NAMES = (
        b'Attempt-Id',
        b'Deadline-Ms',
        b'Host',
        b'Last-Event-Id',
        b'Prompt-Prefix',
        b'Retry-After',
        b'Replica-Load',
        b'Token-Usage',
    )

    @pytest.mark.parametrize('name', NAMES, ids=bytes.decode)
    @pytest.mark.parametrize(
        'value',
        [
            b'9' * 5000,
            b'a:\xb2',
            b'h:\xb2',
            b'1,\xb2,3',
            b'-1',
            b'inf',
            b'nan',
            b'1e400',
            b'\xff',
            b'',
        ],
    )
    def test_known_values(self, name: bytes, value: bytes) -> None:
        """Guards against one header that closes a connection unanswered."""
        self._decode(name, value)

    @hypothesis.given(
        name=strategies.sampled_from(NAMES),
        value=strategies.binary(max_size=40),
    )
    def test_any_value(self, name: bytes, value: bytes) -> None:
        """Guards against header values that nobody thought of."""
        self._decode(name, value)

    def _decode(self, name: bytes, value: bytes) -> None:
        codec = platform.PlatformMessageCodec()
        head = data.RequestHead(b'POST', b'/a/', ((name, value),))
        request = codec.decode_request(head, b'', False)
        assert isinstance(request, data.FrontRequest | data.Refusal)
        response = codec.decode_response(503, ((name, value),))
        assert response.status == 503


class TestOddSettings:
    """Settings with numbers that no setting can have."""

    @pytest.mark.parametrize('value', ['inf', 'nan', '-1', '1e999', 'many'])
    def test_number_out_of_range(self, value: str) -> None:
        """Guards against a traceback in place of a finding at the start."""
        text = f'limits.file_descriptors={value}'
        with pytest.raises(platform.MalformedError) as raised:
            platform.decode_settings('node.conf', text)
        places = [finding.place for finding in raised.value.findings]
        assert 'node.conf.limits.file_descriptors' in places
