"""One engine's part of a stream: events, silence, end."""

import dataclasses

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.state import forwarding as data

#: Part of the longest allowed pause after which a silent engine is asked
#: whether it is alive. The prompt of another run delays events by a third
#: of a pause of 700 ms.
PROBE_PAUSE_SHARE = 0.4

#: Part of the longest allowed pause after which a run leaves its engine even
#: though the engine is alive.
MOVE_PAUSE_SHARE = 0.7

#: Longest allowed pause that is assumed of a route without one.
DEFAULT_PAUSE_MS = 2000.0

#: Parts of the latency objective after which an engine without a first event
#: is asked whether it is alive, at first and then again.
FIRST_PROBE_OBJECTIVE_SHARE = 0.35
NEXT_PROBE_OBJECTIVE_SHARE = 0.25

#: Part of the latency objective after which an engine that answers probes,
#: has an empty queue and made no first event is left.
HANG_OBJECTIVE_SHARE = 0.8

#: Longest wait for the answer of a silent engine.
PROBE_TIMEOUT_S = 0.1

#: While a prompt is read, the word of other instances about the engine is
#: looked at in this step.
RUMOUR_STEP_S = 0.2

#: Status of a stream.
OK_STATUS = 200


class Relay:
    """Passes the events of one engine on to the caller."""

    def __init__(
        self,
        parts: _stream_attempts.StreamDependencies,
        work: _admitted_request.AdmittedRequest,
        progress: _stream_attempts.StreamProgress,
        target: data.ListedTarget,
    ) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._targets = parts.targets
        self._work = work
        self._progress = progress
        self._target = target
        self._splitter = parts.new_splitter()
        self._head: data.ResponseHead | None = None
        self._refusal_parts: list[bytes] = []
        self._is_running = False
        self._sent_at_s = self._clock.monotonic_s()
        self._heard_at_s = self._sent_at_s
        self._checked_at_s = self._sent_at_s
        objective_s = work.route.latency_objective_ms / 1000
        pause_s = (work.route.longest_pause_ms or DEFAULT_PAUSE_MS) / 1000
        self._probe_after_s = PROBE_PAUSE_SHARE * pause_s
        self._move_after_s = MOVE_PAUSE_SHARE * pause_s
        self._hang_after_s = HANG_OBJECTIVE_SHARE * objective_s
        self._next_probe_after_s = NEXT_PROBE_OBJECTIVE_SHARE * objective_s
        self._probe_at_s = (
            self._sent_at_s + FIRST_PROBE_OBJECTIVE_SHARE * objective_s
        )

    def run(
        self, exchange: _ports.Exchange, notice: data.RunStatus
    ) -> _stream_attempts.AttemptEnd:
        """Pass events on until the engine's part has ended."""
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= self._work.deadline_s:
                return _stream_attempts.StreamFinished(self._time_up())
            silence = self._check_silence(now_s)
            if silence is not None:
                return silence
            wait_until_s = min(
                self._work.deadline_s, self._next_check_s(now_s)
            )
            ready = self._parts.client.wait(
                (exchange,),
                self._work.caller,
                max(0.0, wait_until_s - self._clock.monotonic_s()),
            )
            if ready.has_caller_disconnected:
                self._note('caller_left')
                return _stream_attempts.StreamFinished(
                    _outcomes.CallerDisconnected()
                )
            if not ready.exchanges:
                continue
            was_running = self._is_running
            for event in exchange.receive():
                end = self._take(event)
                if end is not None:
                    return end
            if self._is_running and not was_running:
                if notice.is_prefilling:
                    waited_s = self._heard_at_s - self._sent_at_s
                    self._targets.report_first_event(
                        self._target, self._work.route.name, 1000 * waited_s
                    )
                self._parts.fleet.note_run(
                    dataclasses.replace(notice, is_prefilling=False)
                )

    def take_fault(
        self, fault: _ports.ExchangeFault
    ) -> _stream_attempts.AttemptEnd:
        """Note that the exchange with the engine failed."""
        self._note(
            'fault',
            target=self._target.name,
            kind=fault.kind.value,
            detail=fault.detail,
        )
        if fault.kind is _ports.FaultKind.DOWN:
            self._targets.report_connection_refused(
                self._target, self._work.route.name, fault.detail
            )
        else:
            self._targets.report_failure(
                self._target,
                self._work.route.name,
                fault.detail,
                is_loss=fault.kind is not _ports.FaultKind.MALFORMED,
            )
        if not fault.may_have_arrived:
            return _stream_attempts.AttemptNotExecuted(
                fault.detail, has_arrived=False
            )
        return _stream_attempts.AttemptLost(fault.detail, self._is_running)

    def _take(
        self, event: _ports.ResponseEvent
    ) -> _stream_attempts.AttemptEnd | None:
        if isinstance(event, _ports.ExchangeFault):
            return self.take_fault(event)
        if isinstance(event, data.ResponseHead):
            self._head = event
            self._targets.report_load(self._target, event.load)
            return None
        head = self._head
        if head is None:
            raise AssertionError('a body came before its head')
        is_stream = (
            head.status == OK_STATUS and head.is_signed and not head.is_encoded
        )
        if isinstance(event, _ports.ResponseEnd):
            if is_stream:
                return self._take_end()
            return self._take_refusal(head)
        if not is_stream:
            self._refusal_parts.append(event.data)
            return None
        split = self._splitter.split(event.data)
        if not split.events:
            return None
        self._note_pause()
        self._targets.report_alive(self._target)
        self._heard_at_s = self._clock.monotonic_s()
        self._is_running = True
        return self._pass_on(head, split)

    def _note_pause(self) -> None:
        """Note a pause that makes the stream late for its caller."""
        now_s = self._clock.monotonic_s()
        last_s = self._progress.passed_on_at_s
        self._progress.passed_on_at_s = now_s
        longest_ms = self._work.route.longest_pause_ms
        if last_s is None or longest_ms is None:
            return
        pause_ms = 1000 * (now_s - last_s)
        if pause_ms > longest_ms:
            self._note('long_pause', pause_ms=round(pause_ms))

    def _next_check_s(self, now_s: float) -> float:
        """Return when the engine's silence has to be looked at again."""
        if not self._work.route.is_retryable:
            return self._work.deadline_s
        if not self._is_running:
            return min(self._probe_at_s, now_s + RUMOUR_STEP_S)
        if self._checked_at_s <= self._heard_at_s:
            return self._heard_at_s + self._probe_after_s
        return self._heard_at_s + self._move_after_s

    def _check_silence(
        self, now_s: float
    ) -> _stream_attempts.AttemptEnd | None:
        """Return the end of the run if its engine is silent for too long."""
        if not self._work.route.is_retryable:
            return None
        if not self._is_running:
            rumoured_at_s = self._targets.suspected_at_s(self._target)
            if now_s < self._probe_at_s and (
                rumoured_at_s <= self._checked_at_s
            ):
                return None
            self._probe_at_s = now_s + self._next_probe_after_s
            return self._probe()
        silent_for_s = now_s - self._heard_at_s
        if silent_for_s >= self._move_after_s:
            return self._take_silence('no event in time')
        if silent_for_s < self._probe_after_s:
            return None
        if self._checked_at_s > self._heard_at_s:
            return None
        return self._probe()

    def _probe(self) -> _stream_attempts.AttemptEnd | None:
        report = self._parts.client.probe(self._target, PROBE_TIMEOUT_S)
        self._checked_at_s = self._clock.monotonic_s()
        if report is None:
            return self._take_silence('silent')
        if _is_replaced(self._target, report):
            return self._take_silence('another process has the address')
        self._note(
            'probe', target=self._target.name, queued=report.queued_count
        )
        if self._is_running or report.queued_count:
            return None
        if self._checked_at_s < self._sent_at_s + self._hang_after_s:
            return None
        if self._progress.has_left_hanging:
            return None
        # Engines do not tell which prompts they read, so this is tried once.
        self._progress.has_left_hanging = True
        return self._take_silence('no first event in time')

    def _pass_on(
        self, head: data.ResponseHead, split: _ports.SplitEvents
    ) -> _stream_attempts.AttemptEnd | None:
        progress = self._progress
        for event_id in split.ids:
            expected = progress.last_event_id
            if expected is not None and event_id != expected + 1:
                detail = f'event {event_id} came after {expected}'
                self._targets.report_failure(
                    self._target, self._work.route.name, detail, is_loss=False
                )
                return _stream_attempts.AttemptLost(detail, has_copy=True)
            progress.last_event_id = event_id
        if not progress.has_started:
            progress.has_started = True
            self._note('first_event', target=self._target.name)
            if not self._work.caller.start_stream(head):
                return _stream_attempts.StreamFinished(
                    _outcomes.CallerDisconnected()
                )
        if not self._work.caller.send_events(split.events):
            return _stream_attempts.StreamFinished(
                _outcomes.CallerDisconnected()
            )
        return None

    def _take_end(self) -> _stream_attempts.AttemptEnd:
        if self._splitter.has_partial():
            return self.take_fault(_ended_early('within an event'))
        if not self._progress.has_started:
            return self.take_fault(_ended_early('without an event'))
        latency_ms = 1000 * (self._clock.monotonic_s() - self._sent_at_s)
        self._targets.report_answer(
            self._target, self._work.route.name, latency_ms, is_error=False
        )
        return _stream_attempts.StreamFinished(_outcomes.StreamCompleted())

    def _take_refusal(
        self, head: data.ResponseHead
    ) -> _stream_attempts.AttemptEnd:
        self._note('answer', target=self._target.name, status=head.status)
        detail = f'the engine answered {head.status}'
        if head.status == _calls.MISDIRECTED_STATUS:
            self._targets.report_misdirected(self._target)
            return _stream_attempts.AttemptNotExecuted(
                'another target has the address', has_arrived=True
            )
        if head.is_not_executed:
            return _stream_attempts.AttemptNotExecuted(
                detail, has_arrived=True
            )
        self._progress.failure_count += 1
        if not head.is_signed or head.is_encoded:
            return _stream_attempts.AttemptLost(
                'the answer is not signed or is encoded', has_copy=False
            )
        answer = data.FrontResponse(
            head.status, head.headers, b''.join(self._refusal_parts)
        )
        if head.status < _calls.FIRST_FAILURE_STATUS:
            if self._progress.has_started:
                return _stream_attempts.AttemptLost(detail, has_copy=False)
            return _stream_attempts.StreamFinished(answer)
        self._targets.report_answer(
            self._target, self._work.route.name, 0.0, is_error=True
        )
        if head.status not in _calls.PROMISE_STATUSES:
            self._progress.failure = answer
        return _stream_attempts.AttemptLost(detail, has_copy=False)

    def _take_silence(self, detail: str) -> _stream_attempts.AttemptEnd:
        self._note('silence', target=self._target.name, detail=detail)
        self._targets.report_failure(
            self._target, self._work.route.name, detail, is_loss=True
        )
        return _stream_attempts.AttemptLost(detail, self._is_running)

    def _time_up(self) -> _outcomes.StreamOutcome:
        if self._progress.has_started:
            return _outcomes.StreamInterrupted('the time limit is over')
        if self._progress.failure is not None:
            return self._progress.failure
        return data.Refusal(data.RefusalReason.TIME_UP)

    def _note(self, step: str, **inputs: object) -> None:
        self._work.trace.record(self._clock.monotonic_s(), step, **inputs)


def _is_replaced(target: data.ListedTarget, report: data.TargetReport) -> bool:
    if target.started_at_ms is None or report.started_at_ms is None:
        return False
    return target.started_at_ms != report.started_at_ms


def _ended_early(detail: str) -> _ports.ExchangeFault:
    return _ports.ExchangeFault(
        _ports.FaultKind.LOST, f'the stream ended {detail}'
    )
