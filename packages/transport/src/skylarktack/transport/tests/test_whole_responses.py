"""Responses whose end is in doubt, before the clients of skylarktackd."""

from collections.abc import Callable
from typing import Any

from expression import Result
import pytest

from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import ports
from skylarktack.transport.tests import early_server
from skylarktack.transport.tests import raw_server
from skylarktack.transport.tests import test_truncated_heads

TIMEOUT_S = 5.0

#: These clients send the request whole before they read the response. The
#: send buffer takes this one at once.
UPLOAD = early_server.UPLOAD


def _call(address: tuple[str, int], upload: bytes) -> bytes | None:
    answered = transport.http_call(
        state.Address(*address), 'POST', '/', upload, {}, TIMEOUT_S
    )
    return answered.ok.body if answered.is_ok() else None


def _write(address: tuple[str, int], upload: bytes) -> bytes | None:
    settings = state.StoreSettings(address=state.Address(*address))
    answered = transport.HttpObjectStore(settings).put('a', upload, None)
    return b'{}' if answered.is_ok() else None


def _look_up(address: tuple[str, int], upload: bytes) -> bytes | None:
    call = raw_server.service_call(upload)
    sent = transport.HttpLookupClient().send(
        raw_server.target(address), call, TIMEOUT_S
    )
    if sent.is_error():
        return None
    answered = sent.ok.receive(TIMEOUT_S)
    return answered.ok.body if answered.is_ok() else None


CLIENTS: dict[str, Callable[[tuple[str, int], bytes], bytes | None]] = {
    'call': _call,
    'write of the object store': _write,
    'lookup': _look_up,
}


class TestEndOfResponse:
    """A response that may be truncated is a fault, and a whole one is not."""

    @pytest.mark.parametrize('client', CLIENTS.values(), ids=CLIENTS.keys())
    @pytest.mark.parametrize(
        'case',
        early_server.ENDED_RESPONSES.values(),
        ids=early_server.ENDED_RESPONSES.keys(),
    )
    def test_whole_or_fault(
        self,
        case: early_server.Case,
        client: Callable[[tuple[str, int], bytes], bytes | None],
    ) -> None:
        """Guards against a part of a response that counts as whole."""
        with early_server.serving(case, UPLOAD) as address:
            body = client(address, UPLOAD)
        assert body == (b'{}' if case.is_whole else None)

    @pytest.mark.parametrize('client', CLIENTS.values(), ids=CLIENTS.keys())
    @pytest.mark.parametrize(
        'ending',
        (early_server.Ending.BROKEN_PIPE, early_server.Ending.RESET),
    )
    def test_reset_while_the_request_is_sent(
        self,
        ending: early_server.Ending,
        client: Callable[[tuple[str, int], bytes], bytes | None],
    ) -> None:
        """Guards against a reset that the send met and the reader did not."""
        upload = early_server.LONG_UPLOAD
        case = early_server.Case(early_server.UNSIZED, ending, False, False)
        with early_server.serving(case, upload) as address:
            assert client(address, upload) is None


class TestImproperResponse:
    """A status outside 100 to 599, or no final head, is no response."""

    @pytest.mark.parametrize(
        'client',
        test_truncated_heads.CLIENTS.values(),
        ids=test_truncated_heads.CLIENTS.keys(),
    )
    @pytest.mark.parametrize(
        'response',
        early_server.IMPROPER_RESPONSES.values(),
        ids=early_server.IMPROPER_RESPONSES.keys(),
    )
    def test_is_a_fault(
        self,
        response: bytes,
        client: Callable[[state.Target], Result[Any, Any]],
    ) -> None:
        """Guards against a caller that gets a status that does not exist."""
        case = early_server.Case(
            response, early_server.Ending.END, True, False
        )
        with early_server.serving(case, b'') as address:
            answered = client(raw_server.target(address))
        assert answered.is_error()
        if isinstance(answered.error, ports.StreamFault):
            # A refusal says that the engine has judged the request.
            assert answered.error.kind is ports.StreamFaultKind.CLOSED
