"""HTTP clients of plain services against raw sockets."""

import dataclasses
import socket
import threading

from expression import Result
import pytest

from skylarktack import state
from skylarktack import transport
from skylarktack.transport.tests import raw_server

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class _CountingServer:
    """Counts requests; answers a number of them on each connection."""

    def __init__(self, answers_per_connection: int) -> None:
        self._answer_count = answers_per_connection
        self.request_count = 0
        self.closed = threading.Semaphore(0)
        self._server = raw_server.RawServer(self._serve)

    @property
    def target(self) -> state.Target:
        return raw_server.target(self._server.address)

    def close(self) -> None:
        self._server.close()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            for _ in range(self._answer_count):
                if not connection.recv(65_536):
                    break
                self.request_count += 1
                connection.sendall(_ANSWER)
            if not self._answer_count and connection.recv(65_536):
                self.request_count += 1
        self.closed.release()


class TestServiceClients:
    """Guards against a request that is sent again below the decisions."""

    def test_lost_answer_is_not_sent_again(self) -> None:
        """A connection closed after the request is an unknown outcome."""
        server = _CountingServer(answers_per_connection=0)
        answered = transport.HttpServiceClient().call(
            server.target, raw_server.service_call(), 5.0
        )
        server.close()
        assert answered.error.run is state.RunState.UNKNOWN
        assert server.request_count == 1

    def test_stale_connection_is_not_used_for_one_run_calls(self) -> None:
        """Each call has its own connection, so none can be stale."""
        server = _CountingServer(answers_per_connection=1)
        client = transport.HttpServiceClient()
        for _ in range(3):
            assert client.call(
                server.target, raw_server.service_call(), 5.0
            ).is_ok()
            assert server.closed.acquire(timeout=5)
        server.close()
        assert server.request_count == 3

    def test_refused_connection_is_not_run(self) -> None:
        """Nothing was sent when no connection could be made."""
        with socket.socket() as unused:
            # Bound without listening, so that the port refuses.
            unused.bind(('127.0.0.1', 0))
            answered = transport.HttpServiceClient().call(
                raw_server.target(unused.getsockname()),
                raw_server.service_call(),
                5.0,
            )
        assert answered.error.run is state.RunState.NOT_RUN

    @pytest.mark.parametrize('answers_per_connection', [1, 10])
    def test_lookups_drop_stale_connections(
        self, answers_per_connection: int
    ) -> None:
        """A closed kept connection is noticed before the next request."""
        server = _CountingServer(answers_per_connection)
        client = transport.HttpLookupClient()
        for _ in range(4):
            sent = client.send(
                server.target, raw_server.service_call(), 5.0
            ).ok
            assert client.first_ready((sent,), 5.0) is sent
            assert sent.receive(5.0).ok.body == b'ok'
            if answers_per_connection == 1:
                assert server.closed.acquire(timeout=5)
        client.close()
        server.close()
        assert server.request_count == 4


class _LateCopies:
    """Answers each request with the body of its connection's next answer.

    The answers of one connection are sent when its requests arrive.
    """

    def __init__(self, *answers: bytes) -> None:
        self._answers = answers
        self.connection_count = 0
        self._server = raw_server.RawServer(self._serve)

    @property
    def target(self) -> state.Target:
        return raw_server.target(self._server.address)

    def close(self) -> None:
        self._server.close()

    def _serve(self, connection: socket.socket) -> None:
        self.connection_count += 1
        for answer in self._answers:
            if not connection.recv(65_536):
                break
            connection.sendall(answer)


def _named_answer(request_id: str, body: bytes) -> bytes:
    head = (
        f'HTTP/1.1 200 OK\r\nSkylarktack-Request-Id: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class TestKeptConnections:
    """Connections of lookups are used again, and hold no other answer."""

    def _look_up(
        self,
        client: transport.HttpLookupClient,
        server: _LateCopies,
        request_id: str,
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        call = dataclasses.replace(
            raw_server.service_call(), request_id=state.RequestId(request_id)
        )
        sent = client.send(server.target, call, 5.0).ok
        return sent.receive(5.0)

    @pytest.mark.parametrize(
        'late',
        [
            _named_answer('request-1', b'one'),
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none',
            b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n',
        ],
        ids=['second copy', 'unnamed answer', 'unnamed refusal'],
    )
    def test_late_answer_belongs_to_no_other_lookup(self, late: bytes) -> None:
        """Guards against the answer of another caller."""
        server = _LateCopies(_named_answer('request-1', b'one'), late)
        client = transport.HttpLookupClient()
        assert self._look_up(client, server, 'request-1').ok.body == b'one'
        second = self._look_up(client, server, 'request-2')
        client.close()
        server.close()
        assert second.error.run is state.RunState.UNKNOWN

    def test_named_answers_keep_the_connection(self) -> None:
        """Guards against a new connection for each lookup."""
        server = _LateCopies(
            _named_answer('request-1', b'one'),
            _named_answer('request-2', b'two'),
        )
        client = transport.HttpLookupClient()
        assert self._look_up(client, server, 'request-1').ok.body == b'one'
        assert self._look_up(client, server, 'request-2').ok.body == b'two'
        client.close()
        server.close()
        assert server.connection_count == 1

    def test_unnamed_answers_end_the_connection(self) -> None:
        """Guards against reuse where answers cannot be told apart."""
        unnamed = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none'
        server = _LateCopies(unnamed)
        client = transport.HttpLookupClient()
        for number in range(2):
            request_id = f'request-{number}'
            answered = self._look_up(client, server, request_id)
            assert answered.ok.body == b'one'
        client.close()
        server.close()
        assert server.connection_count == 2


class TestInterimResponses:
    """The answer is the final response."""

    @pytest.mark.parametrize(
        'interim',
        [
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
            2 * b'HTTP/1.1 102 Processing\r\n\r\n',
            b'HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n',
        ],
        ids=['continue', 'early hints', 'two', 'with a length'],
    )
    def test_interim_response_is_not_the_answer(self, interim: bytes) -> None:
        """Guards against an empty answer, and the next one to another call."""
        server = _LateCopies(interim + _named_answer('request-1', b'one'))
        answered = transport.HttpServiceClient().call(
            server.target, raw_server.service_call(), 5.0
        )
        server.close()
        assert answered.ok.status == 200
        assert answered.ok.body == b'one'

    def test_switched_protocol_is_no_answer(self) -> None:
        """Guards against bytes of another protocol as an answer."""
        server = _LateCopies(b'HTTP/1.1 101 Switching\r\n\r\n')
        answered = transport.HttpServiceClient().call(
            server.target, raw_server.service_call(), 5.0
        )
        server.close()
        assert answered.error.run is state.RunState.UNKNOWN
