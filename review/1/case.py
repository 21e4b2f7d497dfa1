"""A replica resets its answer while a long request is still being sent."""

import os
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: Replicas whose answers are reset, the share of their answers that are, and
#: the time for which this goes on.
RESETTING = frozenset(('i-0', 'i-1', 'i-2'))
REPLICA_COUNT = 5
RESET_EACH = frozenset((1,))
RESET_CYCLE = 20
RESET_FOR_S = 5.0
CALLER_COUNT = 6
BODY_BYTES = 4 * 1024 * 1024
ANSWER = b''.join(b'line %05d of the answer\n' % n for n in range(2000))
#: Part of the answer that is sent before the connection is reset.
SENT_FIRST = len(ANSWER) // 2


class Replica:
    """Answers before it has read the body; its answer has no length."""

    def __init__(self, name, record):
        self.name = name
        self._record = record
        self._listener = standins.listen()
        # Links have small windows; a peer that does not read blocks the
        # writer, whatever the system's buffers are.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.port = self._listener.getsockname()[1]
        self._answer_count = 0
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            head, rest = standins.read_head(connection)
            if head is None:
                return
            attempt = head.get('attempt-id')
            if head.get('expected-replica') != self.name:
                connection.sendall(
                    b'HTTP/1.1 421 Misdirected Request\r\n'
                    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
                )
                return
            self._record.note(f'replica {self.name} runs {attempt}')
            answer = (
                'HTTP/1.1 200 OK\r\n'
                f'Attempt-Id: {attempt}\r\n'
                f'Replica-Signature: {self.name}.{attempt}\r\n'
                'Content-Type: text/plain\r\n'
                'Connection: close\r\n\r\n'
            ).encode()
            connection.sendall(answer + ANSWER[:SENT_FIRST])
            time.sleep(0.03)
            if self._must_reset():
                # Closing with unread bytes resets the connection.
                self._record.note(
                    f'replica {self.name} resets {attempt} after '
                    f'{SENT_FIRST} of {len(ANSWER)} bytes of its answer'
                )
                return
            left = int(head.get('content-length')) - len(rest)
            while left > 0:
                left -= len(connection.recv(65536))
            connection.sendall(ANSWER[SENT_FIRST:])
            self._record.note(f'replica {self.name} has answered {attempt}')

    def _must_reset(self):
        with self._lock:
            self._answer_count += 1
            place = self._answer_count % RESET_CYCLE
        return (
            HAS_TROUBLE and self.name in RESETTING and place in RESET_EACH
        )


def ask(port, attempt):
    """Send one long request; return status, body and whether it is whole."""
    with socket.create_connection(('127.0.0.1', port), 5.0) as connection:
        connection.settimeout(15.0)
        head = (
            f'POST /summary/x HTTP/1.1\r\nHost: {standins.HOST}\r\n'
            f'Attempt-Id: {attempt}\r\nKey: {standins.KEY}\r\n'
            f'Deadline-Ms: 10000\r\nContent-Length: {BODY_BYTES}\r\n\r\n'
        ).encode()
        connection.sendall(head + b'x' * BODY_BYTES)
        found, body = standins.read_head(connection)
        if found is None:
            return 0, b'', False
        length = int(found.get('content-length', '0'))
        while len(body) < length:
            received = connection.recv(65536)
            if not received:
                break
            body += received
        return int(found.first.split()[1]), body, len(body) == length


def call(entry, first, end_s, record, results):
    """Send one request after the other."""
    number = first
    while time.monotonic() < end_s:
        attempt = f'{number:016x}'
        number += CALLER_COUNT
        record.note(f'caller sends {attempt}, {BODY_BYTES} bytes')
        try:
            status, body, is_whole = ask(entry.front_port, attempt)
        except OSError as error:
            record.note(f'caller of {attempt}: {error}')
            results.append('none')
            continue
        record.note(
            f'caller of {attempt} receives {status} with {len(body)} '
            f'bytes, complete by its length: {is_whole}'
        )
        if status != 200 or not is_whole:
            results.append('failed')
        elif body == ANSWER:
            results.append('whole')
        else:
            results.append('truncated')
            record.note('MIXED: this is not the whole body')


def main():
    """Play the case; return the exit code."""
    record = standins.Record(FOLDER / 'record.txt')
    store = standins.Store()
    route = standins.route('summary', 'non_idempotent', 'desk', 10000, 1000, 1)
    store.put('config', 'main', standins.manifest(7, [route]))
    for number in range(REPLICA_COUNT):
        replica = Replica(f'i-{number}', record)
        store.put(
            'servers',
            replica.name,
            standins.server_entry('desk', replica.port, 'zone-a'),
        )
    results = []
    with standins.new_folder() as folder:
        entry = standins.Entry('entry-1', 'zone-a', store.port, folder)
        entry.start()
        try:
            if not entry.wait_ready():
                record.note('the instance did not become ready')
                return standins.COULD_NOT_RUN
            time.sleep(3.5)
            end_s = time.monotonic() + RESET_FOR_S
            callers = []
            for first in range(CALLER_COUNT):
                caller = threading.Thread(
                    target=call, args=(entry, first, end_s, record, results)
                )
                caller.start()
                callers.append(caller)
            for caller in callers:
                caller.join()
        finally:
            entry.stop()
    counts = {kind: results.count(kind) for kind in sorted(set(results))}
    record.note(f'answers: {counts}')
    return standins.BROKEN if 'truncated' in counts else standins.HELD


sys.exit(main())
