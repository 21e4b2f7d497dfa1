"""Stand-ins for the review's scripts: store, entry processes and records.

Only the standard library is used. The entry processes are the project's own,
started with the command of the deploy file.
"""

import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'desk.example'
KEY = 'key-of-the-dealer'
TENANT = 'dealer'

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


_GIVEN_PORTS = set()


def free_port(kind=socket.SOCK_STREAM):
    """Return a port of the loopback address that nobody uses now.

    It is below the ports that the system gives to outgoing connections.
    """
    while True:
        port = random.randrange(20000, 32000)
        if port in _GIVEN_PORTS:
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _GIVEN_PORTS.add(port)
        return port


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._lock = threading.Lock()
        self._began_s = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def note(self, text):
        """Write one line with the time since the start."""
        with self._lock:
            since_s = time.monotonic() - self._began_s
            self._file.write(f'{since_s:8.3f} {text}\n')
            self._file.flush()


def route(name, kind, service, timeout_ms, objective_ms, attempts):
    """Return a route of a manifest."""
    is_stream = kind == 'streaming'
    found = {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': objective_ms,
        'priority': 1,
        'service': service,
        'max_attempts': attempts,
        'anonymous': False,
        'session_affinity': is_stream,
        'stream_resumption': is_stream,
    }
    if is_stream:
        found['gap_target_ms'] = 700
    return found


def manifest(version, routes, keys=(KEY,)):
    """Return a manifest with the limits of the platform's example."""
    services = sorted({found['service'] for found in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'connection_limit': 150,
                'protocol': 'h1',
                'tls_enabled': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': list(keys)}],
    }


class Store:
    """The platform's store: objects, lists, watches and status writes."""

    #: ``platform.history_retention_s`` of the settings.
    HISTORY_S = 20.0

    def __init__(self):
        self._changed = threading.Condition()
        self._revision = 10
        self._dropped_revision = 0
        self._objects = {}
        self._events = []
        store = self

        class _Handler(_StoreRequests):
            _store = store

        self._server = _Server(('127.0.0.1', 0), _Handler)
        self.port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def put(self, kind, name, specification):
        """Write an object as the operator or a replica does."""
        with self._changed:
            old = self._objects.get((kind, name))
            status = None if old is None else old['status']
            self._write(kind, name, specification, status)

    def remove(self, kind, name):
        """Remove an object."""
        with self._changed:
            old = self._objects.pop((kind, name), None)
            if old is None:
                return
            self._revision += 1
            self._add_event(kind, old, True)

    def _write(self, kind, name, specification, status):
        self._revision += 1
        item = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created_at': 9,
                'finalizers': [],
                'deletion_pending': False,
            },
            'specification': specification,
            'status': status,
        }
        self._objects[kind, name] = item
        self._add_event(kind, item, False)
        return item

    def _add_event(self, kind, item, is_deleted):
        now_s = time.monotonic()
        self._events.append((self._revision, kind, item, is_deleted, now_s))
        self._changed.notify_all()

    def _drop_history(self):
        """Forget changes that are older than the history."""
        oldest_s = time.monotonic() - self.HISTORY_S
        while self._events and self._events[0][4] < oldest_s:
            self._dropped_revision = self._events.pop(0)[0]

    def listing(self, kind):
        """Return all objects of a kind."""
        with self._changed:
            items = []
            for (found, _), item in sorted(self._objects.items()):
                if found == kind:
                    items.append(item)
            return {'items': items, 'has_more': False, 'at': self._revision}

    def watch(self, kind, revision, wait_s):
        """Return a status, and changes as soon as there are any."""
        end_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                self._drop_history()
                if revision < self._dropped_revision:
                    return 410, {}
                events = []
                for at, found, item, deleted, _ in self._events:
                    if at > revision and found == kind:
                        events.append({'deleted': deleted, 'object': item})
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {'events': events, 'at': self._revision}
                self._changed.wait(left_s)

    def create(self, kind, item):
        """Create an object; return a status and the object."""
        name = item['metadata']['name']
        with self._changed:
            old = self._objects.get((kind, name))
            if old is not None:
                return 409, old
            return 201, self._write(
                kind, name, item.get('specification'), None
            )

    def replace(self, kind, name, item, is_status):
        """Replace the specification or the status of an object."""
        with self._changed:
            old = self._objects.get((kind, name))
            if old is None:
                return 404, {}
            revision = item.get('metadata', {}).get('revision')
            if revision not in (None, old['metadata']['revision']):
                return 409, old
            specification = old['specification']
            status = old['status']
            if is_status:
                status = item.get('status')
            else:
                specification = item.get('specification')
            return 200, self._write(kind, name, specification, status)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Say nothing: callers may close their connections."""


class _StoreRequests(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    _store = None

    def log_message(self, *arguments):
        """Write no log."""

    def _answer(self, status, body):
        content = json.dumps(body).encode()
        head = (
            f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        self.wfile.write(head.encode() + content)

    def _parts(self):
        path, _, query = self.path.partition('?')
        names = [urllib.parse.unquote(part) for part in path.split('/')[2:]]
        return names, dict(urllib.parse.parse_qsl(query))

    def _body(self):
        size = int(self.headers.get('Content-Length') or 0)
        return json.loads(self.rfile.read(size) or b'{}')

    def do_GET(self):
        """List or watch a kind."""
        names, query = self._parts()
        if 'watch_stream' in query:
            wait_s = int(query.get('wait_timeout_ms', '0')) / 1000
            revision = int(query['watch_stream'])
            self._answer(*self._store.watch(names[0], revision, wait_s))
            return
        self._answer(200, self._store.listing(names[0]))

    def do_POST(self):
        """Create an object."""
        names, _ = self._parts()
        self._answer(*self._store.create(names[0], self._body()))

    def do_PUT(self):
        """Replace an object or its status."""
        names, _ = self._parts()
        is_status = len(names) > 2 and names[2] == 'status'
        self._answer(
            *self._store.replace(names[0], names[1], self._body(), is_status)
        )

    def do_DELETE(self):
        """Remove an object."""
        names, _ = self._parts()
        self._store.remove(names[0], names[1])
        self._answer(200, {})


class Entry:
    """One entry instance, started with the command of the deploy file."""

    def __init__(self, name, zone, store_port, folder):
        self.name = name
        self.front_port = free_port()
        self.ready_port = free_port()
        self._folder = pathlib.Path(folder)
        self._path = self._folder / f'{name}.conf'
        self._path.write_text(
            _SETTINGS.format(
                name=name,
                zone=zone,
                front=self.front_port,
                ready=self.ready_port,
                control=free_port(),
                peer=free_port(socket.SOCK_DGRAM),
                store=store_port,
            ),
            encoding='utf-8',
        )
        self.process = None

    def start(self):
        """Start the process as the platform does."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['SKYLARKTACK_CONFIG'] = str(self._path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        # On the loopback address each instance needs a port of its own.
        command = [
            'python3',
            '-m',
            'skylarktack.daemon.forwarding',
            f'--metrics-port={free_port()}',
        ]
        log = open(self._folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    def log_text(self):
        """Return what the process has written."""
        path = self._folder / f'{self.name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            with socket.create_connection(
                ('127.0.0.1', self.ready_port), 1.0
            ) as connection:
                connection.settimeout(1.0)
                connection.sendall(
                    b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                return connection.recv(64).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def wait_ready(self, limit_s=30.0):
        """Wait until the instance is ready; return whether it is."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if self.is_ready():
                return True
            time.sleep(0.1)
        print(self.log_text()[-2000:], file=sys.stderr)
        return False

    def memory_mb(self):
        """Return the resident memory of the process."""
        with open(f'/proc/{self.process.pid}/status') as lines:
            for line in lines:
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self):
        """End the process."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


_SETTINGS = """\
node_name={name}
node_role=entry
machine_class=edge
served_roles=edge
ip_address=127.0.0.1
availability_zone={zone}
cloud_region=main
zones.{zone}=main
listen_addresses.frontend=127.0.0.1:{front}
listen_addresses.ready=127.0.0.1:{ready}
listen_addresses.control_plane=127.0.0.1:{control}
internal_port_range={peer},{peer}
seed_nodes=127.0.0.1:{control}
bootstrap=true
in_tolerance=false
limits.cpu_fraction=0.537
limits.cpu_cores=2
limits.memory_limit_mb=300
limits.file_descriptors=4100
limits.link_speed_mbps=1000.0
limits.disk_size_mb=0
discovery_source=platform
entry_kind=virtual_ip
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,platform
fault_tolerance.machine_failures=2
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.contact_window_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_timeout_ms=2000
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.partition_stretch_ms=5000
bounds.strict_revocation=false
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.8
bounds.budget_window_s=10
bounds.retry_budget_extra=150
bounds.exposure_fraction=0.1
bounds.exposure_tolerance=50
bounds.rollback_timeout_ms=5000
bounds.recovery_time_s=12
bounds.event_delay_ms=120
bounds.retry_after_s=10
platform.address=127.0.0.1:{store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_retention_s=20
platform.max_value_bytes=1048576
platform.min_ttl_ms=1000
"""


def server_entry(service, port, zone, name_state='ready', version='v1'):
    """Return what a plain replica writes about itself."""
    return {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'availability_zone': zone,
        'version': version,
        'capacity_slots': 6,
        'state': name_state,
        'cold_remaining_ms': 0,
        'sequence_number': 1,
        'born': int(time.time() * 1000),
    }


class Head:
    """The head of a request or response."""

    def __init__(self, raw):
        lines = raw.split(b'\r\n')
        self.first = lines[0].decode('latin-1')
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(b':')
            self.fields[name.strip().lower().decode('latin-1')] = (
                value.strip().decode('latin-1')
            )

    def get(self, name, default=''):
        """Return a field by its lower-case name."""
        return self.fields.get(name, default)


def read_head(connection, buffered=b''):
    """Return the next head and the bytes after it; None at the end."""
    while b'\r\n\r\n' not in buffered:
        received = connection.recv(65536)
        if not received:
            return None, buffered
        buffered += received
    raw, _, rest = buffered.partition(b'\r\n\r\n')
    return Head(raw), rest


def listen():
    """Return a listening socket of the loopback address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.bind(('127.0.0.1', 0))
    listener.listen(512)
    return listener


def new_folder():
    """Return a temporary folder that is removed at the end."""
    return tempfile.TemporaryDirectory(prefix='review-')
