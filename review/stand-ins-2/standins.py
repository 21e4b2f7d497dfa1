"""Stand-ins of the platform, its replicas and consumers, for the scripts.

They follow the platform's pages and use the standard library only. Everything
listens on loopback addresses.
"""

import collections
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
HOST = 'desk.example'
KEY = 'key-of-the-dealer'
TENANT = 'dealer'
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')


class CannotRun(Exception):
    """The case could not run."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def send_date_less(self, status, headers, body):
        lines = [f'HTTP/1.1 {status} {http.client.responses.get(status, "")}']
        lines += [f'{name}: {value}' for name, value in headers]
        lines.append(f'Content-Length: {len(body)}')
        self.wfile.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    def body(self):
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def cut(self, reset=True):
        """End the connection without an answer."""
        self.close_connection = True
        if reset:
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
            )
        else:
            self.connection.shutdown(socket.SHUT_RDWR)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.changed = threading.Condition()
        self.objects = {}
        self.events = []
        self.revision = 1
        self.log = []
        self.cuts = 0
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.write(self, 'POST')

            def do_PUT(self):
                store.write(self, 'PUT')

            def do_DELETE(self):
                store.write(self, 'DELETE')

        self.server = _Server(('127.0.0.1', 0), Handler)
        self.address = '127.0.0.1:%d' % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def answer(self, handler, status, content):
        body = json.dumps(content).encode()
        handler.send_date_less(
            status, [('Content-Type', 'application/json')], body
        )

    def get(self, handler):
        time.sleep(0.004)
        url = urllib.parse.urlsplit(handler.path)
        query = urllib.parse.parse_qs(url.query)
        parts = url.path.split('/')[2:]
        kind = parts[0]
        if len(parts) > 1:
            name = urllib.parse.unquote(parts[1])
            with self.changed:
                item = self.objects.get(kind, {}).get(name)
            self.answer(handler, 200 if item else 404, item or {})
            return
        if 'watch_stream' in query:
            since = int(query['watch_stream'][0])
            wait_s = int(query.get('wait_timeout_ms', ['0'])[0]) / 1000
            end_s = time.monotonic() + wait_s
            with self.changed:
                cuts = self.cuts
                while True:
                    if self.cuts != cuts:
                        found = None
                        break
                    found = [
                        {'object': item, 'deleted': deleted}
                        for revision, of, item, deleted in self.events
                        if revision > since and of == kind
                    ]
                    left_s = end_s - time.monotonic()
                    if found or left_s <= 0:
                        break
                    self.changed.wait(left_s)
                content = {'events': found, 'at': self.revision}
            if found is None:
                handler.cut(reset=False)
                return
            self.answer(handler, 200, content)
            return
        with self.changed:
            items = sorted(
                self.objects.get(kind, {}).values(),
                key=lambda item: item['metadata']['name'],
            )
            content = {'items': items, 'has_more': False, 'at': self.revision}
        self.answer(handler, 200, content)

    def write(self, handler, method):
        time.sleep(0.004)
        document = {}
        content = handler.body()
        if content:
            document = json.loads(content)
        url = urllib.parse.urlsplit(handler.path)
        parts = url.path.split('/')[2:]
        kind = parts[0]
        metadata = document.get('metadata') or {}
        name = metadata.get('name')
        if len(parts) > 1:
            name = urllib.parse.unquote(parts[1])
        expected = metadata.get('revision')
        query = urllib.parse.parse_qs(url.query)
        if 'revision' in query:
            expected = int(query['revision'][0])
        with self.changed:
            held = self.objects.get(kind, {}).get(name)
            if method == 'POST':
                if held is not None:
                    status, item = 409, held
                else:
                    status = 201
                    item = self._put(kind, name, document.get('specification'))
            elif held is None:
                status, item = 404, {}
            elif expected not in (None, held['metadata']['revision']):
                status, item = 409, held
            elif method == 'DELETE':
                status, item = 200, self._remove(kind, name)
            elif parts[2:] == ['status']:
                status = 200
                item = self._put_status(kind, name, document.get('status'))
            else:
                status = 200
                item = self._put(kind, name, document.get('specification'))
        self.answer(handler, status, item)

    def cut_watches(self):
        """Cut off the watches that wait; new ones are served at once."""
        with self.changed:
            self.cuts += 1
            self.changed.notify_all()

    def put(self, kind, name, specification):
        """Write an object as the operator or a replica does."""
        with self.changed:
            return self._put(kind, name, specification)

    def remove(self, kind, name):
        with self.changed:
            if name in self.objects.get(kind, {}):
                self._remove(kind, name)

    def status_of(self, kind, name):
        with self.changed:
            held = self.objects.get(kind, {}).get(name) or {}
            return held.get('status') or {}

    def _put(self, kind, name, specification):
        held = self.objects.setdefault(kind, {}).get(name)
        if held is not None and _is_same(held['specification'], specification):
            return held
        status = held['status'] if held else {}
        return self._set(kind, name, specification, status)

    def _put_status(self, kind, name, status):
        held = self.objects[kind][name]
        if held['status'] == status:
            return held
        self.log.append((time.monotonic(), kind, name, status))
        return self._set(kind, name, held['specification'], status)

    def _set(self, kind, name, specification, status):
        self.revision += 1
        item = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created_at': 1,
                'finalizers': [],
                'deletion_pending': False,
            },
            'specification': specification,
            'status': status,
        }
        self.objects.setdefault(kind, {})[name] = item
        self.events.append((self.revision, kind, item, False))
        self.changed.notify_all()
        return item

    def _remove(self, kind, name):
        item = self.objects[kind].pop(name)
        self.revision += 1
        self.events.append((self.revision, kind, item, True))
        self.changed.notify_all()
        return item


def _is_same(known, new):
    """Return whether two values differ in no more than the sequence."""
    if not isinstance(known, dict) or not isinstance(new, dict):
        return known == new
    return known == new | {
        name: known[name] for name in ('sequence_number',) if name in known
    }


Run = collections.namedtuple('Run', 'at_s replica version attempt path status')


class Replica:
    """One replica; ``serve`` decides what a request that it accepts gets."""

    numbers = iter(range(1, 100000))

    def __init__(self, store, service, zone, version='v1', slots=6):
        self.store = store
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.running = threading.Semaphore(slots)
        self.active = 0
        self.lock = threading.Lock()
        self.runs = []
        self.state = 'ready'
        self.sequence = 0
        self.is_up = True
        self.name = 'i-%08x' % next(Replica.numbers)
        self.born = int(time.time() * 1000)
        #: Called with the handler and its run; answers the request.
        self.work = None
        replica = self

        class Handler(_Handler):
            def do_GET(self):
                replica.handle(self)

            def do_POST(self):
                replica.handle(self)

            def do_DELETE(self):
                self.body()
                self.send_date_less(404, [], b'')

        self.server = _Server(('127.0.0.1', 0), Handler)
        self.address = '127.0.0.1:%d' % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.enter()
        threading.Thread(target=self._beat, daemon=True).start()

    def enter(self):
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'availability_zone': self.zone,
            'version': self.version,
            'capacity_slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence_number': self.sequence,
            'born': self.born,
        }
        if self.service == 'pool':
            entry['inference_stage'] = 'colocated'
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        self.store.put('servers', self.name, entry)

    def _beat(self):
        while self.is_up:
            time.sleep(1.2)
            if self.is_up:
                self.enter()

    def stop(self):
        """End at once: connections are refused and the entry is removed."""
        self.is_up = False
        self.server.shutdown()
        self.server.server_close()
        self.store.remove('servers', self.name)

    def load(self):
        return ('Replica-Load', f'{self.active},0,{self.slots}')

    def handle(self, handler):
        path = handler.path
        if path == '/report':
            handler.send_date_less(
                200,
                [('Content-Type', 'application/json')],
                json.dumps(
                    {
                        'inference_stage': 'colocated',
                        'models': [],
                        'busy': False,
                        'sequence_number': 0,
                        'queued_requests': 0,
                        'active_requests': self.active,
                        'kv_used_tokens': 0,
                        'kv_total_tokens': 88000,
                        'kv_handles': 0,
                        'born': self.born,
                    }
                ).encode(),
            )
            return
        if path in ('/healthz', '/kv-list') or path.startswith('/kv-'):
            handler.body()
            handler.send_date_less(
                404 if path != '/healthz' else 200,
                [('Replica-Id', self.name), self.load()],
                b'',
            )
            return
        handler.body()
        attempt = handler.headers.get('Attempt-Id') or ''
        expected = handler.headers.get('Expected-Replica')
        refusal = [('Attempt-Id', attempt), ('Not-Executed', '1')]
        if expected not in (None, self.name):
            handler.send_date_less(421, refusal, b'')
            return
        if not attempt:
            handler.send_date_less(400, [('Not-Executed', '1')], b'')
            return
        if handler.headers.get('Kv-From'):
            handler.send_date_less(503, refusal, b'')
            return
        if not self.running.acquire(timeout=0.3):
            handler.send_date_less(503, refusal, b'')
            return
        with self.lock:
            self.active += 1
        try:
            self.work(self, handler, attempt)
        except OSError:
            handler.close_connection = True
        finally:
            with self.lock:
                self.active -= 1
            self.running.release()

    def record(self, attempt, path, status):
        with self.lock:
            self.runs.append(
                Run(
                    time.monotonic(),
                    self.name,
                    self.version,
                    attempt,
                    path,
                    status,
                )
            )

    def signed(self, attempt):
        return [
            ('Attempt-Id', attempt),
            ('Replica-Signature', f'{self.name}.{attempt}'),
            self.load(),
        ]


def events_of(handler, replica, attempt, first, last, pace_s=0.01):
    """Answer with the events of a stream, from the first to the last."""
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines.append('Transfer-Encoding: chunked')
    lines += [f'{name}: {value}' for name, value in replica.signed(attempt)]
    handler.wfile.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
    for number in range(first, last + 1):
        event = f'id: {number}\ndata: word{number}\n\n'.encode()
        handler.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        handler.wfile.flush()
        time.sleep(pace_s)
    handler.wfile.write(b'0\r\n\r\n')


#: Ports below those that the system gives to outgoing connections.
PORTS = range(20000, 32000)
_given_ports = set()


def free_port():
    """Return a port that nothing on this machine uses."""
    while True:
        port = random.choice(PORTS)
        if port in _given_ports:
            continue
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                probe = stack.enter_context(
                    socket.socket(socket.AF_INET, kind)
                )
                probe.bind(('127.0.0.1', port))
            _given_ports.add(port)
            return port


class Instance:
    """An entry instance, started as the deploy file says."""

    def __init__(self, name, zone, folder, store_address, extra=()):
        self.name = name
        self.path = pathlib.Path(folder) / f'{name}.conf'
        self.front = free_port()
        self.ready = free_port()
        self.metrics = free_port()
        peer = free_port()
        lines = [
            f'node_name={name}',
            'node_role=entry',
            'machine_class=edge',
            'served_roles=edge',
            'ip_address=127.0.0.1',
            f'availability_zone={zone}',
            'cloud_region=main',
            *(f'zones.{each}=main' for each in ZONES),
            f'listen_addresses.frontend=127.0.0.1:{self.front}',
            f'listen_addresses.ready=127.0.0.1:{self.ready}',
            f'internal_port_range={peer},{peer}',
            'bootstrap=true',
            'limits.cpu_fraction=0.537',
            'limits.cpu_cores=2',
            'limits.memory_limit_mb=300',
            'limits.file_descriptors=4100',
            'limits.link_speed_mbps=1000.0',
            'limits.disk_size_mb=0',
            'discovery_source=platform',
            'entry_kind=virtual_ip',
            'heartbeat_interval_ms=1200',
            'contracts=base,drain,config,cost,retry,recover,engine,stream,'
            'tenants,rollout,platform',
            'bounds.seed_lag_s=3',
            'bounds.address_reuse_s=2',
            'bounds.contact_window_ms=3000',
            'bounds.ack_timeout_ms=4000',
            'bounds.catch_up_s=4',
            'bounds.drain_timeout_ms=2000',
            'bounds.grace_period_s=8',
            'bounds.loss_slack_ms=200',
            'bounds.config_apply_ms=2000',
            'bounds.rollback_slack_ms=250',
            'bounds.partition_stretch_ms=5000',
            'bounds.strict_revocation=false',
            'bounds.revocation_ms=5000',
            'bounds.retry_budget_ratio=0.8',
            'bounds.budget_window_s=10',
            'bounds.retry_budget_extra=150',
            'bounds.exposure_fraction=0.1',
            'bounds.exposure_tolerance=50',
            'bounds.rollback_timeout_ms=5000',
            'bounds.recovery_time_s=12',
            'bounds.event_delay_ms=120',
            'bounds.retry_after_s=10',
            f'platform.address={store_address}',
            'platform.form=objects',
            'platform.writes_per_s=400',
            'platform.reads_per_s=2000',
            'platform.history_retention_s=20',
            'platform.max_value_bytes=1048576',
            'platform.min_ttl_ms=1000',
            *extra,
        ]
        self.path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
        self.log_path = pathlib.Path(folder) / f'{name}.log'
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['SKYLARKTACK_CONFIG'] = str(self.path)
        environment['PYTHONPATH'] = str(DEPS)
        self.process = subprocess.Popen(
            [
                'python3',
                '-m',
                'skylarktack.daemon.forwarding',
                f'--metrics-port={self.metrics}',
            ],
            cwd=ROOT,
            env=environment,
            stdout=open(self.log_path, 'ab'),
            stderr=subprocess.STDOUT,
        )

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(
                '127.0.0.1', self.ready, timeout=1
            )
            connection.request('GET', '/readiness')
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def log_lines(self):
        lines = []
        for text in self.log_path.read_text(errors='replace').splitlines():
            try:
                lines.append(json.loads(text))
            except ValueError:
                continue
        return lines


class Fleet:
    """Instances, stopped at the end whatever happens."""

    def __init__(self, store, count):
        self.folder = tempfile.mkdtemp(prefix='skylarktack-review-')
        self.instances = [
            Instance(
                f'edge-{number}',
                ZONES[number % len(ZONES)],
                self.folder,
                store.address,
            )
            for number in range(count)
        ]

    def __enter__(self):
        if not (DEPS / 'skylarktack').is_dir():
            raise CannotRun('target/deps is not built')
        for instance in self.instances:
            instance.start()
        end_s = time.monotonic() + 20
        for instance in self.instances:
            while not instance.is_ready():
                if time.monotonic() > end_s:
                    self.__exit__()
                    raise CannotRun(f'{instance.name} did not get ready')
                time.sleep(0.1)
        return self

    def __exit__(self, *_):
        for instance in self.instances:
            instance.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **more):
    is_stream = kind == 'streaming'
    values = {
        'name': name,
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_kind': kind,
        'timeout_ms': 25000 if is_stream else 800,
        'target_latency_ms': 4500 if is_stream else 125,
        'service': service,
        'max_attempts': 1 if kind == 'non_idempotent' else 5,
        'priority': 1 if is_stream else 2,
        'anonymous': False,
        'stream_resumption': is_stream,
    }
    if is_stream:
        values['gap_target_ms'] = 700
    if kind == 'idempotent':
        values['max_attempts'] = 2
    return values | more


def manifest(version, routes):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'pool',
                'connection_limit': 150,
                'health_path': '/healthz',
                'inference_engine': {
                    'capacity_slots': 12,
                    'kv_capacity_tokens': 88000,
                },
            },
            {
                'name': 'desk',
                'connection_limit': 100,
                'health_path': '/healthz',
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY]}],
    }


def call(instance, path, attempt, headers=(), limit_ms=1500, method='POST'):
    """Send one attempt of a consumer; return status, body and headers.

    The status is None if the connection ended without a whole answer.
    """
    connection = http.client.HTTPConnection(
        '127.0.0.1', instance.front, timeout=limit_ms / 1000
    )
    sent = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': str(limit_ms),
        'Key': KEY,
        **dict(headers),
    }
    try:
        connection.request(method, path, b'x' * 60, sent)
        response = connection.getresponse()
        body = response.read()
        return response.status, body, dict(response.getheaders())
    except (OSError, http.client.HTTPException) as error:
        return None, repr(error).encode(), {}
    finally:
        connection.close()


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.lines = []
        self.lock = threading.Lock()
        self.began_s = time.monotonic()

    def add(self, text, at_s=None):
        at_s = time.monotonic() if at_s is None else at_s
        with self.lock:
            self.lines.append((at_s, text))

    def write(self):
        with self.lock:
            lines = sorted(self.lines)
        self.path.write_text(
            ''.join(
                f'{at_s - self.began_s:8.3f} {text}\n' for at_s, text in lines
            ),
            encoding='utf-8',
        )


def main(play):
    """Run a case: ``play(record, with_trouble)`` returns whether it broke."""
    folder = pathlib.Path(sys.argv[1])
    record = Record(folder)
    with_trouble = os.environ.get('TROUBLE') != '0'
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        is_broken = play(record, with_trouble)
        record.add('result: rule broken' if is_broken else 'result: held')
        code = 1 if is_broken else 0
    except CannotRun as error:
        record.add(f'result: could not run: {error}')
        code = 2
    except BaseException as error:  # The stand-ins failed, not the rule.
        record.add(f'result: could not run: {error!r}')
        code = 2
    record.write()
    print(record.lines[-1][1], flush=True)
    os._exit(code)
