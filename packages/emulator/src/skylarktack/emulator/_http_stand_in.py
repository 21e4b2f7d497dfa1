"""What the stand-ins share: a threaded HTTP server and its request handler."""

import http.server
import json
import socketserver
import threading
from typing import Any
import urllib.parse

import structlog

from skylarktack import protocol
from skylarktack import state

_LOG = structlog.get_logger(part='emulator')


class StandInHandler(http.server.BaseHTTPRequestHandler):
    """Request handler with small helpers; one thread for each connection."""

    protocol_version = 'HTTP/1.1'
    # Small writes of a token stream must not wait for acknowledgements.
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Keep the access log quiet."""

    @property
    def route(self) -> str:
        """Path without the query."""
        return urllib.parse.urlsplit(self.path).path

    def query(self, name: str, default: str = '') -> str:
        """Return one field of the query."""
        fields = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
        return fields.get(name, [default])[0]

    def body(self) -> bytes:
        """Read the request's body."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def answer(
        self,
        status: int = 200,
        body: bytes = b'{}',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a whole answer."""
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        request_id = self.headers.get(protocol.REQUEST_ID_HEADER)
        if request_id is not None:
            self.send_header(protocol.REQUEST_ID_HEADER, request_id)
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def answer_json(self, status: int, value: object) -> None:
        """Send a value as JSON."""
        self.answer(
            status,
            json.dumps(value).encode(),
            (('Content-Type', 'application/json'),),
        )

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.close_connection = True
        self.connection.close()


class StandInServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """A server that gives each connection a thread."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 1024

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that break off; faults cause them on purpose."""


def serve_stand_in(
    server: StandInServer, name: str, announce: bool
) -> threading.Thread:
    """Run a server in a thread and announce its port on standard output."""
    thread = threading.Thread(
        target=server.serve_forever, name=name, daemon=True
    )
    thread.start()
    if announce:
        host, port = server.server_address[:2]
        print(
            json.dumps({'name': name, 'host': host, 'port': port}), flush=True
        )
    return thread


def address_of(server: StandInServer) -> state.Address:
    """Return where a server listens."""
    host, port = server.server_address[:2]
    return state.Address(str(host), int(port))
