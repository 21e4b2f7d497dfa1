"""Dispatch of a call under a claim that this instance holds."""

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

#: Most targets tried under one claim; each but the last is certain not to
#: have got the call.
TARGET_COUNT = 3

#: Longest wait for one answer to such a question.
_ASK_TIMEOUT_S = 0.5

_LOG = structlog.get_logger(part='once')


@dataclasses.dataclass(frozen=True)
class AtMostOnceDependencies:
    """What calls that may not be repeated need."""

    #: Name of this instance.
    instance: state.InstanceName

    #: Settings of claims.
    settings: state.ClaimSettings

    #: Claims on keys.
    claims: _table.ClaimTable

    #: Plain services.
    services: ports.ServiceClient

    #: Choice of targets.
    selector: ports.TargetSelector

    #: Shares of two versions.
    versions: ports.VersionSelector

    #: Bound of further attempts.
    retry_budget: ports.RetryBudget

    #: Takes evidence.
    outcomes: ports.OutcomeObserver

    #: Time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics


class Dispatcher:
    """Sends a claimed call at most once and records what became of it."""

    def __init__(self, parts: AtMostOnceDependencies) -> None:
        self._parts = parts
        self._clock = parts.clock

    def select(
        self, call: state.ServiceCall, excluded: tuple[state.TargetName, ...]
    ) -> Result[state.Target, state.Refusal]:
        """Choose a target and count the call as in flight there."""
        return self._parts.selector.assign(
            ports.SelectionRequest(
                request_id=call.request_id,
                route=call.route,
                organisation=call.organisation,
                version=self._parts.versions.version_for(
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
        """Dispatch to a target that the claim names already."""
        self._parts.retry_budget.record_request(call.organisation)
        while True:
            if self._is_late(started_s):
                # The instance was paused, and others may have given the
                # claim up. Nothing was sent, so the refusal is true.
                self._parts.selector.release(target.name)
                self.release(record)
                return Error(_refusals.claim_late())
            answered = self._send(call, record, target)
            if answered.is_ok():
                self.record_answer(record, answered.ok)
                return Ok(answered.ok)
            fault = answered.error
            if fault.run is not state.RunState.NOT_RUN:
                return self._settle_lost(record, target)
            further = self._further_target(call, record)
            if further is None:
                self.release(record)
                return Error(_refusals.target_unreachable(fault))
            target = further
            started_s = self._clock.monotonic_s()
            named = self._name_target(record, target)
            if named is None:
                self._parts.selector.release(target.name)
                self.release(record)
                return Error(_refusals.store_unavailable())
            record = named

    def run_next(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        target: state.Target,
        started_s: float,
    ) -> _in_flight.CallResult:
        """Dispatch to a target that the claim does not name yet."""
        named = self._name_target(record, target)
        if named is None:
            self._parts.selector.release(target.name)
            self.release(record)
            return Error(_refusals.store_unavailable())
        return self.run(call, named, target, started_s)

    def release(self, record: state.ClaimRecord) -> None:
        """Give a claim back under which nothing was or will be sent."""
        self._parts.claims.propose_later(
            self._changed(record, state.ClaimPhase.RELEASED)
        )

    def record_answer(
        self, record: state.ClaimRecord, answer: state.ServiceResponse
    ) -> None:
        """Record the answer; the caller does not wait for the write."""
        kept: state.ServiceResponse | None = answer
        if len(answer.body) > self._parts.settings.answer_limit_bytes:
            kept = None
        self._parts.claims.propose_later(
            dataclasses.replace(
                self._changed(record, state.ClaimPhase.ANSWERED), answer=kept
            )
        )

    def record_unknown(self, record: state.ClaimRecord) -> None:
        """Record that the outcome was lost."""
        self._parts.metrics.count('once.unknown')
        _LOG.warning(
            'outcome of a call is unknown',
            organisation=record.key.organisation,
            key=record.key.key,
            claim_id=record.claim_id,
        )
        self._parts.claims.propose_later(
            self._changed(record, state.ClaimPhase.UNKNOWN)
        )

    def outcome(
        self, record: state.ClaimRecord, target: state.Target
    ) -> state.ServiceResponse | None:
        """Ask a target for the recorded outcome of a key.

        A target that did not run the call yet may still do so, which is
        why its denial settles nothing.
        """
        asked = self._parts.services.outcome(
            target, target_idempotency_key(record.key), _ASK_TIMEOUT_S
        )
        return asked.ok if asked.is_ok() else None

    def _send(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        target: state.Target,
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        started_s = self._clock.monotonic_s()
        try:
            answered = self._parts.services.call(
                target,
                dataclasses.replace(
                    call, idempotency_key=target_idempotency_key(record.key)
                ),
                call.route.call_timeout_ms / 1000,
            )
        finally:
            self._parts.selector.release(target.name)
        duration_ms = (self._clock.monotonic_s() - started_s) * 1000
        self._parts.outcomes.observe(
            state.TargetOutcome(
                target=target.name,
                route=call.route.name,
                version=self._parts.versions.version_for(
                    call.route, call.request_id
                ),
                organisation=call.organisation,
                kind=outcome_kind(answered),
                first_token_ms=duration_ms if answered.is_ok() else None,
                inter_token_ms=None,
                duration_ms=duration_ms,
            )
        )
        return answered

    def _settle_lost(
        self, record: state.ClaimRecord, target: state.Target
    ) -> _in_flight.CallResult:
        never = threading.Event()
        for delay_ms in self._parts.settings.ask_delays_ms:
            self._clock.wait(never, delay_ms / 1000)
            found = self.outcome(record, target)
            if found is not None:
                self._parts.metrics.count('once.outcomes_recovered')
                self.record_answer(record, found)
                return Ok(found)
        self.record_unknown(record)
        return Error(_refusals.outcome_unknown())

    def _further_target(
        self, call: state.ServiceCall, record: state.ClaimRecord
    ) -> state.Target | None:
        if len(record.targets) >= TARGET_COUNT:
            return None
        if not self._parts.retry_budget.try_spend(call.organisation):
            return None
        chosen = self.select(call, record.targets)
        return chosen.ok if chosen.is_ok() else None

    def _name_target(
        self, record: state.ClaimRecord, target: state.Target
    ) -> state.ClaimRecord | None:
        """Add a target to the claim, so that others can ask it."""
        proposed = dataclasses.replace(
            record, targets=(*record.targets, target.name)
        )
        written = self._parts.claims.propose(
            proposed, self._parts.settings.claim_timeout_ms / 1000
        )
        if written.is_error() or written.ok != proposed:
            return None
        return proposed

    def _is_late(self, started_s: float) -> bool:
        limit_s = 2 * self._parts.settings.claim_timeout_ms / 1000
        return self._clock.monotonic_s() - started_s > limit_s

    def _changed(
        self, record: state.ClaimRecord, phase: state.ClaimPhase
    ) -> state.ClaimRecord:
        return dataclasses.replace(
            record, phase=phase, changed_s=self._clock.wall_s()
        )


def target_idempotency_key(key: state.ClaimKey) -> str:
    """Return the key that targets see, distinct for each organisation."""
    organisation = urllib.parse.quote(key.organisation, safe='')
    return f'{organisation}:{urllib.parse.quote(key.key, safe="")}'


def outcome_kind(
    answered: Result[state.ServiceResponse, state.DispatchFault],
) -> state.OutcomeKind:
    """Return how an attempt on a service ended."""
    if answered.is_ok():
        if answered.ok.status >= 500:
            return state.OutcomeKind.ERROR
        return state.OutcomeKind.SUCCESS
    if answered.error.timed_out:
        return state.OutcomeKind.SILENT
    if answered.error.run is state.RunState.NOT_RUN:
        return state.OutcomeKind.REFUSED
    return state.OutcomeKind.CONNECTION_LOST
