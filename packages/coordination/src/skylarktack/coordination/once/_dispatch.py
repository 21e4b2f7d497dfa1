"""Dispatches a call under a claim that this instance holds."""

import dataclasses
import threading
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.once import _in_flight
from skylarktack.coordination.once import _refusals
from skylarktack.coordination.once import _table

#: Maximum targets tried under one claim. The next target is tried only if
#: the previous one certainly did not receive the call.
MAX_TARGET_COUNT = 3

#: Timeout of one outcome query to a target.
_OUTCOME_QUERY_TIMEOUT_S = 0.5

_LOG = structlog.get_logger(part='once')


@dataclasses.dataclass(frozen=True)
class AtMostOnceDependencies:
    """Dependencies of the at-most-once runner and dispatcher."""

    #: This instance, recorded as the holder of its claims.
    instance: state.InstanceName

    settings: state.ClaimSettings

    claims: _table.ClaimTable

    #: Client of the services that run the calls.
    services: ports.ServiceClient

    selector: ports.TargetSelector

    #: Selects the version that serves a request.
    versions: ports.VersionSelector

    #: Limits the attempts after the first.
    retry_budget: ports.RetryBudget

    #: Receives the outcome of each attempt.
    outcomes: ports.OutcomeObserver

    clock: ports.Clock

    metrics: ports.Metrics


class Dispatcher:
    """Sends a claimed call at most once and records its outcome."""

    def __init__(self, dependencies: AtMostOnceDependencies) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock

    def select(
        self, call: state.ServiceCall, excluded: tuple[state.TargetName, ...]
    ) -> Result[state.Target, state.Refusal]:
        """Select a target and count the call as in flight on it."""
        return self._dependencies.selector.assign(
            ports.SelectionRequest(
                request_id=call.request_id,
                route=call.route,
                organisation=call.organisation,
                version=self._dependencies.versions.version_for(
                    call.route, call.request_id
                ),
                excluded=excluded,
            )
        )

    def run(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        target: state.Target,
        started_s: float,
    ) -> _in_flight.CallResult:
        """Dispatch to a target that is already listed in the claim."""
        self._dependencies.retry_budget.record_request(call.organisation)
        while True:
            if self._is_claim_stale(started_s):
                # The instance was paused, and others may regard the claim
                # as abandoned. Nothing was sent, so refusing the call as
                # not executed is correct.
                self._dependencies.selector.release(target.name)
                self.release(record)
                return Error(_refusals.dispatch_deadline_passed())
            result = self._send(call, record, target)
            if result.is_ok():
                self.record_response(record, result.ok)
                return Ok(result.ok)
            fault = result.error
            if fault.run is not state.RunState.NOT_RUN:
                return self._resolve_lost_outcome(record, target)
            next_target = self._next_target(call, record)
            if next_target is None:
                self.release(record)
                return Error(_refusals.target_unreachable(fault))
            target = next_target
            started_s = self._clock.monotonic_s()
            updated = self._add_target(record, target)
            if updated is None:
                self._dependencies.selector.release(target.name)
                self.release(record)
                return Error(_refusals.store_unavailable())
            record = updated

    def run_on_new_target(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        target: state.Target,
        started_s: float,
    ) -> _in_flight.CallResult:
        """Add the target to the claim, then dispatch to it."""
        updated = self._add_target(record, target)
        if updated is None:
            self._dependencies.selector.release(target.name)
            self.release(record)
            return Error(_refusals.store_unavailable())
        return self.run(call, updated, target, started_s)

    def release(self, record: state.ClaimRecord) -> None:
        """Release a claim under which nothing was or will be sent."""
        self._dependencies.claims.propose_in_background(
            self._with_phase(record, state.ClaimPhase.RELEASED)
        )

    def record_response(
        self, record: state.ClaimRecord, response: state.ServiceResponse
    ) -> None:
        """Record the response without waiting for the write."""
        stored_response: state.ServiceResponse | None = response
        if len(response.body) > self._dependencies.settings.answer_limit_bytes:
            stored_response = None
        self._dependencies.claims.propose_in_background(
            dataclasses.replace(
                self._with_phase(record, state.ClaimPhase.ANSWERED),
                answer=stored_response,
            )
        )

    def record_unknown(self, record: state.ClaimRecord) -> None:
        """Record that the outcome of the call is unknown."""
        self._dependencies.metrics.count('once.unknown')
        _LOG.warning(
            'call outcome unknown; no target reported one',
            organisation=record.key.organisation,
            key=record.key.key,
            claim_id=record.claim_id,
        )
        self._dependencies.claims.propose_in_background(
            self._with_phase(record, state.ClaimPhase.UNKNOWN)
        )

    def query_outcome(
        self, record: state.ClaimRecord, target: state.Target
    ) -> state.ServiceResponse | None:
        """Ask a target for the recorded outcome of a call.

        None does not prove that the call was not executed: a target that
        has not executed it yet may still do so.
        """
        result = self._dependencies.services.outcome(
            target,
            target_idempotency_key(record.key),
            _OUTCOME_QUERY_TIMEOUT_S,
        )
        return result.ok if result.is_ok() else None

    def _send(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        target: state.Target,
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        started_s = self._clock.monotonic_s()
        try:
            result = self._dependencies.services.call(
                target,
                dataclasses.replace(
                    call, idempotency_key=target_idempotency_key(record.key)
                ),
                call.route.call_timeout_ms / 1000,
            )
        finally:
            self._dependencies.selector.release(target.name)
        duration_ms = (self._clock.monotonic_s() - started_s) * 1000
        self._dependencies.outcomes.observe(
            state.TargetOutcome(
                target=target.name,
                route=call.route.name,
                version=self._dependencies.versions.version_for(
                    call.route, call.request_id
                ),
                organisation=call.organisation,
                kind=outcome_kind(result),
                first_token_ms=duration_ms if result.is_ok() else None,
                inter_token_ms=None,
                duration_ms=duration_ms,
            )
        )
        return result

    def _resolve_lost_outcome(
        self, record: state.ClaimRecord, target: state.Target
    ) -> _in_flight.CallResult:
        never_set = threading.Event()
        for delay_ms in self._dependencies.settings.ask_delays_ms:
            self._clock.wait(never_set, delay_ms / 1000)
            response = self.query_outcome(record, target)
            if response is not None:
                self._dependencies.metrics.count('once.outcomes_recovered')
                self.record_response(record, response)
                return Ok(response)
        self.record_unknown(record)
        return Error(_refusals.outcome_unknown())

    def _next_target(
        self, call: state.ServiceCall, record: state.ClaimRecord
    ) -> state.Target | None:
        if len(record.targets) >= MAX_TARGET_COUNT:
            return None
        if not self._dependencies.retry_budget.try_spend(call.organisation):
            return None
        chosen = self.select(call, record.targets)
        return chosen.ok if chosen.is_ok() else None

    def _add_target(
        self, record: state.ClaimRecord, target: state.Target
    ) -> state.ClaimRecord | None:
        """Add a target to the claim, so that other instances can query it."""
        proposed = dataclasses.replace(
            record, targets=(*record.targets, target.name)
        )
        written = self._dependencies.claims.propose(
            proposed, self._dependencies.settings.claim_timeout_ms / 1000
        )
        if written.is_error() or written.ok != proposed:
            return None
        return proposed

    def _is_claim_stale(self, started_s: float) -> bool:
        limit_s = 2 * self._dependencies.settings.claim_timeout_ms / 1000
        return self._clock.monotonic_s() - started_s > limit_s

    def _with_phase(
        self, record: state.ClaimRecord, phase: state.ClaimPhase
    ) -> state.ClaimRecord:
        return dataclasses.replace(
            record, phase=phase, changed_s=self._clock.wall_s()
        )


def target_idempotency_key(key: state.ClaimKey) -> str:
    """Return the key sent to targets, distinct for each organisation."""
    organisation = urllib.parse.quote(key.organisation, safe='')
    return f'{organisation}:{urllib.parse.quote(key.key, safe="")}'


def outcome_kind(
    result: Result[state.ServiceResponse, state.DispatchFault],
) -> state.OutcomeKind:
    """Classify the result of an attempt on a service."""
    if result.is_ok():
        if result.ok.status >= 500:
            return state.OutcomeKind.ERROR
        return state.OutcomeKind.SUCCESS
    if result.error.timed_out:
        return state.OutcomeKind.UNRESPONSIVE
    if result.error.run is state.RunState.NOT_RUN:
        return state.OutcomeKind.REFUSED
    return state.OutcomeKind.CONNECTION_LOST
