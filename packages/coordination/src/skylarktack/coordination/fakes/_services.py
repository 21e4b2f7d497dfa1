"""Plain services in memory that count executions."""

import collections
import dataclasses
import threading

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class ServiceMisbehaviour:
    """Faults of all services of one test; counts are counted down."""

    #: Calls that reach no target.
    refuse_count: int = 0

    #: Calls that are executed without an answer.
    lose_answer_count: int = 0

    #: Calls that are executed only some time after their connection broke.
    late_execution_count: int = 0

    #: Delay of late executions.
    late_s: float = 0.05

    #: Whether services can tell the outcome of a key.
    tells_outcome: bool = True

    #: Whether lost answers are reported as not run; a fault of the client
    #: that no real one may have.
    claims_not_run: bool = False


class MemoryServices:
    """Implements ``ServiceClient`` for targets that share one memory."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.faults = ServiceMisbehaviour()
        self.executions: collections.Counter[str] = collections.Counter()
        self.executed_requests: set[state.RequestId] = set()
        self._answers: dict[str, state.ServiceResponse] = {}

    def call(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Execute the call."""
        if self._take('refuse_count'):
            return Error(state.DispatchFault(state.RunState.NOT_RUN, 'down'))
        run = state.RunState.UNKNOWN
        if self.faults.claims_not_run:
            run = state.RunState.NOT_RUN
        if self._take('late_execution_count'):
            threading.Timer(self.faults.late_s, self.execute, (call,)).start()
            return Error(state.DispatchFault(run, 'connection lost'))
        answer = self.execute(call)
        if self._take('lose_answer_count'):
            return Error(state.DispatchFault(run, 'connection lost'))
        return Ok(answer)

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceResponse | None, state.DispatchFault]:
        """Tell whether a key was executed."""
        if not self.faults.tells_outcome:
            return Error(
                state.DispatchFault(state.RunState.UNKNOWN, 'cannot tell')
            )
        with self._lock:
            return Ok(self._answers.get(idempotency_key))

    def execute(self, call: state.ServiceCall) -> state.ServiceResponse:
        """Run the call, as often as it arrives."""
        key = call.idempotency_key or ''
        with self._lock:
            self.executions[key] += 1
            self.executed_requests.add(call.request_id)
            body = f'{key} execution {self.executions[key]}'
            answer = state.ServiceResponse(201, (), body.encode())
            self._answers[key] = answer
            return answer

    def _take(self, field: str) -> bool:
        with self._lock:
            left: int = getattr(self.faults, field)
            if not left:
                return False
            self.faults = dataclasses.replace(
                self.faults,
                **{field: left - 1},  # type: ignore[arg-type]
            )
            return True
