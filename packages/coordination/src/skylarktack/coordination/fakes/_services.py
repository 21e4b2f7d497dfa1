"""In-memory services that count the executions of each call."""

import collections
import dataclasses
import threading

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class ServiceMisbehaviour:
    """Faults of all services of one test.

    Each count is the number of further calls with the fault and decreases
    with each of them.
    """

    #: Calls that do not reach a target.
    refuse_count: int = 0

    #: Calls that are executed and whose response is lost.
    lose_answer_count: int = 0

    #: Calls that are executed only after their connection was lost.
    late_execution_count: int = 0

    #: Delay of late executions, in seconds.
    late_s: float = 0.05

    #: Whether services can report the outcome of an idempotency key.
    tells_outcome: bool = True

    #: Whether calls whose response is lost are reported as not executed. This
    #: is a client bug; a real client must report them as unknown.
    claims_not_run: bool = False


class MemoryServices:
    """A ``ServiceClient`` whose targets share their stored responses."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.faults = ServiceMisbehaviour()
        self.executions: collections.Counter[str] = collections.Counter()
        self.executed_requests: set[state.RequestId] = set()
        self._responses: dict[str, state.ServiceResponse] = {}

    def call(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Execute the call, subject to the faults that are set."""
        if self._consume_fault('refuse_count'):
            return Error(
                state.DispatchFault(
                    state.RunState.NOT_RUN, 'service unavailable'
                )
            )
        run = state.RunState.UNKNOWN
        if self.faults.claims_not_run:
            run = state.RunState.NOT_RUN
        if self._consume_fault('late_execution_count'):
            threading.Timer(self.faults.late_s, self.execute, (call,)).start()
            return Error(state.DispatchFault(run, 'connection lost'))
        response = self.execute(call)
        if self._consume_fault('lose_answer_count'):
            return Error(state.DispatchFault(run, 'connection lost'))
        return Ok(response)

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceResponse | None, state.DispatchFault]:
        """Return the response of an executed key, or None."""
        if not self.faults.tells_outcome:
            return Error(
                state.DispatchFault(state.RunState.UNKNOWN, 'outcome unknown')
            )
        with self._lock:
            return Ok(self._responses.get(idempotency_key))

    def execute(self, call: state.ServiceCall) -> state.ServiceResponse:
        """Execute the call each time that it arrives; keys are not checked."""
        key = call.idempotency_key or ''
        with self._lock:
            self.executions[key] += 1
            self.executed_requests.add(call.request_id)
            body = f'{key} execution {self.executions[key]}'
            response = state.ServiceResponse(201, (), body.encode())
            self._responses[key] = response
            return response

    def _consume_fault(self, field: str) -> bool:
        with self._lock:
            remaining: int = getattr(self.faults, field)
            if not remaining:
                return False
            self.faults = dataclasses.replace(
                self.faults,
                **{field: remaining - 1},  # type: ignore[arg-type]
            )
            return True
