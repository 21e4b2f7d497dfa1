"""Relays the events of one engine to the caller and detects its failure."""

import dataclasses

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _engine_watch
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _overdue_runs
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.forwarding import _refusals
from skylarktack.coordination.forwarding import _run_samples
from skylarktack.coordination.forwarding import _standby_copies
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.coordination.forwarding import _supervision
from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class _OrderedEvents:
    """Events of one read, up to the first one that is out of order."""

    data: bytes

    #: Id of the last event so far; None if there was none.
    last_event_id: int | None

    #: Whether one of the events has an id.
    has_progress: bool

    #: What is wrong with the first event that was left out, or None.
    defect: str | None


class Relay:
    """Relays the events of one engine to the caller."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
        progress: _stream_attempts.StreamProgress,
        target: data.ListedTarget,
        copies: _standby_copies.StandbyCopies,
        failover: _stream_attempts.FailoverReservation,
        overdue: _overdue_runs.OverdueCheck,
    ) -> None:
        """Create a relay.

        :param failover: asked before the run leaves an unresponsive engine.
        :param overdue: asked while the run waits for its first event.
        """
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._targets = dependencies.targets
        self._admitted = admitted
        self._progress = progress
        self._target = target
        self._copies = copies
        self._splitter = dependencies.new_splitter()
        #: When the engine sent its first event of the run, or None.
        self._first_event_at_s: float | None = None
        self._has_recorded_output = False
        self._head: data.ResponseHead | None = None
        self._error_body_chunks: list[bytes] = []
        self._failover = failover
        self._overdue = overdue
        self._samples = _run_samples.RunSamples(
            dependencies, admitted, progress, target
        )
        self._watch = _engine_watch.EngineWatch(
            dependencies, admitted, progress, target
        )
        #: Time of the last event before an inactivity that was reported.
        self._inactive_since_s: float | None = None

    def run(
        self, exchange: _ports.Exchange, run_status: data.RunStatus
    ) -> _stream_attempts.AttemptEnd:
        """Relay events until the stream ends or the engine fails."""
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= self._admitted.deadline_s:
                return _stream_attempts.StreamFinished(
                    self._outcome_at_deadline()
                )
            wait_until_s = min(
                self._admitted.deadline_s, self._watch.next_check_s(now_s)
            )
            if self._watch.is_streaming:
                self._copies.maintain(self._progress.last_event_id)
            wait_result = self._dependencies.client.wait(
                (exchange, *self._copies.exchanges()),
                self._admitted.caller,
                max(0.0, wait_until_s - self._clock.monotonic_s()),
            )
            if wait_result.has_caller_disconnected:
                self._record('caller_left')
                return _stream_attempts.StreamFinished(
                    _outcomes.CallerDisconnected()
                )
            self._copies.receive(wait_result.exchanges)
            known_event_at_s = self._watch.last_event_at_s
            if exchange in wait_result.exchanges:
                end = self._receive(exchange, run_status)
                if end is not None:
                    return end
            if self._watch.last_event_at_s != known_event_at_s:
                continue
            # Checked after a look for unread events: the caller or a
            # suspension of this process may have held up the last ones.
            detail = self._watch.check(self._clock.monotonic_s())
            if detail is None:
                lost = self._overdue.end_of_run(self._watch)
            else:
                lost = self._leave_unresponsive_engine(detail)
            if lost is not None:
                return lost

    def _receive(
        self, exchange: _ports.Exchange, run_status: data.RunStatus
    ) -> _stream_attempts.AttemptEnd | None:
        """Handle what was received; return how the attempt ended, if so."""
        was_streaming = self._watch.is_streaming
        for event in exchange.receive():
            end = self._handle(event)
            if end is not None:
                return end
        if not self._watch.is_streaming or was_streaming:
            return None
        if run_status.is_prefilling:
            first_event_s = self._watch.last_event_at_s - self._watch.sent_at_s
            self._targets.report_first_event(
                self._target, self._admitted.route.name, 1000 * first_event_s
            )
            self._samples.record_first_event(
                self._watch.sent_at_s, self._watch.last_event_at_s
            )
        with self._dependencies.errors.contain(_supervision.RUN_REPORT):
            self._dependencies.fleet.record_run(
                dataclasses.replace(run_status, is_prefilling=False)
            )
        return None

    def handle_fault(
        self, fault: _ports.ExchangeFault
    ) -> _stream_attempts.AttemptEnd:
        """Report that the exchange with the engine failed."""
        self._record(
            'fault',
            target=self._target.name,
            kind=fault.kind.value,
            detail=fault.detail,
        )
        if fault.kind is _ports.FaultKind.CONNECTION_REFUSED:
            self._targets.report_connection_refused(
                self._target, self._admitted.route.name, fault.detail
            )
        else:
            self._targets.report_failure(
                self._target,
                self._admitted.route.name,
                fault.detail,
                is_loss=fault.kind is not _ports.FaultKind.MALFORMED,
            )
        if not fault.may_have_arrived:
            return _stream_attempts.AttemptNotExecuted(
                fault.detail, has_arrived=False
            )
        is_connection_lost = fault.kind is _ports.FaultKind.LOST
        return dataclasses.replace(
            self._lost(fault.detail),
            is_lost_before_output=(
                is_connection_lost and not self._has_produced_output()
            ),
        )

    def _has_produced_output(self) -> bool:
        """Return whether the engine has sent events for long enough."""
        if self._first_event_at_s is None:
            return False
        output_s = self._clock.monotonic_s() - self._first_event_at_s
        return output_s >= self._dependencies.quarantine.settings.output_s

    def _record_output(self) -> None:
        """Record once that a run with these parts produced output."""
        if self._has_recorded_output:
            return
        self._has_recorded_output = True
        with self._dependencies.errors.contain(_supervision.PROMPT_EVIDENCE):
            self._dependencies.quarantine.record_output(
                _quarantine_records.observed_parts(self._admitted.request)
            )

    def _handle(
        self, event: _ports.ResponseEvent
    ) -> _stream_attempts.AttemptEnd | None:
        if isinstance(event, _ports.ExchangeFault):
            return self.handle_fault(event)
        if isinstance(event, data.ResponseHead):
            self._head = event
            self._targets.report_head(self._target, event)
            return None
        head = self._head
        if head is None:
            raise AssertionError('the body of a response came before its head')
        is_stream = head.is_relayable
        if isinstance(event, _ports.ResponseEnd):
            if is_stream:
                return self._handle_stream_end(head)
            return self._handle_error_response(head)
        if not is_stream:
            self._error_body_chunks.append(event.data)
            return None
        split = self._splitter.split(event.data)
        end = self._relay_events(head, split.events)
        if end is not None or split.defect is None:
            return end
        return self.handle_fault(
            _ports.ExchangeFault(_ports.FaultKind.MALFORMED, split.defect)
        )

    def _record_long_pause(self) -> None:
        """Record a pause that is longer than the route allows."""
        now_s = self._clock.monotonic_s()
        previous_s = self._progress.last_sent_at_s
        self._progress.last_sent_at_s = now_s
        max_pause_ms = self._admitted.route.longest_pause_ms
        if previous_s is None or max_pause_ms is None:
            return
        pause_ms = 1000 * (now_s - previous_s)
        if pause_ms > max_pause_ms:
            self._record('long_pause', pause_ms=round(pause_ms))

    def _relay_events(
        self, head: data.ResponseHead, events: tuple[_ports.StreamEvent, ...]
    ) -> _stream_attempts.AttemptEnd | None:
        """Send events to the caller up to one that is out of order."""
        ordered = _take_in_order(events, self._progress.last_event_id)
        if ordered.has_progress:
            self._record_progress()
            self._samples.record_events(
                self._watch.last_event_at_s,
                (ordered.last_event_id or 0)
                - (self._progress.last_event_id or 0),
            )
        self._progress.last_event_id = ordered.last_event_id
        if ordered.data:
            end = self._send_events(head, ordered.data)
            if end is not None:
                return end
        if ordered.defect is None:
            return None
        return self.handle_fault(
            _ports.ExchangeFault(_ports.FaultKind.MALFORMED, ordered.defect)
        )

    def _record_progress(self) -> None:
        self._record_long_pause()
        self._targets.report_alive(self._target)
        self._watch.record_event()
        if self._first_event_at_s is None:
            self._first_event_at_s = self._watch.last_event_at_s
        if self._has_produced_output():
            self._record_output()

    def _send_events(
        self, head: data.ResponseHead, events: bytes
    ) -> _stream_attempts.AttemptEnd | None:
        progress = self._progress
        if not progress.has_started:
            progress.has_started = True
            self._record('first_event', target=self._target.name)
            if not self._admitted.caller.start_stream(head):
                return _stream_attempts.StreamFinished(
                    _outcomes.CallerDisconnected()
                )
        if not self._admitted.caller.send_events(events):
            return _stream_attempts.StreamFinished(
                _outcomes.CallerDisconnected()
            )
        return None

    def _handle_stream_end(
        self, head: data.ResponseHead
    ) -> _stream_attempts.AttemptEnd:
        if self._splitter.has_partial():
            return self.handle_fault(_early_end_fault('within an event'))
        if not self._watch.is_streaming and (
            self._progress.last_sent_at_s is None or head.ends_with_connection
        ):
            return self.handle_fault(_early_end_fault('without an event'))
        if self._first_event_at_s is not None:
            self._record_output()
        latency_ms = 1000 * (self._clock.monotonic_s() - self._watch.sent_at_s)
        self._targets.report_response(
            self._target, self._admitted.route.name, latency_ms, is_error=False
        )
        first_event_id = self._admitted.request.last_event_id or 0
        last_event_id = self._progress.last_event_id or 0
        self._record('complete', event_count=last_event_id - first_event_id)
        self._samples.record_end(last_event_id - first_event_id)
        self._copies.release()
        return _stream_attempts.StreamFinished(_outcomes.StreamCompleted())

    def _handle_error_response(
        self, head: data.ResponseHead
    ) -> _stream_attempts.AttemptEnd:
        self._record('answer', target=self._target.name, status=head.status)
        detail = f'the engine responded with status {head.status}'
        if _refusals.is_refusal(head, self._admitted.request):
            if head.status == _refusals.MISDIRECTED_STATUS:
                self._targets.report_misdirected(self._target)
                detail = 'another target answers at this address'
            return _stream_attempts.AttemptNotExecuted(
                detail, has_arrived=True
            )
        self._progress.failure_count += 1
        if not head.is_signed or head.is_encoded:
            return _stream_attempts.AttemptLost(
                'the response is not signed or is content-encoded', None
            )
        response = data.FrontResponse(
            head.status, head.headers, b''.join(self._error_body_chunks)
        )
        if head.is_success:
            return _stream_attempts.AttemptLost(
                'the response is no stream of events', None
            )
        may_reach_caller = _refusals.may_reach_caller(head)
        if head.status < _calls.FIRST_SERVER_ERROR_STATUS:
            if self._progress.has_started or not may_reach_caller:
                return _stream_attempts.AttemptLost(detail, None)
            return _stream_attempts.StreamFinished(response)
        self._targets.report_response(
            self._target, self._admitted.route.name, 0.0, is_error=True
        )
        if may_reach_caller:
            self._progress.failure = response
        return _stream_attempts.AttemptLost(detail, None)

    def _leave_unresponsive_engine(
        self, detail: str
    ) -> _stream_attempts.AttemptLost | None:
        """Return the end of the run here, or None if it stays.

        A healthy engine may send nothing for a second or longer. Its run is
        given up only for another engine that can take it now.
        """
        is_new = self._inactive_since_s != self._watch.last_event_at_s
        if is_new:
            self._inactive_since_s = self._watch.last_event_at_s
            self._record('silence', target=self._target.name, detail=detail)
            self._targets.report_failure(
                self._target, self._admitted.route.name, detail, is_loss=True
            )
        lost = self._lost(detail)
        obstacle = self._failover.reserve(self._target, lost.copy)
        if obstacle is None:
            self._watch.leave()
            return lost
        if is_new:
            self._record('kept_at_silent_engine', cause=obstacle)
        self._watch.defer()
        return None

    def _lost(self, detail: str) -> _stream_attempts.AttemptLost:
        """Return the end of a run that can go on if there is a copy."""
        copy = self._copies.usable_copy() if self._watch.is_streaming else None
        return _stream_attempts.AttemptLost(detail, copy)

    def _outcome_at_deadline(self) -> _outcomes.StreamOutcome:
        if self._progress.has_started:
            return _outcomes.StreamInterrupted(
                'the time limit of the stream expired'
            )
        if self._progress.failure is not None:
            return self._progress.failure
        return data.Refusal(data.RefusalReason.TIME_UP)

    def _record(self, step: str, **inputs: object) -> None:
        self._admitted.trace.record(self._clock.monotonic_s(), step, **inputs)


def _take_in_order(
    events: tuple[_ports.StreamEvent, ...], last_event_id: int | None
) -> _OrderedEvents:
    in_order: list[bytes] = []
    has_progress = False
    for event in events:
        # Comments and events without an id are no progress, so an engine that
        # sends only these counts as unresponsive.
        if event.event_id is not None:
            if last_event_id not in (None, event.event_id - 1):
                defect = (
                    f'event {event.event_id} follows event {last_event_id}'
                )
                return _OrderedEvents(
                    b''.join(in_order), last_event_id, has_progress, defect
                )
            last_event_id = event.event_id
            has_progress = True
        in_order.append(event.data)
    return _OrderedEvents(
        b''.join(in_order), last_event_id, has_progress, None
    )


def _early_end_fault(detail: str) -> _ports.ExchangeFault:
    return _ports.ExchangeFault(
        _ports.FaultKind.LOST, f'the stream ended {detail}'
    )
