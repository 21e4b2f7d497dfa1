"""Responses whose end is in doubt, before the clients of instances."""

import pytest

from skylarktack.coordination import forwarding
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport
from skylarktack.transport.forwarding import _sockets
from skylarktack.transport.forwarding.tests import front_harness
from skylarktack.transport.tests import early_server

TIMEOUT_S = 20.0

UPLOADS = {
    'short': early_server.UPLOAD,
    'long': early_server.LONG_UPLOAD,
}


def _client() -> transport.HttpTargetClient:
    return transport.HttpTargetClient(front_harness.PassThroughCodec())


def _listed(address: tuple[str, int]) -> data.ListedTarget:
    return data.ListedTarget(
        'target', 'pool', data.Address(*address), 'domain', 'v1', 1
    )


def _read_to_end(
    address: tuple[str, int], upload: bytes, is_stream: bool
) -> list[forwarding.ResponseEvent]:
    """Send a request and return all events of its response."""
    client = _client()
    codec = front_harness.PassThroughCodec()
    head = data.RequestHead(b'POST', b'/a', ((b'Host', b'h'),))
    request = codec.decode_request(head, upload, True)
    assert isinstance(request, data.FrontRequest)
    exchange = client.send(
        request,
        data.DispatchContext(
            _listed(address), None, None, is_stream=is_stream
        ),
        TIMEOUT_S,
    )
    assert isinstance(exchange, transport.HttpExchange)
    events: list[forwarding.ResponseEvent] = []
    while not events or not isinstance(
        events[-1], forwarding.ResponseEnd | forwarding.ExchangeFault
    ):
        assert _sockets.wait_for(
            exchange.connection, exchange.awaited_events, TIMEOUT_S
        )
        events.extend(exchange.receive())
    exchange.close()
    return events


def _is_whole(events: list[forwarding.ResponseEvent]) -> bool:
    return events[-1] == forwarding.ResponseEnd()


class TestEndOfResponse:
    """A response that may be truncated is a fault, and a whole one is not."""

    @pytest.mark.parametrize('is_stream', [False, True])
    @pytest.mark.parametrize('upload', UPLOADS.values(), ids=UPLOADS.keys())
    @pytest.mark.parametrize(
        'case',
        early_server.ENDED_RESPONSES.values(),
        ids=early_server.ENDED_RESPONSES.keys(),
    )
    def test_of_a_target(
        self, case: early_server.Case, upload: bytes, is_stream: bool
    ) -> None:
        """Guards against a part of a response that counts as whole."""
        with early_server.serving(case, upload) as address:
            events = _read_to_end(address, upload, is_stream)
        assert _is_whole(events) == case.is_whole
        if not case.is_whole:
            assert isinstance(events[-1], forwarding.ExchangeFault)
            assert events[-1].kind is forwarding.FaultKind.LOST

    @pytest.mark.parametrize(
        'case',
        early_server.ENDED_RESPONSES.values(),
        ids=early_server.ENDED_RESPONSES.keys(),
    )
    def test_of_the_store(self, case: early_server.Case) -> None:
        """Guards against a write that counts as confirmed."""
        upload = early_server.UPLOAD
        with early_server.serving(case, upload) as address:
            calls = transport.HttpStoreCalls(data.Address(*address))
            found = calls.call('PUT', '/objects/a', upload, TIMEOUT_S)
        assert isinstance(found, forwarding.StoreResponse) == case.is_whole


class TestImproperResponse:
    """A status outside 100 to 599, or no final head, is no response."""

    @pytest.mark.parametrize('is_stream', [False, True])
    @pytest.mark.parametrize(
        'response',
        early_server.IMPROPER_RESPONSES.values(),
        ids=early_server.IMPROPER_RESPONSES.keys(),
    )
    def test_of_a_target(self, response: bytes, is_stream: bool) -> None:
        """Guards against a caller that gets a status that does not exist."""
        case = early_server.Case(
            response, early_server.Ending.END, True, False
        )
        with early_server.serving(case, b'body') as address:
            events = _read_to_end(address, b'body', is_stream)
        assert [type(event) for event in events] == [forwarding.ExchangeFault]

    @pytest.mark.parametrize(
        'response',
        early_server.IMPROPER_RESPONSES.values(),
        ids=early_server.IMPROPER_RESPONSES.keys(),
    )
    def test_of_the_store(self, response: bytes) -> None:
        """Guards against a list of targets made of such a response."""
        case = early_server.Case(
            response, early_server.Ending.END, True, False
        )
        with early_server.serving(case, b'') as address:
            calls = transport.HttpStoreCalls(data.Address(*address))
            found = calls.call('GET', '/objects/a', None, TIMEOUT_S)
        assert isinstance(found, forwarding.ExchangeFault)

    @pytest.mark.parametrize(
        'response',
        early_server.IMPROPER_RESPONSES.values(),
        ids=early_server.IMPROPER_RESPONSES.keys(),
    )
    def test_of_a_probe(self, response: bytes) -> None:
        """Guards against a target that counts as well by such a response."""
        case = early_server.Case(
            response, early_server.Ending.END, True, False
        )
        with early_server.serving(case, b'') as address:
            client = _client()
            assert client.probe(_listed(address), TIMEOUT_S) is None
            assert not client.cached_parts(_listed(address), TIMEOUT_S)
