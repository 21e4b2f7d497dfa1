"""Sends a stream to one engine and relays what it answers."""

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _engine_policies
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _overdue_runs
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _relay
from skylarktack.coordination.forwarding import _standby_copies
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _urgency
from skylarktack.state import forwarding as data


class StreamSender:
    """Sends one stream to engines, one after the other."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
        progress: _stream_attempts.StreamProgress,
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._targets = dependencies.targets
        self._admitted = admitted
        self._progress = progress

    def send(
        self,
        pair: _engine_selection.EnginePair,
        copy: data.RunCopy | None,
        demand: _placement.RunDemand,
        failover: _stream_attempts.FailoverReservation,
    ) -> _stream_attempts.AttemptEnd:
        """Send the stream and relay it until it ends or the engine fails.

        :param copy: copy from which the run goes on, or None.
        :param failover: asked before the run leaves an unresponsive engine.
        """
        target = pair.primary
        standby = pair.standby
        context = self._context(pair, copy)
        self._admitted.trace.record_send(
            self._clock.monotonic_s(),
            target=target.name,
            standby=None if standby is None else standby.name,
            from_copy=copy is not None,
            after_event=self._progress.last_event_id,
        )
        run_status = data.RunStatus(
            attempt_id=self._admitted.request.attempt_id,
            affinity_key=demand.affinity_key,
            engine=target.name,
            standby=None if standby is None else standby.name,
            is_prefilling=copy is None,
            token_count=demand.token_count,
        )
        copies = _standby_copies.StandbyCopies(
            self._dependencies, self._admitted, run_status, target, standby
        )
        relay = _relay.Relay(
            self._dependencies,
            self._admitted,
            self._progress,
            target,
            copies,
            failover,
            _overdue_runs.OverdueCheck(
                self._dependencies,
                self._admitted,
                self._progress,
                _engine_policies.EngineChoice(target, pair.forecast),
                demand,
                failover,
            ),
        )
        self._targets.begin_request(target)
        with self._dependencies.errors.contain(_supervision.RUN_REPORT):
            self._dependencies.fleet.record_run(run_status)
        try:
            result = self._dependencies.client.send(
                self._admitted.request, context, _calls.CONNECT_TIMEOUT_S
            )
            if isinstance(result, _ports.ExchangeFault):
                return relay.handle_fault(result)
            try:
                return relay.run(result, run_status)
            finally:
                result.close()
                copies.close()
        finally:
            self._targets.end_request(target)
            with self._dependencies.errors.contain(_supervision.RUN_REPORT):
                self._dependencies.fleet.record_run_end(run_status)

    def _context(
        self, pair: _engine_selection.EnginePair, copy: data.RunCopy | None
    ) -> data.DispatchContext:
        standby = pair.standby
        now_s = self._clock.monotonic_s()
        return data.DispatchContext(
            target=pair.primary,
            organisation=self._admitted.organisation,
            time_left_ms=(self._admitted.deadline_s - now_s) * 1000,
            last_event_id=self._progress.last_event_id,
            standby=None if standby is None else standby.endpoint,
            copy=copy,
            is_stream=True,
            priority=_urgency.priority_of_send(
                self._admitted.engine_priority,
                is_resumed=self._progress.last_event_id is not None,
            ),
        )
