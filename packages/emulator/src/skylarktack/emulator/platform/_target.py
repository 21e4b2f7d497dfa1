"""Stand-in for the platform's replicas: engines and plain services."""

import dataclasses
import hashlib
import itertools
import json
import socket
import threading
import time
from typing import Any

from skylarktack import state
from skylarktack.emulator import _http_stand_in

_NUMBERS = itertools.count(1)


@dataclasses.dataclass
class TargetBehaviour:
    """How a target works; tests change it while it runs."""

    #: Time of a call, and of the prompt of a stream.
    work_s: float = 0.01
    prompt_s: float = 0.05

    #: Time between two events of a stream.
    pace_s: float = 0.01

    #: Length of the answer to a call, or None for a short text.
    answer_bytes: int | None = None

    #: Whether each run ends with an error of the target's own.
    fails: bool = False

    #: Whether each run's answer is lost with its connection.
    loses_answers: bool = False

    #: Whether runs stand still and probes get no answer.
    is_frozen: bool = False

    #: Whether each request is refused as not run.
    is_full: bool = False

    #: Time for which a refusal asks to receive nothing, or None.
    pause_s: float | None = None

    #: Prompt part under which the target crashes before the first event, or
    #: None.
    crash_part: str | None = None

    #: Whether all answers say that the target is leaving.
    says_it_leaves: bool = False


@dataclasses.dataclass
class Run:
    """One run of a request at a target."""

    #: Attempt of the caller.
    attempt_id: str

    #: Target that ran it.
    target: str

    #: Method and path, and the organisation named in the request.
    line: str
    organisation: str | None

    #: Monotonic times of its start and end; the end is None while it works.
    started_at_s: float
    ended_at_s: float | None = None


def event_text(subject: str, event_id: int) -> str:
    """Return the bytes of an event; the same at every engine."""
    word = hashlib.blake2b(
        f'{subject}/{event_id}'.encode(), digest_size=4
    ).hexdigest()
    return f'id: {event_id}\ndata: {word}\n\n'


class PlatformTarget:
    """One replica; a crash ends it, a restart gives it a new name."""

    def __init__(
        self,
        service: str,
        domain: str,
        copies: dict[str, set[str]],
        version: str = 'v1',
    ) -> None:
        self.service = service
        self.version = version
        # Whether the software of the version fails; a restart keeps it.
        self.has_bad_version = False
        self.domain = domain
        self.behaviour = TargetBehaviour()
        self.runs: list[Run] = []
        # Monotonic times at which requests arrived, refused ones included.
        self.arrived_at_s: list[float] = []
        self.lock = threading.Lock()
        # Attempts, and handles of ordered copies, whose memory each address
        # keeps a copy of.
        self.copies = copies
        # Ids of the prompt parts that were read.
        self.cached_parts: set[str] = set()
        self.ordered_copies: list[str] = []
        self._connections: set[socket.socket] = set()
        self._server: _http_stand_in.StandInServer | None = None
        self._port = 0
        self.is_leaving = False
        self.name = ''
        self.started_at_ms = 0
        self.start()

    @property
    def address(self) -> state.Address:
        """Return where the target listens."""
        return state.Address('127.0.0.1', self._port)

    @property
    def is_running(self) -> bool:
        """Return whether the target listens."""
        return self._server is not None

    def start(self) -> None:
        """Listen under a new name, at the same address as before."""
        target = self

        class _Handler(_Requests):
            _target = target

        self.name = f'i-{next(_NUMBERS):08x}'
        self.started_at_ms = int(time.time() * 1000)
        self.is_leaving = False
        self.cached_parts.clear()
        self.behaviour.is_frozen = False
        self._server = _http_stand_in.StandInServer(
            ('127.0.0.1', self._port), _Handler
        )
        self._port = self._server.server_address[1]
        self.copies.setdefault(str(self.address), set())
        _http_stand_in.serve_stand_in(self._server, self.name, announce=False)

    def crash(self) -> None:
        """Reset all connections, forget all copies, and stop listening."""
        server = self._server
        if server is None:
            return
        self._server = None
        server.shutdown()
        server.server_close()
        with self.lock:
            connections = tuple(self._connections)
            self.copies[str(self.address)].clear()
        for connection in connections:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It has ended by itself.
                continue

    def entry(self, at: state.Address | None = None) -> dict[str, Any]:
        """Return the target's entry in the store.

        :param at: address that callers use, such as that of a proxy.
        """
        return {
            'service': self.service,
            'address': str(at or self.address),
            'availability_zone': self.domain,
            'version': self.version,
            'capacity_slots': 12,
            'state': 'draining' if self.is_leaving else 'ready',
            'cold_remaining_ms': 0,
            'inference_stage': 'colocated',
            'models': [],
            'sequence_number': 1,
            'born': self.started_at_ms,
        }

    def track(self, connection: socket.socket, is_open: bool) -> None:
        """Note a connection that was opened or closed."""
        with self.lock:
            if is_open:
                self._connections.add(connection)
            else:
                self._connections.discard(connection)


class _Requests(_http_stand_in.StandInHandler):
    """Requests to one target."""

    _target: PlatformTarget

    def setup(self) -> None:
        """Note the connection."""
        super().setup()
        self._target.track(self.connection, True)

    def finish(self) -> None:
        """Forget the connection."""
        self._target.track(self.connection, False)
        super().finish()

    def do_GET(self) -> None:
        """Answer a probe or a call."""
        self._await_thaw()
        if self.route == '/report':
            self.answer_json(
                200,
                {
                    'queued_requests': 0,
                    'active_requests': 0,
                    'born': self._target.started_at_ms,
                },
            )
            return
        if self.route == '/kv-list':
            held = [['', part, 100, 'm'] for part in self._target.cached_parts]
            self.answer_json(200, {'epoch': 1, 'next': 1, 'held': held})
            return
        self._serve()

    def do_POST(self) -> None:
        """Answer a call or a stream, or copy a run to another engine."""
        body = self.body()
        self._await_thaw()
        if self.route == '/kv-move':
            self._copy_run(json.loads(body))
            return
        self._serve()

    def do_DELETE(self) -> None:
        """Free a copy at both engines."""
        handle = self.route.rpartition('/')[2]
        for handles in self._target.copies.values():
            handles.discard(handle)
        self.answer(200, b'', ())

    def _copy_run(self, order: dict[str, Any]) -> None:
        with self._target.lock:
            is_running = any(
                run.attempt_id == order['identifier']
                and run.ended_at_s is None
                for run in self._target.runs
            )
            if is_running:
                handle = f'copy-{next(_NUMBERS)}'
                self._target.ordered_copies.append(handle)
                self._target.copies[order['target']].add(handle)
        if not is_running:
            self.answer(404, b'', ())
            return
        self.answer_json(200, {'kv_handle': handle, 'created_at': 1})

    def _serve(self) -> None:
        with self._target.lock:
            self._target.arrived_at_s.append(time.monotonic())
        attempt_id = self.headers.get('Attempt-Id', '')
        refusal = [('Attempt-Id', attempt_id), ('Not-Executed', '1')]
        expected = self.headers.get('Expected-Replica')
        if expected != self._target.name:
            name = ('Replica-Id', self._target.name)
            self.answer(421, b'', (*refusal, name))
            return
        behaviour = self._target.behaviour
        copy = self.headers.get('Kv-From')
        if behaviour.is_full or (copy and not self._has_copy(copy)):
            if behaviour.pause_s is not None:
                refusal.append(('Retry-After', str(behaviour.pause_s)))
            self.answer(503, b'', (*refusal, *self._notices()))
            return
        run = Run(
            attempt_id=attempt_id,
            target=self._target.name,
            line=f'{self.command} {self.path}',
            organisation=self.headers.get('Tenant'),
            started_at_s=time.monotonic(),
        )
        with self._target.lock:
            self._target.runs.append(run)
        try:
            self._work(run, is_copy=bool(copy))
        finally:
            run.ended_at_s = time.monotonic()

    def _work(self, run: Run, is_copy: bool) -> None:
        behaviour = self._target.behaviour
        is_stream = 'Prompt-Prefix' in self.headers
        if is_stream and not is_copy:
            part = self._last_part()
            if part not in self._target.cached_parts:
                time.sleep(behaviour.prompt_s)
            self._target.cached_parts.add(part)
        if not is_stream:
            time.sleep(behaviour.work_s)
        self._await_thaw()
        if is_stream and behaviour.crash_part in self._part_ids():
            self._target.crash()
            return
        if behaviour.loses_answers:
            self.drop_connection()
            return
        signed = (
            ('Attempt-Id', run.attempt_id),
            ('Replica-Signature', f'{run.target}.{run.attempt_id}'),
            ('Replica-Load', '1,0,12'),
            *self._notices(),
        )
        if behaviour.fails or self._target.has_bad_version:
            self.answer(500, b'failed', signed)
            return
        if not is_stream:
            body = f'{run.attempt_id} done'.encode()
            if behaviour.answer_bytes is not None:
                body = bytes(behaviour.answer_bytes)
            self.answer(200, body, signed)
            return
        self.send_response(200)
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        for name, value in signed:
            self.send_header(name, value)
        self.end_headers()
        self._stream(run)

    def _stream(self, run: Run) -> None:
        subject = self._last_part()
        first = int(self.headers.get('Last-Event-Id') or 0) + 1
        last = int(self.headers['Token-Usage'].split(',')[1])
        standby = self.headers.get('Kv-Backup')
        try:
            for event_id in range(first, last + 1):
                self._await_thaw()
                if not self._target.is_running:
                    return
                self._chunk(event_text(subject, event_id).encode())
                if standby in self._target.copies:
                    self._target.copies[standby].add(run.attempt_id)
                time.sleep(self._target.behaviour.pace_s)
            self._chunk(b'')
        except OSError:
            # The caller closed the connection, which cancels the run.
            self.close_connection = True

    def _notices(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in which the target tells of its end."""
        if self._target.behaviour.says_it_leaves:
            return (('Server-Leaving', '1'),)
        return ()

    def _part_ids(self) -> list[str]:
        entries = self.headers['Prompt-Prefix'].split(',')
        return [str(entry.partition(':')[0]) for entry in entries]

    def _last_part(self) -> str:
        return self._part_ids()[-1]

    def _chunk(self, content: bytes) -> None:
        size = f'{len(content):x}\r\n'.encode()
        self.wfile.write(size + content + b'\r\n')
        self.wfile.flush()

    def _has_copy(self, copy: str) -> bool:
        # The address in the header is the one that callers use.
        attempt_id = copy.partition('/')[2]
        for address, attempts in self._target.copies.items():
            if address == str(self._target.address):
                return attempt_id in attempts
        return False

    def _await_thaw(self) -> None:
        while self._target.behaviour.is_frozen and self._target.is_running:
            time.sleep(0.01)
