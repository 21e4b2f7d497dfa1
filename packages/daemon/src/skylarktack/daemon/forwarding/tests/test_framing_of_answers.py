"""Plain answers of each framing, broken off or whole, on real connections."""

import pytest

from skylarktack.daemon.forwarding.tests import raw_target
from skylarktack.daemon.forwarding.tests import response_harness
from skylarktack.state import forwarding as data

NON_IDEMPOTENT = response_harness.route(data.RequestKind.NON_IDEMPOTENT)

HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nReplica-Signature: s\r\n'
LENGTH = b'Content-Length: 4\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'

WHOLE_ANSWERS = {
    'length': (HEAD + LENGTH + b'done', 'stay'),
    'chunks': (HEAD + CHUNKED + b'4\r\ndone\r\n0\r\n\r\n', 'stay'),
    'end of the connection': (HEAD + b'\r\ndone', 'end'),
    'end of an HTTP/1.0 connection': (
        HEAD.replace(b'1.1', b'1.0') + b'\r\ndone',
        'end',
    ),
    'interim, then the end of the connection': (
        b'HTTP/1.1 100 Continue\r\n\r\n' + HEAD + b'\r\ndone',
        'end',
    ),
    'a second copy': (2 * (HEAD + LENGTH + b'done'), 'stay'),
}

BROKEN_ANSWERS = {
    'short of its length': (HEAD + LENGTH + b'do', 'end'),
    'no last chunk': (HEAD + CHUNKED + b'4\r\ndone\r\n', 'end'),
    'within a chunk': (HEAD + CHUNKED + b'4\r\ndo', 'end'),
    'reset with a length': (HEAD + LENGTH + b'do', 'reset'),
    'reset without a length': (HEAD + b'\r\ndone', 'reset'),
    'within the status': (HEAD[:14], 'end'),
    'after the status': (HEAD[:17], 'end'),
    'within a header': (HEAD[:30], 'end'),
    'after the signature': (HEAD, 'end'),
    'within the length': (HEAD + b'Content-Length: 0', 'end'),
    'within the empty line': (HEAD + b'Content-Length: 0\r\n\r', 'end'),
    'after an interim answer': (b'HTTP/1.1 103 Early Hints\r\n\r\n', 'end'),
    'within a chunk size': (HEAD + CHUNKED + b'00', 'end'),
    'within the trailers': (HEAD + CHUNKED + b'0\r\n', 'end'),
    'reset within the head': (HEAD, 'reset'),
}


class TestPlainAnswer:
    """A whole answer is served and a broken one is not."""

    @pytest.mark.parametrize('version', [b'1.0', b'1.1'])
    @pytest.mark.parametrize(
        ('response', 'ending'),
        WHOLE_ANSWERS.values(),
        ids=WHOLE_ANSWERS.keys(),
    )
    def test_complete_answer_is_served(
        self, response: bytes, ending: str, version: bytes
    ) -> None:
        """Guards against failing an answer that ends with its connection."""
        with response_harness.serving(
            NON_IDEMPOTENT, raw_target.Answer((response,), ending)
        ) as harness:
            harness.send(version=version)
            assert harness.read_answer() == (200, b'done')

    @pytest.mark.parametrize(
        ('response', 'ending'),
        WHOLE_ANSWERS.values(),
        ids=WHOLE_ANSWERS.keys(),
    )
    def test_connection_of_the_caller_stays_in_use(
        self, response: bytes, ending: str
    ) -> None:
        """Guards against bytes of one answer before the next one."""
        answer = raw_target.Answer((response,), ending)
        with response_harness.serving(
            NON_IDEMPOTENT, answer, answer
        ) as harness:
            assert harness.ask() == (200, b'done')
            assert harness.ask() == (200, b'done')

    @pytest.mark.parametrize('version', [b'1.0', b'1.1'])
    @pytest.mark.parametrize(
        ('response', 'ending'),
        BROKEN_ANSWERS.values(),
        ids=BROKEN_ANSWERS.keys(),
    )
    def test_truncated_answer_is_not_served(
        self, response: bytes, ending: str, version: bytes
    ) -> None:
        """Guards against a broken answer that looks complete."""
        with response_harness.serving(
            NON_IDEMPOTENT, raw_target.Answer((response,), ending)
        ) as harness:
            harness.send(version=version)
            status, _ = harness.read_answer()
            assert len(harness.requests) == 1
        assert status == 502


class TestLongBody:
    """Targets that answer before they have read a long body."""

    BODY = b'x' * 8_000_000

    def test_whole_answer_ends_the_request(self) -> None:
        """Guards against other bytes where the rest of a body is due."""
        answer = raw_target.Answer(
            (HEAD + LENGTH + b'done', 0.2), is_before_body=True
        )
        with response_harness.serving(
            NON_IDEMPOTENT, answer, answer
        ) as harness:
            assert harness.ask(self.BODY) == (200, b'done')
            assert harness.ask(self.BODY) == (200, b'done')
            bodies = harness.wait_for_bodies(2)
        for body in bodies:
            assert self.BODY.startswith(body)

    def test_answer_that_waits_for_the_body(self) -> None:
        """Guards against a target that waits for a body that never comes."""
        answer = raw_target.Answer(
            (HEAD + LENGTH + b'do',), is_before_body=True, after_body=b'ne'
        )
        with response_harness.serving(NON_IDEMPOTENT, answer) as harness:
            assert harness.ask(self.BODY) == (200, b'done')
            assert harness.wait_for_bodies(1) == [self.BODY]

    @pytest.mark.parametrize('kind', data.RequestKind)
    def test_reset_within_an_answer_without_a_length(
        self, kind: data.RequestKind
    ) -> None:
        """Guards against a reset that is taken for the end of the answer.

        While a part of the request is unsent, the reset is reported to the
        send and the next read finds an orderly end.
        """
        head = HEAD + b'Content-Type: text/event-stream\r\n\r\n'
        answer = raw_target.Answer(
            (head + b'id: 1\ndata: a\n\n', 0.2),
            ending='reset',
            is_before_body=True,
        )
        route = response_harness.route(
            kind, is_resumable=False, timeout_ms=2000.0
        )
        with response_harness.serving(route, *(5 * (answer,))) as harness:
            harness.send(self.BODY)
            received = harness.read_stream()
        assert received.status != 200 or not received.is_complete
