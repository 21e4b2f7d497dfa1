"""HTTP clients of plain services against raw sockets."""

import socket
import threading

import pytest

from skylarktack import state
from skylarktack import transport

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class _RawServer:
    """Counts requests; answers a number of them on each connection."""

    def __init__(self, answers_per_connection: int) -> None:
        self._answer_count = answers_per_connection
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.request_count = 0
        self.closed = threading.Semaphore(0)
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def target(self) -> state.Target:
        return _target(self._listener)

    def close(self) -> None:
        self._listener.close()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                for _ in range(self._answer_count):
                    if not connection.recv(65_536):
                        break
                    self.request_count += 1
                    connection.sendall(_ANSWER)
                if not self._answer_count and connection.recv(65_536):
                    self.request_count += 1
            self.closed.release()


def _target(listener: socket.socket) -> state.Target:
    host, port = listener.getsockname()
    return state.Target(
        name=state.TargetName('raw'),
        kind=state.TargetKind.SERVICE,
        address=state.Address(host, port),
        failure_domain=state.FailureDomain('domain-0'),
        region='region-1',
        versions=(),
    )


def _call() -> state.ServiceCall:
    return state.ServiceCall(
        request_id=state.RequestId('request-1'),
        organisation=state.OrganisationName('small'),
        route=state.Route(
            state.RouteName('stock'),
            state.RouteKind.SERVICE,
            state.VersionName('desk-1'),
        ),
        method='GET',
        path='/items',
        headers=(),
        body=b'',
        idempotency_key='key-1',
    )


class TestServiceClients:
    """Guards against a request that is sent again below the decisions."""

    def test_lost_answer_is_not_sent_again(self) -> None:
        """A connection closed after the request is an unknown outcome."""
        server = _RawServer(answers_per_connection=0)
        answered = transport.HttpServiceClient().call(
            server.target, _call(), 5.0
        )
        server.close()
        assert answered.error.run is state.RunState.UNKNOWN
        assert server.request_count == 1

    def test_stale_connection_is_not_used_for_one_run_calls(self) -> None:
        """Each call has its own connection, so none can be stale."""
        server = _RawServer(answers_per_connection=1)
        client = transport.HttpServiceClient()
        for _ in range(3):
            assert client.call(server.target, _call(), 5.0).is_ok()
            assert server.closed.acquire(timeout=5)
        server.close()
        assert server.request_count == 3

    def test_refused_connection_is_not_run(self) -> None:
        """Nothing was sent when no connection could be made."""
        with socket.socket() as unused:
            # Bound without listening, so that the port refuses.
            unused.bind(('127.0.0.1', 0))
            answered = transport.HttpServiceClient().call(
                _target(unused), _call(), 5.0
            )
        assert answered.error.run is state.RunState.NOT_RUN

    @pytest.mark.parametrize('answers_per_connection', [1, 10])
    def test_lookups_drop_stale_connections(
        self, answers_per_connection: int
    ) -> None:
        """A closed kept connection is noticed before the next request."""
        server = _RawServer(answers_per_connection)
        client = transport.HttpLookupClient()
        for _ in range(4):
            sent = client.send(server.target, _call(), 5.0).ok
            assert client.first_ready((sent,), 5.0) is sent
            assert sent.receive(5.0).ok.body == b'ok'
            if answers_per_connection == 1:
                assert server.closed.acquire(timeout=5)
        client.close()
        server.close()
        assert server.request_count == 4
