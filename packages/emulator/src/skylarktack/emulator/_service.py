"""Stand-in for a plain service whose calls may not be repeated."""

import collections
import dataclasses
import json
import threading
import time

from skylarktack import state
from skylarktack.emulator import _http_stand_in


@dataclasses.dataclass(frozen=True)
class ServiceFaults:
    """Faults of the service, switched by its control endpoint."""

    #: Delay before each answer, after the call was executed.
    delay_ms: int = 0

    #: Calls, counted down, that are executed without an answer.
    lose_answers_count: int = 0

    #: Calls, counted down, that are answered by status 500 unexecuted.
    fail_count: int = 0

    #: Whether calls hang after they were executed.
    hang: bool = False

    #: Whether the service can tell the outcome of a key.
    tells_outcome: bool = True


class ServiceServer(_http_stand_in.StandInServer):
    """A service that counts the executions of each key."""

    def __init__(self, listen: state.Address) -> None:
        self.lock = threading.Lock()
        self.executions: collections.Counter[str] = collections.Counter()
        self.answers: dict[str, bytes] = {}
        self.request_count = 0
        self.faults = ServiceFaults()
        super().__init__((listen.host, listen.port), _Handler)

    def take_fault(self, field: str) -> bool:
        """Count one fault down; return whether there was one."""
        with self.lock:
            left: int = getattr(self.faults, field)
            if not left:
                return False
            self.faults = dataclasses.replace(
                self.faults,
                **{field: left - 1},  # type: ignore[arg-type]
            )
            return True


class _Handler(_http_stand_in.StandInHandler):
    server: ServiceServer

    def do_GET(self) -> None:
        if self.route == '/control/executions':
            with self.server.lock:
                found = dict(self.server.executions)
            self.answer_json(200, found)
            return
        if self.route == '/control/requests':
            with self.server.lock:
                count = self.server.request_count
            self.answer_json(200, {'request_count': count})
            return
        if self.route == '/outcome':
            self._outcome()
            return
        if self.route == '/v1/load':
            self.answer_json(200, {'running_count': 0})
            return
        with self.server.lock:
            self.server.request_count += 1
        if self._fault():
            return
        self.answer_json(200, {'path': self.path, 'stock_count': 12})

    def do_POST(self) -> None:
        body = self.body()
        if self.route == '/control':
            self.server.faults = dataclasses.replace(
                self.server.faults, **json.loads(body or b'{}')
            )
            self.answer()
            return
        with self.server.lock:
            self.server.request_count += 1
        if self.server.take_fault('fail_count'):
            self.answer_json(500, {})
            return
        key = self.headers.get('Idempotency-Key', '')
        with self.server.lock:
            self.server.executions[key] += 1
            answer = json.dumps(
                {'booked': True, 'execution': self.server.executions[key]}
            ).encode()
            self.server.answers[key] = answer
        if self._fault():
            return
        self.answer(201, answer)

    def _fault(self) -> bool:
        faults = self.server.faults
        if faults.delay_ms:
            time.sleep(faults.delay_ms / 1000)
        while self.server.faults.hang:
            time.sleep(0.05)
        if self.server.take_fault('lose_answers_count'):
            self.drop_connection()
            return True
        return False

    def _outcome(self) -> None:
        if not self.server.faults.tells_outcome:
            self.answer_json(501, {})
            return
        key = self.headers.get('Idempotency-Key', '')
        with self.server.lock:
            answer = self.server.answers.get(key)
        if answer is None:
            self.answer_json(404, {})
            return
        self.answer(200, answer, (('Outcome-Status', '201'),))
