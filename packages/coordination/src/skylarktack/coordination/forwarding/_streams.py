"""Streams over engines that fail: copies, continuation, silence."""

import dataclasses
import math

from skylarktack.coordination.forwarding import _budget
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.forwarding import _work
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Most engines that are asked for one stream, whether or not they run it.
SEND_LIMIT_COUNT = 12

#: Part of the longest allowed pause after which a silent engine is asked
#: whether it is alive. The prompt of another run delays events by a third
#: of a pause of 700 ms.
PROBE_PAUSE_SHARE = 0.4

#: Longest wait for the answer of a silent engine.
PROBE_TIMEOUT_S = 0.1

#: Part of the longest allowed pause after which a run leaves its engine even
#: though the engine is alive.
MOVE_PAUSE_SHARE = 0.7

#: Part of the latency objective after which a run without a first event
#: leaves its engine; an engine may hang while it answers probes.
FIRST_OBJECTIVE_SHARE = 0.7

#: The same for the first event after a run went on at another engine, which
#: may have to read the prompt again.
RESUME_OBJECTIVE_SHARE = 0.5

#: Longest allowed pause that is assumed of a route without one.
DEFAULT_PAUSE_MS = 2000.0

#: Part of the latency objective for which a request without a target waits
#: for one before it is refused.
HOLD_OBJECTIVE_SHARE = 0.12

#: Wait before the targets are looked through again.
HOLD_STEP_S = 0.1

#: When a caller may come back after no target took its request.
RETRY_AFTER_S = 0.3

#: Status of a stream.
OK_STATUS = 200


@dataclasses.dataclass(frozen=True)
class StreamParts:
    """What the forwarding of streams is made of."""

    #: Source of time.
    clock: Clock

    #: Known targets.
    targets: _targets.TargetTable

    #: Sends requests.
    client: _ports.TargetClient

    #: Budget of repeats.
    budget: _budget.RetryBudget

    #: Makes a splitter for the bytes of one stream.
    new_splitter: type[_ports.EventSplitter]


class StreamForwarder:
    """Forwards streams to engines."""

    def __init__(self, parts: StreamParts) -> None:
        self._parts = parts

    def run(self, work: _work.Work) -> _outcomes.StreamOutcome:
        """Forward the stream and return how it ended."""
        return _Stream(self._parts, work).run()


class _AttemptEnd:
    """How one engine's part of a stream ended."""


@dataclasses.dataclass(frozen=True)
class _Final(_AttemptEnd):
    """The whole stream has ended."""

    outcome: _outcomes.StreamOutcome


@dataclasses.dataclass(frozen=True)
class _NotRun(_AttemptEnd):
    """The engine did not run the request."""

    detail: str


@dataclasses.dataclass(frozen=True)
class _Lost(_AttemptEnd):
    """The engine stopped working on the run."""

    detail: str

    #: Whether the other engine may keep a copy of the run.
    has_copy: bool = True


class _Stream:
    """One stream while it is forwarded."""

    def __init__(self, parts: StreamParts, work: _work.Work) -> None:
        self._clock = parts.clock
        self._targets = parts.targets
        self._client = parts.client
        self._budget = parts.budget
        self._new_splitter = parts.new_splitter
        self._work = work
        self._passed_over: set[str] = set()
        self._last_event_id = work.request.last_event_id
        self._has_started = False
        self._has_run = False
        self._has_moved_early = False
        self._send_count = 0
        self._run_count = 0
        self._failure: data.FrontAnswer | None = None
        self._last_fault = 'no target is known'
        objective_ms = work.route.latency_objective_ms
        pause_ms = work.route.longest_pause_ms or DEFAULT_PAUSE_MS
        self._probe_after_s = PROBE_PAUSE_SHARE * pause_ms / 1000
        self._move_after_s = MOVE_PAUSE_SHARE * pause_ms / 1000
        self._resume_after_s = RESUME_OBJECTIVE_SHARE * objective_ms / 1000
        self._first_after_s = FIRST_OBJECTIVE_SHARE * objective_ms / 1000

    def run(self) -> _outcomes.StreamOutcome:
        """Forward the stream and return how it ended."""
        self._budget.count_request(self._work.service)
        copy_at: data.ListedTarget | None = None
        while self._clock.monotonic_s() < self._work.deadline_s:
            if self._send_count >= SEND_LIMIT_COUNT:
                break
            pair = self._choose(copy_at)
            if pair is None:
                if self._is_held_out():
                    break
                if self._wait_for_target():
                    return _outcomes.CallerLeft()
                continue
            if self._send_count > 0:
                if not self._budget.claim_repeat(self._work.service):
                    self._note('budget_spent')
                    break
            self._send_count += 1
            end = self._attempt(pair, from_copy=copy_at is not None)
            if isinstance(end, _Final):
                return end.outcome
            if isinstance(end, _Lost):
                self._last_fault = end.detail
                self._has_run = True
                if not self._work.route.may_repeat:
                    break
                copy_at = pair.standby if end.has_copy else None
                continue
            if isinstance(end, _NotRun):
                self._last_fault = end.detail
                copy_at = None
        return self._give_up()

    def _choose(
        self, copy_at: data.ListedTarget | None
    ) -> _targets.EnginePair | None:
        if copy_at is not None:
            standby = self._targets.choose_standby(self._work.service, copy_at)
            return _targets.EnginePair(copy_at, standby)
        return self._targets.choose_engines(
            self._work.service,
            self._work.request,
            frozenset(self._passed_over),
        )

    def _is_held_out(self) -> bool:
        hold_s = (
            HOLD_OBJECTIVE_SHARE * self._work.route.latency_objective_ms / 1000
        )
        now_s = self._clock.monotonic_s()
        if self._has_started:
            return False
        return now_s >= self._work.started_at_s + hold_s

    def _wait_for_target(self) -> bool:
        """Wait a little; return whether the caller has left."""
        self._passed_over.clear()
        left_s = self._work.deadline_s - self._clock.monotonic_s()
        ready = self._client.wait(
            (), self._work.caller, max(0.0, min(HOLD_STEP_S, left_s))
        )
        return ready.has_caller_left

    def _attempt(
        self, pair: _targets.EnginePair, from_copy: bool
    ) -> _AttemptEnd:
        target = pair.primary
        standby = None
        if self._work.has_standby_copies and pair.standby is not None:
            standby = pair.standby.endpoint
        now_s = self._clock.monotonic_s()
        delivery = data.Delivery(
            target=target,
            organisation=self._work.organisation,
            time_left_ms=(self._work.deadline_s - now_s) * 1000,
            last_event_id=self._last_event_id,
            standby=standby,
            from_copy=from_copy,
        )
        self._passed_over.add(target.name)
        self._note(
            'send',
            target=target.name,
            standby=pair.standby.name if pair.standby else None,
            from_copy=from_copy,
            after_event=self._last_event_id,
        )
        self._targets.begin(target)
        try:
            sent = self._client.send(
                self._work.request, delivery, _calls.CONNECT_TIMEOUT_S
            )
            if isinstance(sent, _ports.ExchangeFault):
                return self._take_fault(target, sent)
            try:
                return self._relay(sent, target)
            finally:
                sent.close()
        finally:
            self._targets.end(target)

    def _relay(
        self, exchange: _ports.Exchange, target: data.ListedTarget
    ) -> _AttemptEnd:
        """Pass events on until the engine's part has ended."""
        splitter = self._new_splitter()
        head: data.AnswerHead | None = None
        refusal_parts: list[bytes] = []
        heard_at_s = self._clock.monotonic_s()
        is_running = False
        has_probed = False
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= self._work.deadline_s:
                return _Final(self._time_up())
            limit_s = self._silence_limit_s(is_running, has_probed)
            wait_s = min(self._work.deadline_s, heard_at_s + limit_s) - now_s
            if wait_s <= 0:
                if has_probed or not is_running:
                    self._has_moved_early = not is_running
                    return self._take_silence(target, 'no event in time')
                has_probed = True
                if not self._client.is_alive(target, PROBE_TIMEOUT_S):
                    return self._take_silence(target, 'silent')
                self._note('probe_answered', target=target.name)
                continue
            ready = self._client.wait((exchange,), self._work.caller, wait_s)
            if ready.has_caller_left:
                self._note('caller_left')
                return _Final(_outcomes.CallerLeft())
            if not ready.exchanges:
                continue
            for event in exchange.receive():
                if isinstance(event, _ports.ExchangeFault):
                    return self._take_fault(target, event)
                if isinstance(event, data.AnswerHead):
                    head = event
                    self._targets.report_load(target, head.load)
                    continue
                if head is None:
                    raise AssertionError('a body came before its head')
                is_stream = head.status == OK_STATUS and head.is_signed
                if isinstance(event, _ports.AnswerEnd):
                    if is_stream and not head.is_encoded:
                        return self._take_end(target, splitter)
                    return self._take_refusal(target, head, refusal_parts)
                if not is_stream or head.is_encoded:
                    refusal_parts.append(event.data)
                    continue
                split = splitter.split(event.data)
                if not split.events:
                    continue
                heard_at_s = self._clock.monotonic_s()
                is_running = True
                has_probed = False
                end = self._pass_on(target, head, split)
                if end is not None:
                    return end

    def _silence_limit_s(self, is_running: bool, has_probed: bool) -> float:
        """Return how long the engine may be silent before the next step."""
        if not self._work.route.may_repeat:
            return math.inf
        if not is_running:
            if self._has_started:
                return self._resume_after_s
            return math.inf if self._has_moved_early else self._first_after_s
        return self._move_after_s if has_probed else self._probe_after_s

    def _pass_on(
        self,
        target: data.ListedTarget,
        head: data.AnswerHead,
        split: _ports.SplitEvents,
    ) -> _AttemptEnd | None:
        for event_id in split.ids:
            expected = self._last_event_id
            if expected is not None and event_id != expected + 1:
                detail = f'event {event_id} came after {expected}'
                self._targets.report_failure(target, detail, is_loss=False)
                return _Lost(detail)
            self._last_event_id = event_id
        if not self._has_started:
            self._has_started = True
            self._note('first_event', target=target.name)
            if not self._work.caller.start_stream(head):
                return _Final(_outcomes.CallerLeft())
        if not self._work.caller.send_events(split.events):
            return _Final(_outcomes.CallerLeft())
        return None

    def _take_end(
        self, target: data.ListedTarget, splitter: _ports.EventSplitter
    ) -> _AttemptEnd:
        if splitter.has_partial():
            return self._take_fault(
                target,
                _ports.ExchangeFault(
                    _ports.FaultKind.LOST, 'the stream ended within an event'
                ),
            )
        if not self._has_started:
            return self._take_fault(
                target,
                _ports.ExchangeFault(
                    _ports.FaultKind.LOST, 'the stream has no event'
                ),
            )
        latency_ms = 1000 * (
            self._clock.monotonic_s() - self._work.started_at_s
        )
        self._targets.report_answer(target, latency_ms, is_error=False)
        return _Final(_outcomes.StreamDone())

    def _take_refusal(
        self,
        target: data.ListedTarget,
        head: data.AnswerHead,
        parts: list[bytes],
    ) -> _AttemptEnd:
        self._note('answer', target=target.name, status=head.status)
        detail = f'the engine answered {head.status}'
        if head.status == _calls.MISDIRECTED_STATUS:
            self._targets.report_misdirected(target)
            return _NotRun('another target has the address')
        if head.is_not_run:
            return _NotRun(detail)
        self._run_count += 1
        if not head.is_signed or head.is_encoded:
            detail = 'the answer is not signed or is encoded'
            return _Lost(detail, has_copy=False)
        answer = data.FrontAnswer(head.status, head.headers, b''.join(parts))
        if head.status < _calls.FIRST_FAILURE_STATUS:
            return _Final(answer)
        self._targets.report_answer(target, 0.0, is_error=True)
        if head.status not in _calls.PROMISE_STATUSES:
            self._failure = answer
        if self._run_count >= self._work.route.max_attempts:
            return _Final(self._give_up())
        return _Lost(detail, has_copy=False)

    def _take_silence(
        self, target: data.ListedTarget, detail: str
    ) -> _AttemptEnd:
        self._note('silence', target=target.name, detail=detail)
        self._targets.report_failure(target, detail, is_loss=True)
        return _Lost(detail)

    def _take_fault(
        self, target: data.ListedTarget, fault: _ports.ExchangeFault
    ) -> _AttemptEnd:
        self._note(
            'fault',
            target=target.name,
            kind=fault.kind.value,
            detail=fault.detail,
        )
        self._targets.report_failure(
            target,
            fault.detail,
            is_loss=fault.kind is not _ports.FaultKind.MALFORMED,
        )
        if fault.kind is _ports.FaultKind.NOT_CONNECTED:
            return _NotRun(fault.detail)
        return _Lost(fault.detail)

    def _time_up(self) -> _outcomes.StreamOutcome:
        if self._has_started:
            return _outcomes.StreamBroken('the time limit is over')
        if self._failure is not None:
            return self._failure
        if self._send_count == 0:
            return data.Refusal(
                data.RefusalReason.TIME_UP_NOT_RUN, RETRY_AFTER_S
            )
        return data.Refusal(data.RefusalReason.TIME_UP)

    def _give_up(self) -> _outcomes.StreamOutcome:
        if self._has_started:
            return _outcomes.StreamBroken(self._last_fault)
        if self._failure is not None:
            return self._failure
        if self._clock.monotonic_s() >= self._work.deadline_s:
            return self._time_up()
        if not self._has_run:
            return data.Refusal(
                data.RefusalReason.NO_TARGET, RETRY_AFTER_S, self._last_fault
            )
        return data.Refusal(
            data.RefusalReason.TARGET_FAILED, detail=self._last_fault
        )

    def _note(self, step: str, **inputs: object) -> None:
        self._work.notes.note(self._clock.monotonic_s(), step, **inputs)
