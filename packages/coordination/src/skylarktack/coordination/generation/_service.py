"""Generations of one instance: open, join, fetch, cancel and drain."""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import threading

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _feed
from skylarktack.coordination.generation import _parts
from skylarktack.coordination.generation import _peer_lookup
from skylarktack.coordination.generation import _runner

#: Longest wait for callers to be told of a handover.
HANDOVER_WAIT_S = 3.0

#: Time between two looks of a detached generation that another thread
#: advances.
DETACHED_WAIT_S = 0.05

_LOG = structlog.get_logger(part='generation')

#: Finds the route of a generation by its name or by the version it ran.
RouteFinder = Callable[[str, state.VersionName], state.Route | None]


@dataclasses.dataclass(frozen=True)
class DrainReport:
    """How the generations of a stopping instance ended."""

    #: Generations that ran when the stop was ordered.
    running_count: int

    #: Those that ended here.
    finished_count: int

    #: Those that continue on their engine for another instance.
    handed_over_count: int


class GenerationService:
    """All generations of one instance."""

    def __init__(
        self,
        parts: _parts.GenerationDependencies,
        generation_count: int,
        peers: ports.PeerNetwork | None = None,
        runner: _runner.GenerationRunner | None = None,
    ) -> None:
        self._parts = parts
        self.runner = runner or _runner.GenerationRunner(parts)
        self._table: state.GenerationTable[_feed.GenerationPump] = (
            state.GenerationTable(parts.settings.retained_bytes)
        )
        self._generation_count = generation_count
        self._changed = threading.Condition()
        self._feed_count = 0
        self._stopping = False
        self._peers: _peer_lookup.PeerLookup | None = None
        if peers is not None:
            self._peers = _peer_lookup.PeerLookup(
                peers, self._table, parts.settings.peer_ms / 1000
            )
        # Each generation that goes on without a caller has a task here.
        self._detached = concurrent.futures.ThreadPoolExecutor(
            generation_count, 'detached-generation'
        )

    @property
    def is_stopping(self) -> bool:
        """Whether a stop was ordered; no work is accepted any more."""
        return self._stopping

    @property
    def running_count(self) -> int:
        """Number of generations read or advanced at present."""
        return len(self._table.running())

    def open(
        self, request: state.GenerationRequest, from_start: bool = False
    ) -> Result[_feed.GenerationSubscription, state.Refusal]:
        """Start a generation or join the one of the same identifier.

        :param from_start: whether all tokens are wanted rather than those
            after the resume token.
        """
        refusal = self._refuse()
        if refusal is not None:
            return Error(refusal)
        position = 0
        if request.resume is not None and not from_start:
            position = request.resume.position
        held = self._table.find(request.organisation, request.request_id)
        if held is not None:
            joined = self._join(held, request, position)
            if joined is not None:
                return joined
        return self._take_up(request, position)

    def fetch(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        resume: state.ResumeToken | None,
        find_route: RouteFinder,
        from_start: bool = False,
    ) -> Result[_feed.GenerationSubscription, state.Refusal]:
        """Join a generation of which the caller sent no prompt."""
        refusal = self._refuse()
        if refusal is not None:
            return Error(refusal)
        position = 0
        if resume is not None and not from_start:
            position = resume.position
        held = self._table.find(organisation, request_id)
        if held is not None and self._matches(held.record, resume):
            return Ok(self._attach(held, position))
        found = self._find_on_peer(organisation, request_id, resume, True)
        name = found.part.route if found is not None else ''
        version = resume.version if resume else state.VersionName('')
        route = find_route(name, version)
        if route is None or (found is None and resume is None):
            return Error(_unknown())
        request = state.GenerationRequest(
            request_id=request_id,
            organisation=organisation,
            route=route,
            prompt='',
            max_tokens_count=0,
            resume=resume,
        )
        return self._enter(request, found, False, position)

    def cancel(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        resume: state.ResumeToken | None,
    ) -> Result[None, state.Refusal]:
        """Cancel a generation wherever it runs."""
        held = self._table.find(organisation, request_id)
        if held is not None:
            _peer_lookup.cancel_pump(held)
            return Ok(None)
        if self._peers is not None:
            if self._peers.cancel(organisation, request_id):
                return Ok(None)
        if resume is None:
            return Error(_unknown())
        target = self._parts.selector.target(resume.target)
        if target is None:
            return Error(_unknown())
        self.runner.canceller.abandon(target, request_id, resume.attempt)
        return Ok(None)

    def release(self, feed: _feed.GenerationSubscription) -> None:
        """Take note that a caller no longer reads its feed."""
        pump = feed.pump
        left_count = pump.count_feeds(-1)
        if not left_count and pump.is_running:
            pump.is_detached = True
            self._detached.submit(self._run_detached, pump)
        self._mark_idle(pump)
        with self._changed:
            self._feed_count -= 1
            self._changed.notify_all()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until nothing is read or advanced; return whether it is so."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._table.running(), timeout_s
            )

    def drain(self) -> DrainReport:
        """Let running generations finish, then hand over the others."""
        self._stopping = True
        running = self._table.running()
        _LOG.info('drain started', running_count=len(running))
        self.wait_idle(self._parts.settings.drain_ms / 1000)
        for pump in self._table.running():
            pump.record.handover_requested = True
        self.wait_idle(HANDOVER_WAIT_S)
        ended_count = 0
        for pump in running:
            if pump.record.is_ended or pump.record.cancel_requested:
                ended_count += 1
        report = DrainReport(
            len(running), ended_count, len(running) - ended_count
        )
        _LOG.info('drain finished', **dataclasses.asdict(report))
        return report

    def _refuse(self) -> state.Refusal | None:
        if self._stopping:
            return state.Refusal(
                state.RefusalCode.STOPPING,
                'The instance stops; use another one.',
                state.RunState.NOT_RUN,
                100,
            )
        if self._feed_count >= self._generation_count:
            return state.Refusal(
                state.RefusalCode.LIMIT_REACHED,
                'The instance serves as many generations as it may.',
                state.RunState.NOT_RUN,
                1000,
            )
        return None

    def _join(
        self,
        pump: _feed.GenerationPump,
        request: state.GenerationRequest,
        position: int,
    ) -> Result[_feed.GenerationSubscription, state.Refusal] | None:
        record = pump.record
        if record.prompt_known and record.request.prompt != request.prompt:
            return Error(
                state.Refusal(
                    state.RefusalCode.KEY_CONFLICT,
                    'The request id belongs to another prompt.',
                    state.RunState.NOT_RUN,
                )
            )
        if not self._matches(record, request.resume):
            # The caller is ahead of what this instance holds.
            self._table.remove(request.organisation, request.request_id)
            record.handover_requested = True
            return None
        record.request = request
        record.prompt_known = True
        pump.reopen()
        return Ok(self._attach(pump, position))

    def _matches(
        self,
        record: state.GenerationRecord,
        resume: state.ResumeToken | None,
    ) -> bool:
        if resume is None:
            return True
        if record.available < resume.position:
            return False
        return record.digest_at(resume.position) == resume.digest

    def _take_up(
        self, request: state.GenerationRequest, position: int
    ) -> Result[_feed.GenerationSubscription, state.Refusal]:
        # A caller who moved here is looked for even if the identifier names
        # no instance, so that the former one does not cancel the attempt.
        moved = request.resume is not None
        found = self._find_on_peer(
            request.organisation, request.request_id, request.resume, moved
        )
        if found is not None and found.part.prompt not in (
            None,
            request.prompt,
        ):
            found = None
        return self._enter(request, found, True, position)

    def _find_on_peer(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        resume: state.ResumeToken | None,
        ask_any: bool,
    ) -> _peer_lookup.PeerGeneration | None:
        if self._peers is None:
            return None
        return self._peers.find(
            organisation, request_id, resume is not None, ask_any
        )

    def _enter(
        self,
        request: state.GenerationRequest,
        found: _peer_lookup.PeerGeneration | None,
        prompt_known: bool,
        position: int,
    ) -> Result[_feed.GenerationSubscription, state.Refusal]:
        start = _start_from_token(request, prompt_known)
        end: state.StreamEnd | None = None
        if found is not None:
            from_peer = _start_from_peer(request, found, prompt_known)
            record = state.GenerationRecord(from_peer)
            if self._matches(record, request.resume):
                start = from_peer
                end = found.part.end
        if start.check is not None and start.tokens:
            held = state.GenerationRecord(
                dataclasses.replace(start, check=None)
            )
            if not self._matches(held, request.resume):
                return Error(
                    state.Refusal(
                        state.RefusalCode.BAD_REQUEST,
                        'delivered: not the text that the event id covers.',
                        state.RunState.NOT_RUN,
                    )
                )
            start = dataclasses.replace(start, check=None)
        record = state.GenerationRecord(start)
        if end is not None:
            record.finish(end)
        pump = self._table.add(
            request.organisation,
            request.request_id,
            _feed.GenerationPump(self.runner, record),
        )
        return Ok(self._attach(pump, position))

    def _attach(
        self, pump: _feed.GenerationPump, position: int
    ) -> _feed.GenerationSubscription:
        request = pump.record.request
        pump.count_feeds(1)
        self._table.mark_in_use(request.organisation, request.request_id)
        with self._changed:
            self._feed_count += 1
        return _feed.GenerationSubscription(pump, position)

    def _run_detached(self, pump: _feed.GenerationPump) -> None:
        clock = self._parts.clock
        grace_s = self._parts.settings.caller_grace_ms / 1000
        end_s = clock.monotonic_s() + grace_s
        cancels = (
            pump.record.request.route.caller_loss
            is state.CallerLossPolicy.CANCEL
        )
        pause = threading.Event()
        try:
            while pump.is_running and not pump.feed_count:
                if cancels and clock.monotonic_s() >= end_s:
                    pump.suspend()
                    break
                if pump.try_advance() is None:
                    clock.wait(pause, DETACHED_WAIT_S)
        finally:
            pump.is_detached = False
            self._mark_idle(pump)
            with self._changed:
                self._changed.notify_all()

    def _mark_idle(self, pump: _feed.GenerationPump) -> None:
        request = pump.record.request
        self._table.mark_idle(
            request.organisation,
            request.request_id,
            self._parts.clock.monotonic_s(),
        )


def _start_from_token(
    request: state.GenerationRequest, prompt_known: bool
) -> state.InitialGenerationState:
    resume = request.resume
    if resume is None:
        return state.InitialGenerationState(request, prompt_known=prompt_known)
    tokens: list[bytes] = []
    for token in request.delivered_tokens or ():
        tokens.append(token.encode())
    check: state.ResumeCheck | None = None
    if resume.position:
        check = state.ResumeCheck(resume.position, resume.digest)
    return state.InitialGenerationState(
        request=request,
        version=resume.version or None,
        tokens=tuple(tokens),
        check=check,
        running=state.AttemptRecord(
            resume.attempt, resume.target, resume.version, 0
        ),
        prompt_known=prompt_known,
    )


def _start_from_peer(
    request: state.GenerationRequest,
    found: _peer_lookup.PeerGeneration,
    prompt_known: bool,
) -> state.InitialGenerationState:
    part = found.part
    if not prompt_known and part.prompt is not None:
        prompt_known = True
        request = dataclasses.replace(
            request,
            prompt=part.prompt,
            max_tokens_count=part.max_tokens_count,
            accepts_restart=part.accepts_restart,
        )
    return state.InitialGenerationState(
        request=request,
        version=part.attempt.version if part.attempt else None,
        tokens=found.tokens,
        running=part.attempt,
        is_shared=request.resume is None,
        prompt_known=prompt_known,
    )


def _unknown() -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.UNKNOWN_REQUEST,
        'No instance holds this generation.',
        state.RunState.UNKNOWN,
    )
