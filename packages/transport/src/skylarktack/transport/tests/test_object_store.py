"""The client of the object API, before a store that was restored."""

from collections.abc import Iterator
import contextlib
import http.server
import threading
from typing import Any

from skylarktack import state
from skylarktack import transport


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers each call with the next era of the test."""

    eras: list[str | None]

    def log_message(self, format: str, *args: Any) -> None:
        """Keep the access log quiet."""

    def do_GET(self) -> None:
        self._answer()

    def do_PUT(self) -> None:
        self.rfile.read(int(self.headers.get('Content-Length') or 0))
        self._answer()

    def _answer(self) -> None:
        self.send_response(200)
        self.send_header('Content-Length', '0')
        self.send_header('ETag', '"7"')
        era = self.eras.pop(0)
        if era is not None:
            self.send_header('Object-Api-Era', era)
        self.end_headers()


@contextlib.contextmanager
def _store(*eras: str | None) -> Iterator[transport.HttpObjectStore]:
    handler = type('Handler', (_Handler,), {'eras': list(eras)})
    server = http.server.HTTPServer(('127.0.0.1', 0), handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        address = state.Address('127.0.0.1', server.server_address[1])
        yield transport.HttpObjectStore(state.StoreSettings(address))
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


class TestStoreEra:
    """Guards against responses of two eras that are taken for one history."""

    def test_era_of_a_response_is_read(self) -> None:
        """Guards against a restore that no reader can notice."""
        with _store(None, '1', '3') as store:
            eras: list[int] = []
            for _ in range(3):
                assert store.get('a').is_ok()
                eras.append(store.era)
        assert eras == [0, 1, 3]

    def test_response_from_before_a_restore_counts_as_lost(self) -> None:
        """Guards against a write that is taken for one of the new era."""
        with _store('1', '0', '0') as store:
            assert store.get('a').is_ok()
            read, written = store.get('a'), store.put('a', b'', 6)
            assert store.era == 1
        assert read.error.kind is state.StoreFaultKind.UNAVAILABLE
        assert written.error.kind is state.StoreFaultKind.ANSWER_LOST

    def test_malformed_era_is_ignored(self) -> None:
        """Guards against a client that fails on an unreadable header."""
        with _store('x', '-1', '9' * 30) as store:
            for _ in range(3):
                assert store.get('a').is_ok()
            assert store.era == 0

    def test_response_without_an_era_is_of_the_known_one(self) -> None:
        """Guards against a store that is ignored because of one header."""
        with _store('2', None, 'x', '2') as store:
            for _ in range(4):
                assert store.get('a').is_ok()
            assert store.era == 2

    def test_listeners_learn_of_a_restore(self) -> None:
        """Guards against tasks that wait while the store was restored."""
        noticed = threading.Event()
        with _store('1', '1', '2') as store:
            store.add_era_listener(noticed)
            for expected in (False, False, True):
                assert store.get('a').is_ok()
                assert noticed.is_set() is expected
