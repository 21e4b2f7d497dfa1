"""Executes service calls at most once for each idempotency key."""

import dataclasses
import hashlib
import threading
import uuid

from expression import Error
from expression import Ok
import structlog

from skylarktack import state
from skylarktack.coordination.once import _dispatch
from skylarktack.coordination.once import _in_flight
from skylarktack.coordination.once import _refusals

#: Maximum length of an idempotency key.
MAX_KEY_CHARS = 255

#: First and longest interval between polls of another instance's claim.
_MIN_POLL_S = 0.02
_MAX_POLL_S = 0.25

#: Interval from which a poll reads the bucket from the store. Owners answer
#: earlier polls from their cache, which is stale if another instance wrote
#: the bucket.
_FORCE_READ_POLL_S = 0.08

_LOG = structlog.get_logger(part='once')


class AtMostOnceRunner:
    """Claims a key, dispatches the call at most once, records its outcome."""

    def __init__(self, dependencies: _dispatch.AtMostOnceDependencies) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._claims = dependencies.claims
        self._in_flight = _in_flight.InFlightCalls()
        self._dispatcher = _dispatch.Dispatcher(dependencies)
        self._claim_timeout_s = dependencies.settings.claim_timeout_ms / 1000

    def run(self, call: state.ServiceCall) -> _in_flight.CallResult:
        """Return the response to the first call with the key.

        A refusal describes this request only: ``not_run`` says nothing about
        earlier requests with the same key.
        """
        checked = _refusals.key_refusal(call.idempotency_key, MAX_KEY_CHARS)
        if checked is not None:
            return Error(checked)
        record = self._new_claim(call)
        deadline_s = self._clock.monotonic_s() + self._duplicate_timeout_s(
            call
        )
        while True:
            running, is_first = self._in_flight.enter(
                record.key, record.fingerprint
            )
            if is_first:
                return self._run_new(call, record)
            self._dependencies.metrics.count('once.duplicates_joined')
            left_s = deadline_s - self._clock.monotonic_s()
            if not running.ended.wait(max(0.0, left_s)):
                return Error(_refusals.outcome_unknown())
            if running.fingerprint != record.fingerprint:
                # The stored claim decides which request is the conflict.
                continue
            return running.result or Error(_refusals.outcome_unknown())

    def _run_new(
        self, call: state.ServiceCall, record: state.ClaimRecord
    ) -> _in_flight.CallResult:
        result: _in_flight.CallResult | None = None
        started_s = self._clock.monotonic_s()
        try:
            result = self._claim_and_run(call, record)
        finally:
            self._in_flight.leave(record.key, result)
        self._dependencies.metrics.duration(
            'once.call',
            call.organisation,
            (self._clock.monotonic_s() - started_s) * 1000,
        )
        if result.is_error():
            _LOG.info(
                'at-most-once call refused',
                request_id=call.request_id,
                code=result.error.code.value,
                run=result.error.run.value,
            )
        return result

    def _claim_and_run(
        self, call: state.ServiceCall, record: state.ClaimRecord
    ) -> _in_flight.CallResult:
        target = self._dispatcher.select(call, ())
        if target.is_ok():
            record = dataclasses.replace(record, targets=(target.ok.name,))
        started_s = self._clock.monotonic_s()
        # Claims even without a target: the key may have a recorded response.
        claimed = self._claims.propose(
            record,
            min(self._claim_timeout_s, call.route.queue_deadline_ms / 1000),
        )
        current = claimed.ok if claimed.is_ok() else None
        if current is not None and _is_held(current, record):
            if target.is_error():
                self._dispatcher.release(record)
                return Error(target.error)
            return self._dispatcher.run(call, current, target.ok, started_s)
        if target.is_ok():
            self._dependencies.selector.release(target.ok.name)
        if current is None:
            # A slow store may still write the claim after the timeout.
            self._dispatcher.release(record)
            self._dependencies.metrics.count('once.store_refusals')
            return Error(_refusals.store_unavailable())
        return self._follow_claim(call, record, current)

    def _follow_claim(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        current: state.ClaimRecord,
    ) -> _in_flight.CallResult:
        """Return the outcome of a claim held by another request."""
        if current.fingerprint != record.fingerprint:
            return Error(_refusals.key_conflict())
        if current.phase is state.ClaimPhase.CLAIMED:
            return self._poll_claim(call, record, current)
        if current.phase is state.ClaimPhase.UNKNOWN:
            return self._query_targets(call, current)
        return _refusals.final_result(current)

    def _poll_claim(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        current: state.ClaimRecord,
    ) -> _in_flight.CallResult:
        never_set = threading.Event()
        deadline_s = self._clock.monotonic_s() + self._duplicate_timeout_s(
            call
        )
        delay_s = _MIN_POLL_S
        while self._clock.monotonic_s() < deadline_s:
            self._clock.wait(never_set, delay_s)
            polled = self._claims.propose(
                dataclasses.replace(record, targets=()),
                self._claim_timeout_s,
                force_read=delay_s >= _FORCE_READ_POLL_S,
            )
            delay_s = min(_MAX_POLL_S, delay_s * 2)
            if polled.is_error() or polled.ok is None:
                self._dispatcher.release(record)
                # A released claim id cannot be claimed again.
                record = dataclasses.replace(record, claim_id=_claim_id())
                continue
            current = polled.ok
            if _is_held(current, record):
                return self._run_reclaimed(call, current)
            if current.phase is not state.ClaimPhase.CLAIMED:
                return self._follow_claim(call, record, current)
        return self._query_targets(call, current)

    def _run_reclaimed(
        self, call: state.ServiceCall, record: state.ClaimRecord
    ) -> _in_flight.CallResult:
        """Dispatch under a claim won after another request released it."""
        started_s = self._clock.monotonic_s()
        target = self._dispatcher.select(call, ())
        if target.is_error():
            self._dispatcher.release(record)
            return Error(target.error)
        return self._dispatcher.run_on_new_target(
            call, record, target.ok, started_s
        )

    def _query_targets(
        self, call: state.ServiceCall, current: state.ClaimRecord
    ) -> _in_flight.CallResult:
        """Query the claim's targets for an outcome that was not recorded."""
        for name in current.targets:
            target = self._dependencies.selector.target(name)
            if target is None:
                continue
            response = self._dispatcher.query_outcome(current, target)
            if response is not None:
                self._dispatcher.record_response(current, response)
                return Ok(response)
        if current.phase is state.ClaimPhase.CLAIMED:
            self._dispatcher.record_unknown(current)
        return Error(_refusals.outcome_unknown())

    def _duplicate_timeout_s(self, call: state.ServiceCall) -> float:
        """Return how long a duplicate waits for the first call to end."""
        return call.route.call_timeout_ms / 1000 + 2 * self._claim_timeout_s

    def _new_claim(self, call: state.ServiceCall) -> state.ClaimRecord:
        assert call.idempotency_key is not None
        now_s = self._clock.wall_s()
        return state.ClaimRecord(
            key=state.ClaimKey(call.organisation, call.idempotency_key),
            claim_id=_claim_id(),
            fingerprint=_fingerprint(call),
            instance=self._dependencies.instance,
            phase=state.ClaimPhase.CLAIMED,
            claimed_s=now_s,
            changed_s=now_s,
        )


def _claim_id() -> str:
    return uuid.uuid4().hex


def _is_held(current: state.ClaimRecord, own: state.ClaimRecord) -> bool:
    if current.phase is not state.ClaimPhase.CLAIMED:
        return False
    return current.claim_id == own.claim_id


def _fingerprint(call: state.ServiceCall) -> bytes:
    hashed = hashlib.blake2b(digest_size=16)
    for part in (call.route.name, call.method, call.path):
        hashed.update(part.encode())
        hashed.update(b'\0')
    hashed.update(call.body)
    return hashed.digest()
