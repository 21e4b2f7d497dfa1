"""Runs a plain call that may not be repeated."""

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

#: Longest accepted idempotency key.
KEY_LIMIT_CHARS = 255

#: First and longest delay between two looks at another instance's claim.
_FIRST_LOOK_S = 0.02
_LONGEST_LOOK_S = 0.25

#: Delay from which a look reads the bucket: owners answer earlier looks from
#: memory, which is old if another instance wrote the bucket.
_FRESH_LOOK_S = 0.08

_LOG = structlog.get_logger(part='once')


class AtMostOnceRunner:
    """Claims a key, dispatches at most once, records the outcome."""

    def __init__(self, parts: _dispatch.AtMostOnceDependencies) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._claims = parts.claims
        self._in_flight = _in_flight.InFlightCalls()
        self._dispatcher = _dispatch.Dispatcher(parts)
        self._claim_timeout_s = parts.settings.claim_timeout_ms / 1000

    def run(self, call: state.ServiceCall) -> _in_flight.CallResult:
        """Return the answer to the first call with the key.

        A refusal speaks of this request: ``not_run`` says that it was not
        run, not what became of earlier requests with the same key.
        """
        checked = _refusals.key_refusal(call.idempotency_key, KEY_LIMIT_CHARS)
        if checked is not None:
            return Error(checked)
        record = self._new_claim(call)
        end_s = self._clock.monotonic_s() + self._patience_s(call)
        while True:
            running, is_first = self._in_flight.enter(
                record.key, record.fingerprint
            )
            if is_first:
                return self._run_first(call, record)
            self._parts.metrics.count('once.duplicates_joined')
            left_s = end_s - self._clock.monotonic_s()
            if not running.ended.wait(max(0.0, left_s)):
                return Error(_refusals.outcome_unknown())
            if running.fingerprint != record.fingerprint:
                # The stored claim decides which body is the conflict.
                continue
            return running.result or Error(_refusals.outcome_unknown())

    def _run_first(
        self, call: state.ServiceCall, record: state.ClaimRecord
    ) -> _in_flight.CallResult:
        result: _in_flight.CallResult | None = None
        started_s = self._clock.monotonic_s()
        try:
            result = self._claim_and_run(call, record)
        finally:
            self._in_flight.leave(record.key, result)
        self._parts.metrics.duration(
            'once.call',
            call.organisation,
            (self._clock.monotonic_s() - started_s) * 1000,
        )
        if result.is_error():
            _LOG.info(
                'call ended without an answer',
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
        # A missing target must not hide the recorded answer of a key.
        claimed = self._claims.propose(
            record,
            min(self._claim_timeout_s, call.route.queue_deadline_ms / 1000),
        )
        present = claimed.ok if claimed.is_ok() else None
        if present is not None and _is_held(present, record):
            if target.is_error():
                self._dispatcher.release(record)
                return Error(target.error)
            return self._dispatcher.run(call, present, target.ok, started_s)
        if target.is_ok():
            self._parts.selector.release(target.ok.name)
        if present is None:
            # The claim may still be written by a store that answers late.
            self._dispatcher.release(record)
            self._parts.metrics.count('once.store_refusals')
            return Error(_refusals.store_unavailable())
        return self._follow(call, record, present)

    def _follow(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        present: state.ClaimRecord,
    ) -> _in_flight.CallResult:
        """Return the outcome of another request's claim."""
        if present.fingerprint != record.fingerprint:
            return Error(_refusals.key_conflict())
        if present.phase is state.ClaimPhase.CLAIMED:
            return self._wait(call, record, present)
        if present.phase is state.ClaimPhase.UNKNOWN:
            return self._ask(call, present)
        return _refusals.final_result(present)

    def _wait(
        self,
        call: state.ServiceCall,
        record: state.ClaimRecord,
        present: state.ClaimRecord,
    ) -> _in_flight.CallResult:
        never = threading.Event()
        end_s = self._clock.monotonic_s() + self._patience_s(call)
        delay_s = _FIRST_LOOK_S
        while self._clock.monotonic_s() < end_s:
            self._clock.wait(never, delay_s)
            looked = self._claims.propose(
                dataclasses.replace(record, targets=()),
                self._claim_timeout_s,
                fresh=delay_s >= _FRESH_LOOK_S,
            )
            delay_s = min(_LONGEST_LOOK_S, delay_s * 2)
            if looked.is_error() or looked.ok is None:
                self._dispatcher.release(record)
                # A released claim id cannot be proposed again.
                record = dataclasses.replace(record, claim_id=_claim_id())
                continue
            present = looked.ok
            if _is_held(present, record):
                return self._run_released(call, present)
            if present.phase is not state.ClaimPhase.CLAIMED:
                return self._follow(call, record, present)
        return self._ask(call, present)

    def _run_released(
        self, call: state.ServiceCall, record: state.ClaimRecord
    ) -> _in_flight.CallResult:
        """Dispatch under a claim that was won after another's release."""
        started_s = self._clock.monotonic_s()
        target = self._dispatcher.select(call, ())
        if target.is_error():
            self._dispatcher.release(record)
            return Error(target.error)
        return self._dispatcher.run_next(call, record, target.ok, started_s)

    def _ask(
        self, call: state.ServiceCall, present: state.ClaimRecord
    ) -> _in_flight.CallResult:
        """Ask the claim's targets for an outcome that was not recorded."""
        for name in present.targets:
            target = self._parts.selector.target(name)
            if target is None:
                continue
            found = self._dispatcher.outcome(present, target)
            if found is not None:
                self._dispatcher.record_answer(present, found)
                return Ok(found)
        if present.phase is state.ClaimPhase.CLAIMED:
            self._dispatcher.record_unknown(present)
        return Error(_refusals.outcome_unknown())

    def _patience_s(self, call: state.ServiceCall) -> float:
        """Return how long a duplicate waits for the first call's end."""
        return call.route.call_timeout_ms / 1000 + 2 * self._claim_timeout_s

    def _new_claim(self, call: state.ServiceCall) -> state.ClaimRecord:
        assert call.idempotency_key is not None
        now_s = self._clock.wall_s()
        return state.ClaimRecord(
            key=state.ClaimKey(call.organisation, call.idempotency_key),
            claim_id=_claim_id(),
            fingerprint=_fingerprint(call),
            instance=self._parts.instance,
            phase=state.ClaimPhase.CLAIMED,
            claimed_s=now_s,
            changed_s=now_s,
        )


def _claim_id() -> str:
    return uuid.uuid4().hex


def _is_held(present: state.ClaimRecord, own: state.ClaimRecord) -> bool:
    if present.phase is not state.ClaimPhase.CLAIMED:
        return False
    return present.claim_id == own.claim_id


def _fingerprint(call: state.ServiceCall) -> bytes:
    hashed = hashlib.blake2b(digest_size=16)
    for part in (call.route.name, call.method, call.path):
        hashed.update(part.encode())
        hashed.update(b'\0')
    hashed.update(call.body)
    return hashed.digest()
