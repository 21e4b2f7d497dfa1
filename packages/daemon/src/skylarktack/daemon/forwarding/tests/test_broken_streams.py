"""Streams that break off, and what follows them, on real connections."""

import pytest

from skylarktack.daemon.forwarding.tests import raw_target
from skylarktack.daemon.forwarding.tests import response_harness
from skylarktack.state import forwarding as data

RESUMABLE = response_harness.route(data.RequestKind.STREAM)
NOT_RESUMABLE = response_harness.route(
    data.RequestKind.STREAM, is_resumable=False
)

SIGNED = b'Attempt-Id: attempt-1\r\nReplica-Signature: s\r\n'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n' + SIGNED + EVENT_STREAM
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'

#: How an answer is delimited.
FRAMINGS = ('chunks', 'close')


def _events(first: int, last: int, line_end: bytes = b'\n') -> bytes:
    events = b''
    for event_id in range(first, last + 1):
        lines = (b'id: %d' % event_id, b'data: t%d' % event_id, b'', b'')
        events += line_end.join(lines)
    return events


def _chunk(content: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(content), content)


def _whole_stream(first: int, last: int) -> raw_target.Answer:
    body = _chunk(_events(first, last))
    return raw_target.Answer((HEAD + CHUNKED + body + LAST_CHUNK,))


def _broken_stream(
    last: int, framing: str, rest: bytes = b'', ending: str = 'end'
) -> raw_target.Answer:
    """Return the events from 1 to last, other bytes, and the ending."""
    content = _events(1, last) + rest
    if framing == 'chunks':
        return raw_target.Answer((HEAD + CHUNKED + _chunk(content),), ending)
    return raw_target.Answer((HEAD + b'\r\n' + content,), ending)


def _answer(status: int, headers: bytes, body: bytes) -> bytes:
    length = str(len(body)).encode()
    return b'HTTP/1.1 %d X\r\n%sContent-Length: %s\r\n\r\n%s' % (
        status,
        headers,
        length,
        body,
    )


#: Answers of an engine that hold no stream.
NO_STREAMS = {
    'signed failure': (_answer(500, SIGNED, b'id: 3\ndata: x\n\n'), 'stay'),
    'unsigned failure': (_answer(500, b'', b'error\n\n'), 'stay'),
    'signed client error': (_answer(400, SIGNED, b'error\n\n'), 'stay'),
    'signed refusal': (_answer(503, SIGNED, b'error\n\n'), 'stay'),
    'refusal': (
        _answer(503, SIGNED + b'Not-Executed: 1\r\n', b'full\n\n'),
        'stay',
    ),
    'signed partial content': (
        _answer(206, SIGNED + EVENT_STREAM, _events(3, 4)),
        'stay',
    ),
    'signed redirect': (_answer(302, SIGNED, b'elsewhere\n\n'), 'stay'),
    'unsigned success': (
        _answer(200, b'Attempt-Id: attempt-1\r\n', _events(3, 4)),
        'stay',
    ),
    'another media type': (
        _answer(200, SIGNED + b'Content-Type: text/html\r\n', b'data: x\n\n'),
        'stay',
    ),
    'a page instead of events': (
        _answer(200, SIGNED, b'<html>\n\n<body>failed</body>\n\n'),
        'stay',
    ),
    'a page until the end of the connection': (
        b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n<html>\n\nfailed\n\n',
        'end',
    ),
    'text instead of events': (_answer(200, SIGNED, b'failed\n\n'), 'stay'),
    'a text with a colon': (
        _answer(200, SIGNED + EVENT_STREAM, b'error: failed\n\n'),
        'stay',
    ),
    'an event without an id': (
        _answer(200, SIGNED + EVENT_STREAM, b'event: error\ndata: x\n\n'),
        'stay',
    ),
    'a content encoding': (
        _answer(200, SIGNED + b'Content-Encoding: gzip\r\n', _events(3, 4)),
        'stay',
    ),
    'no event until the end of the connection': (HEAD + b'\r\n', 'end'),
    'a head that ended': (HEAD, 'end'),
    'a head that ended within its framing': (
        HEAD + b'Transfer-Encoding: chunked\r\n',
        'end',
    ),
    'a chunk size that ended': (HEAD + CHUNKED + b'00', 'end'),
    'another request': (
        _answer(
            200,
            SIGNED.replace(b'attempt-1', b'attempt-0') + EVENT_STREAM,
            _events(3, 4),
        ),
        'stay',
    ),
    'no response': (b'failed\r\n\r\n', 'stay'),
}

#: Answers of the next engine that are not the rest of the stream.
OTHER_ANSWERS = {
    **NO_STREAMS,
    'the events from the start': (
        _answer(200, SIGNED + EVENT_STREAM, _events(1, 4)),
        'stay',
    ),
    'a gap at the start': (
        _answer(200, SIGNED + EVENT_STREAM, _events(4, 6)),
        'stay',
    ),
}

#: Bytes that follow the events of an engine that fails.
TRAILING_BYTES = {
    'nothing': b'',
    'half an event': b'id: 3\ndata: t3\n',
    'text': b'internal error',
    'text with an empty line': b'internal error\n\n',
    'a page': b'<html>\n\n<body>failed</body>\n\n',
    'a second head': b'HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nerror',
    'a second answer': HEAD + b'\r\n' + _events(1, 4),
    'a head in one event with an id': (
        b'HTTP/1.1 500 Error\r\nid: 3\ndata: t3\n\n'
    ),
    'events from the start': _events(1, 4),
}


class TestNextAnswer:
    """After a failover only the rest of the stream reaches the caller."""

    @pytest.mark.parametrize(
        ('response', 'ending'),
        OTHER_ANSWERS.values(),
        ids=OTHER_ANSWERS.keys(),
    )
    def test_other_answer_is_not_part_of_the_stream(
        self, response: bytes, ending: str
    ) -> None:
        """Guards against the text of an error in the middle of a stream."""
        with response_harness.serving(
            RESUMABLE,
            _broken_stream(2, 'chunks'),
            raw_target.Answer((response,), ending),
            _whole_stream(3, 4),
        ) as harness:
            harness.send()
            received = harness.read_stream()
            assert [r.last_event_id for r in harness.requests] == [
                None,
                b'2',
                b'2',
            ]
        assert received == response_harness.ReceivedStream(
            200, _events(1, 4), True
        )

    @pytest.mark.parametrize(
        ('response', 'ending'),
        OTHER_ANSWERS.values(),
        ids=OTHER_ANSWERS.keys(),
    )
    def test_stream_without_its_rest_is_interrupted(
        self, response: bytes, ending: str
    ) -> None:
        """Guards against a stream that ends as if it were complete."""
        answer = raw_target.Answer((response,), ending)
        route = response_harness.route(
            data.RequestKind.STREAM, timeout_ms=1500.0
        )
        with response_harness.serving(
            route, _broken_stream(2, 'chunks'), *(12 * (answer,))
        ) as harness:
            harness.send()
            received = harness.read_stream()
        assert received == response_harness.ReceivedStream(
            200, _events(1, 2), False
        )

    def test_events_before_a_gap_are_kept(self) -> None:
        """Guards against a gap after events that were counted but not sent."""
        gap = _answer(
            200, SIGNED + EVENT_STREAM, _events(3, 3) + _events(5, 6)
        )
        with response_harness.serving(
            RESUMABLE,
            _broken_stream(2, 'chunks'),
            raw_target.Answer((gap,)),
            _whole_stream(4, 4),
        ) as harness:
            harness.send()
            received = harness.read_stream()
            assert harness.requests[2].last_event_id == b'3'
        assert received == response_harness.ReceivedStream(
            200, _events(1, 4), True
        )

    @pytest.mark.parametrize('version', [b'1.0', b'1.1'])
    def test_interruption_is_visible(self, version: bytes) -> None:
        """Guards against a broken stream that looks complete to a caller."""
        with response_harness.serving(
            NOT_RESUMABLE, _broken_stream(2, 'chunks')
        ) as harness:
            harness.send(version=version)
            assert not harness.read_stream().is_complete

    def test_rest_without_events_completes(self) -> None:
        """Guards against failing a stream that lost only its end."""
        with response_harness.serving(
            RESUMABLE, _broken_stream(2, 'chunks'), _whole_stream(3, 2)
        ) as harness:
            harness.send()
            received = harness.read_stream()
        assert received == response_harness.ReceivedStream(
            200, _events(1, 2), True
        )


class TestFirstAnswer:
    """What an engine sends after its events, or instead of them."""

    @pytest.mark.parametrize('framing', FRAMINGS)
    @pytest.mark.parametrize(
        'rest', TRAILING_BYTES.values(), ids=TRAILING_BYTES.keys()
    )
    def test_stream_is_resumed_after_its_last_event(
        self, framing: str, rest: bytes
    ) -> None:
        """Guards against bytes of a failing engine within the stream."""
        ending = 'end' if rest else 'reset'
        with response_harness.serving(
            RESUMABLE,
            _broken_stream(2, framing, rest, ending),
            _whole_stream(3, 4),
        ) as harness:
            harness.send()
            received = harness.read_stream()
            assert harness.requests[1].last_event_id == b'2'
        assert received == response_harness.ReceivedStream(
            200, _events(1, 4), True
        )

    @pytest.mark.parametrize('framing', FRAMINGS)
    @pytest.mark.parametrize(
        'rest', TRAILING_BYTES.values(), ids=TRAILING_BYTES.keys()
    )
    def test_stream_that_cannot_be_resumed_is_interrupted(
        self, framing: str, rest: bytes
    ) -> None:
        """Guards against a stream that ends as if it were complete."""
        ending = 'end' if rest else 'reset'
        with response_harness.serving(
            NOT_RESUMABLE, _broken_stream(2, framing, rest, ending)
        ) as harness:
            harness.send()
            received = harness.read_stream()
        assert received == response_harness.ReceivedStream(
            200, _events(1, 2), False
        )

    @pytest.mark.parametrize(
        ('response', 'ending'),
        NO_STREAMS.values(),
        ids=NO_STREAMS.keys(),
    )
    def test_other_answer_does_not_start_the_stream(
        self, response: bytes, ending: str
    ) -> None:
        """Guards against a success that holds no stream."""
        with response_harness.serving(
            RESUMABLE,
            raw_target.Answer((response,), ending),
            _whole_stream(1, 2),
        ) as harness:
            harness.send()
            received = harness.read_stream()
        if received.status == 200:
            assert received.body == _events(1, 2)
        assert received.is_complete


#: What an engine has sent of a response when its process stops.
UNFINISHED = {
    'nothing': b'',
    'part of the status line': b'HTTP/1.1 20',
    'head': HEAD,
    'head of chunks': HEAD + CHUNKED,
    'head of a body to the end of the connection': HEAD + b'\r\n',
    'head with a length': HEAD + b'Content-Length: 50\r\n\r\n',
    'part of a chunk size': HEAD + CHUNKED + b'5\r',
    'part of an event in chunks': HEAD + CHUNKED + _chunk(b'id: 1'),
    'part of an event to the end': HEAD + b'\r\nid: 1',
    'event in chunks': HEAD + CHUNKED + _chunk(_events(1, 1)),
}


class TestStoppedEngine:
    """An engine that closes its connections in order as it stops."""

    @pytest.mark.parametrize(
        'sent', UNFINISHED.values(), ids=UNFINISHED.keys()
    )
    def test_loss_is_evidence(self, sent: bytes) -> None:
        """Guards against engines that stop one by one under a prompt."""
        answer = raw_target.Answer((sent,), 'stop')
        with response_harness.serving(
            RESUMABLE, answer, _whole_stream(1, 2)
        ) as harness:
            harness.send()
            harness.read_stream()
            evidence = harness.forwarders.quarantine.evidence(is_full=True)
            engines = [loss.engine for loss in evidence.losses]
            assert engines == [harness.requests[0].target]


class TestEndWithConnection:
    """Streams with neither a length nor chunks."""

    @pytest.mark.parametrize('version', [b'1.0', b'1.1'])
    @pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
    def test_whole_stream(self, line_end: bytes, version: bytes) -> None:
        """Guards against failing a stream that ends with its connection."""
        answer = raw_target.Answer(
            (HEAD + b'\r\n' + _events(1, 3, line_end),), 'end'
        )
        with response_harness.serving(NOT_RESUMABLE, answer) as harness:
            harness.send(version=version)
            received = harness.read_stream()
        assert received == response_harness.ReceivedStream(
            200, _events(1, 3, line_end), True
        )

    @pytest.mark.parametrize(
        'ending_of_event',
        [b'', b'\n', b'\r', b'\r\n', b'\r\n\r'],
        ids=repr,
    )
    def test_event_without_its_blank_line_is_broken_off(
        self, ending_of_event: bytes
    ) -> None:
        """Guards against completing a stream that ends inside an event."""
        rest = b'id: 3\ndata: t3' + ending_of_event
        with response_harness.serving(
            RESUMABLE, _broken_stream(2, 'close', rest), _whole_stream(3, 4)
        ) as harness:
            harness.send()
            received = harness.read_stream()
            assert harness.requests[1].last_event_id == b'2'
        assert received == response_harness.ReceivedStream(
            200, _events(1, 4), True
        )

    @pytest.mark.parametrize('cut', range(1, 12))
    def test_character_of_several_bytes_and_line_ends_are_cut(
        self, cut: int
    ) -> None:
        """Guards against an event that is torn where a read ends."""
        event = 'id: 3\r\ndata: \N{EURO SIGN}\r\n\r\n'.encode()
        parts = (
            HEAD + b'\r\n' + _events(1, 2, b'\r\n') + event[:-cut],
            0.05,
            event[-cut:],
        )
        with response_harness.serving(
            NOT_RESUMABLE, raw_target.Answer(parts, 'end')
        ) as harness:
            harness.send()
            received = harness.read_stream()
        assert received == response_harness.ReceivedStream(
            200, _events(1, 2, b'\r\n') + event, True
        )

    def test_character_of_several_bytes_is_broken_off(self) -> None:
        """Guards against half a character in what the caller receives."""
        rest = 'id: 3\ndata: \N{EURO SIGN}'.encode()[:-1]
        with response_harness.serving(
            RESUMABLE, _broken_stream(2, 'close', rest), _whole_stream(3, 4)
        ) as harness:
            harness.send()
            received = harness.read_stream()
        assert received == response_harness.ReceivedStream(
            200, _events(1, 4), True
        )
