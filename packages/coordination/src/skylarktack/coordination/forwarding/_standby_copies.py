"""Keeps a copy of one run at a second engine while the first generates.

An engine copies the KV cache of a run to the standby engine by itself. When
the standby engine is lost, the run has no copy left and would be read again
from its prompt after the next loss, so its engine is asked to copy it to
another one, once. What the run generates after that is read again before it
goes on, which takes a fraction of a second.
"""

import dataclasses
import math

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _calls
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _stream_attempts
from skylarktack.coordination.forwarding import _supervision
from skylarktack.state import forwarding as data

#: Time for which an engine may work on a copy, and the pause after a failed
#: one.
COPY_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 3.0


class StandbyCopies:
    """The copies of one run; its relay calls it between events."""

    def __init__(
        self,
        dependencies: _stream_attempts.StreamDependencies,
        admitted: _admitted_request.AdmittedRequest,
        run_status: data.RunStatus,
        engine: data.ListedTarget,
        standby: data.ListedTarget | None,
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._targets = dependencies.targets
        self._admitted = admitted
        self._run_status = run_status
        self._engine = engine
        self._standby = standby
        #: The replacement copy, or None while there is none.
        self._replacement: data.RunCopy | None = None
        self._exchange: _ports.Exchange | None = None
        self._destination: data.ListedTarget | None = None
        self._started_at_s = -math.inf
        if standby is None:
            # The run was placed where memory is scarce.
            self._started_at_s = self._clock.monotonic_s()
        self._head: data.ResponseHead | None = None
        self._body: list[bytes] = []

    def exchanges(self) -> tuple[_ports.Exchange, ...]:
        """Return the exchange to poll while a copy is made."""
        return () if self._exchange is None else (self._exchange,)

    def maintain(self, last_event_id: int | None) -> None:
        """Start a replacement copy if the run has no usable one.

        :param last_event_id: last event that the caller has received.
        """
        with self._dependencies.errors.contain(_supervision.STANDBY_COPIES):
            self._start_copy_if_due(last_event_id)

    def _start_copy_if_due(self, last_event_id: int | None) -> None:
        if not self._admitted.has_standby_copies:
            return
        now_s = self._clock.monotonic_s()
        if self._exchange is not None:
            if now_s >= self._started_at_s + COPY_TIMEOUT_S:
                self._abandon_copy()
            return
        if self._standby is not None and not self._is_gone(self._standby):
            return
        if now_s < self._started_at_s + RETRY_PAUSE_S:
            return
        replacement = self._replacement
        if replacement is not None and not self._is_gone(replacement.engine):
            return
        if self._targets.exclusions.is_paused(self._engine):
            return
        destination = self._choose_destination(last_event_id)
        if destination is not None:
            self._start_copy(destination)

    def receive(self, ready: tuple[_ports.Exchange, ...]) -> None:
        """Handle what the engine answers to the request for a copy."""
        if self._exchange is None or self._exchange not in ready:
            return
        try:
            self._receive_events(self._exchange)
        except Exception as error:
            # An exchange that stays ready would be read again at once.
            self._dependencies.errors.record(
                _supervision.STANDBY_COPIES, error
            )
            self._abandon_copy()

    def _receive_events(self, exchange: _ports.Exchange) -> None:
        for event in exchange.receive():
            if isinstance(event, _ports.ExchangeFault):
                self._abandon_copy()
                return
            if isinstance(event, data.ResponseHead):
                self._head = event
                self._targets.report_head(self._engine, event)
                continue
            if isinstance(event, _ports.BodyChunk):
                self._body.append(event.data)
                continue
            self._finish_copy()
            return

    def usable_copy(self) -> data.RunCopy | None:
        """Return a copy from which the run can go on, or None."""
        if not self._admitted.has_standby_copies:
            return None
        if self._standby is not None and not self._is_unavailable(
            self._standby
        ):
            return data.RunCopy(self._standby)
        replacement = self._replacement
        if replacement is None or self._is_unavailable(replacement.engine):
            return None
        return replacement

    def close(self) -> None:
        """End a copy that is being made."""
        if self._exchange is not None:
            self._exchange.close()
        self._exchange = None

    def release(self) -> None:
        """Free the replacement copy of a run that is complete."""
        if self._replacement is None:
            return
        with self._dependencies.errors.contain(_supervision.STANDBY_COPIES):
            self._dependencies.client.release_copy(
                self._engine, self._replacement
            )

    def _is_gone(self, engine: data.ListedTarget) -> bool:
        """Return whether the list no longer offers an engine.

        An engine that is only ejected or suspected mostly comes back, and
        copies take memory, slots and links from other runs.
        """
        listed = self._targets.find(engine.name)
        return listed is None or listed.is_leaving

    def _is_unavailable(self, engine: data.ListedTarget) -> bool:
        return self._targets.is_unavailable(engine)

    def _choose_destination(
        self, last_event_id: int | None
    ) -> data.ListedTarget | None:
        demand = _placement.demand_after_progress(
            _placement.demand_of(self._admitted),
            self._admitted,
            last_event_id,
            last_sent_at_s=None,
        )
        return self._targets.placement.choose_standby(
            self._admitted.service,
            self._engine,
            self._admitted.request.model,
            demand,
            self._admitted.version_rule.for_retry(),
        )

    def _start_copy(self, destination: data.ListedTarget) -> None:
        self._started_at_s = self._clock.monotonic_s()
        result = self._dependencies.client.start_copy(
            data.CopyOrder(
                self._engine,
                self._admitted.request.attempt_id,
                destination.endpoint,
            ),
            _calls.CONNECT_TIMEOUT_S,
        )
        if isinstance(result, _ports.ExchangeFault):
            return
        if self._replacement is None:
            self._admitted.trace.record(
                self._started_at_s, 'copy', target=destination.name
            )
        self._exchange = result
        self._destination = destination
        self._head = None
        self._body = []

    def _finish_copy(self) -> None:
        destination = self._destination
        self.close()
        if self._head is None or self._head.status != data.OK_STATUS:
            return
        handle = self._dependencies.client.decode_copy(b''.join(self._body))
        if handle is None or destination is None:
            return
        self._replacement = data.RunCopy(
            destination, self._engine.endpoint, handle
        )
        if self._run_status.standby != destination.name:
            self._run_status = dataclasses.replace(
                self._run_status,
                standby=destination.name,
                is_prefilling=False,
            )
            self._dependencies.fleet.record_run(self._run_status)

    def _abandon_copy(self) -> None:
        self.close()
        self._started_at_s = self._clock.monotonic_s()
