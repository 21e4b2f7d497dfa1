"""Opens, fetches, cancels and drains the generations of one instance."""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import functools
import threading

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _dependencies
from skylarktack.coordination.generation import _peer_lookup
from skylarktack.coordination.generation import _runner
from skylarktack.coordination.generation import _subscription

#: Maximum wait until all callers are notified of a handover.
HANDOVER_TIMEOUT_S = 3.0

#: Poll interval of a detached generation that another thread is advancing.
DETACHED_POLL_S = 0.05

_LOG = structlog.get_logger(response='generation')

#: Finds the route of a generation by its name or by the serving version.
RouteFinder = Callable[[str, state.VersionName], state.Route | None]


@dataclasses.dataclass(frozen=True)
class DrainReport:
    """Result of draining the generations of an instance."""

    #: Generations running when the drain started.
    running_count: int

    #: Generations that ended on this instance.
    finished_count: int

    #: Generations that continue on their engine for another instance.
    handed_over_count: int


class GenerationService:
    """All generations of one instance."""

    def __init__(
        self,
        dependencies: _dependencies.GenerationDependencies,
        generation_count: int,
        peers: ports.PeerNetwork | None = None,
        runner: _runner.GenerationRunner | None = None,
    ) -> None:
        self._dependencies = dependencies
        self.runner = runner or _runner.GenerationRunner(dependencies)
        self._table: state.GenerationTable[_subscription.SharedGeneration] = (
            state.GenerationTable(dependencies.settings.retained_bytes)
        )
        self._generation_count = generation_count
        self._changed = threading.Condition()
        self._subscription_count = 0
        self._stopping = False
        self._peers: _peer_lookup.PeerLookup | None = None
        if peers is not None:
            self._peers = _peer_lookup.PeerLookup(
                peers, self._table, dependencies.settings.peer_ms / 1000
            )
        # Runs generations that continue without a caller, one task for each.
        self._detached = concurrent.futures.ThreadPoolExecutor(
            generation_count, 'detached-generation'
        )

    @property
    def is_stopping(self) -> bool:
        """Whether the instance is draining and accepts no new work."""
        return self._stopping

    @property
    def running_count(self) -> int:
        """Number of generations that are being read or advanced."""
        return len(self._table.running())

    def open(
        self, request: state.GenerationRequest, from_start: bool = False
    ) -> Result[_subscription.GenerationSubscription, state.Refusal]:
        """Start a generation or join the one with the same request id.

        :param from_start: whether to deliver all tokens instead of those
            after the resume token.
        """
        refusal = self._check_admission()
        if refusal is not None:
            return Error(refusal)
        position = 0
        if request.resume is not None and not from_start:
            position = request.resume.position
        existing = self._table.find(request.organisation, request.request_id)
        if existing is not None:
            joined = self._join(existing, request, position)
            if joined is not None:
                return joined
        return self._open_new(request, position)

    def fetch(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        resume: state.ResumeToken | None,
        find_route: RouteFinder,
        from_start: bool = False,
    ) -> Result[_subscription.GenerationSubscription, state.Refusal]:
        """Join a generation without its prompt, by its request id."""
        refusal = self._check_admission()
        if refusal is not None:
            return Error(refusal)
        position = 0
        if resume is not None and not from_start:
            position = resume.position
        existing = self._table.find(organisation, request_id)
        if existing is not None and self._matches(existing.record, resume):
            return Ok(self._subscribe(existing, position))
        peer_generation = self._find_on_peer(
            organisation, request_id, resume, True
        )
        name = (
            peer_generation.response.route
            if peer_generation is not None
            else ''
        )
        version = resume.version if resume else state.VersionName('')
        route = find_route(name, version)
        if route is None or (peer_generation is None and resume is None):
            return Error(_unknown_generation())
        request = state.GenerationRequest(
            request_id=request_id,
            organisation=organisation,
            route=route,
            prompt='',
            max_tokens_count=0,
            resume=resume,
        )
        return self._register(request, peer_generation, False, position)

    def cancel(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        resume: state.ResumeToken | None,
    ) -> Result[None, state.Refusal]:
        """Cancel a generation here, on a peer, or directly on its engine."""
        existing = self._table.find(organisation, request_id)
        if existing is not None:
            _peer_lookup.cancel_generation(existing)
            return Ok(None)
        if self._peers is not None:
            if self._peers.cancel(organisation, request_id):
                return Ok(None)
        if resume is None:
            return Error(_unknown_generation())
        target = self._dependencies.selector.target(resume.target)
        if target is None:
            return Error(_unknown_generation())
        self.runner.canceller.abandon(target, request_id, resume.attempt)
        return Ok(None)

    def release(
        self, subscription: _subscription.GenerationSubscription
    ) -> None:
        """End a subscription whose caller no longer reads it."""
        generation = subscription.generation
        remaining_count = generation.add_subscribers(-1)
        if not remaining_count and generation.is_running:
            generation.is_detached = True
            self._detached.submit(
                self._dependencies.supervisor.run_once,
                'detached generations',
                functools.partial(self._run_detached, generation),
            )
        self._mark_idle(generation)
        with self._changed:
            self._subscription_count -= 1
            self._changed.notify_all()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no generation is running; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._table.running(), timeout_s
            )

    def drain(self) -> DrainReport:
        """Let running generations finish, then hand over the others."""
        self._stopping = True
        running = self._table.running()
        _LOG.info('drain started', running_count=len(running))
        self.wait_idle(self._dependencies.settings.drain_ms / 1000)
        for generation in self._table.running():
            generation.record.handover_requested = True
        self.wait_idle(HANDOVER_TIMEOUT_S)
        ended_count = 0
        for generation in running:
            if (
                generation.record.is_ended
                or generation.record.cancel_requested
            ):
                ended_count += 1
        report = DrainReport(
            len(running), ended_count, len(running) - ended_count
        )
        _LOG.info('drain finished', **dataclasses.asdict(report))
        return report

    def _check_admission(self) -> state.Refusal | None:
        if self._stopping:
            return state.Refusal(
                state.RefusalCode.STOPPING,
                'The instance is stopping; use another one.',
                state.RunState.NOT_RUN,
                100,
            )
        if self._subscription_count >= self._generation_count:
            return state.Refusal(
                state.RefusalCode.LIMIT_REACHED,
                'The instance has reached its limit of generations.',
                state.RunState.NOT_RUN,
                1000,
            )
        return None

    def _join(
        self,
        generation: _subscription.SharedGeneration,
        request: state.GenerationRequest,
        position: int,
    ) -> Result[_subscription.GenerationSubscription, state.Refusal] | None:
        record = generation.record
        if record.prompt_known and record.request.prompt != request.prompt:
            return Error(
                state.Refusal(
                    state.RefusalCode.KEY_CONFLICT,
                    'The request id was used with another prompt.',
                    state.RunState.NOT_RUN,
                )
            )
        if not self._matches(record, request.resume):
            # The caller has more tokens than this instance recorded, or
            # other ones.
            self._table.remove(request.organisation, request.request_id)
            record.handover_requested = True
            return None
        record.request = request
        record.prompt_known = True
        generation.reopen()
        return Ok(self._subscribe(generation, position))

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

    def _open_new(
        self, request: state.GenerationRequest, position: int
    ) -> Result[_subscription.GenerationSubscription, state.Refusal]:
        # For a caller that moved here, peers are queried even if the request
        # id names no instance, so that the previous instance does not cancel
        # the attempt.
        has_moved = request.resume is not None
        peer_generation = self._find_on_peer(
            request.organisation, request.request_id, request.resume, has_moved
        )
        if (
            peer_generation is not None
            and peer_generation.response.prompt
            not in (
                None,
                request.prompt,
            )
        ):
            peer_generation = None
        return self._register(request, peer_generation, True, position)

    def _find_on_peer(
        self,
        organisation: state.OrganisationName,
        request_id: state.RequestId,
        resume: state.ResumeToken | None,
        query_any_peer: bool,
    ) -> _peer_lookup.PeerGeneration | None:
        if self._peers is None:
            return None
        return self._peers.find(
            organisation, request_id, resume is not None, query_any_peer
        )

    def _register(
        self,
        request: state.GenerationRequest,
        peer_generation: _peer_lookup.PeerGeneration | None,
        prompt_known: bool,
        position: int,
    ) -> Result[_subscription.GenerationSubscription, state.Refusal]:
        start = _start_from_request(request, prompt_known)
        end: state.StreamEnd | None = None
        if peer_generation is not None:
            from_peer = _start_from_peer(
                request, peer_generation, prompt_known
            )
            record = state.GenerationRecord(from_peer)
            if self._matches(record, request.resume):
                start = from_peer
                end = peer_generation.response.end
        if start.check is not None and start.tokens:
            existing = state.GenerationRecord(
                dataclasses.replace(start, check=None)
            )
            if not self._matches(existing, request.resume):
                return Error(
                    state.Refusal(
                        state.RefusalCode.BAD_REQUEST,
                        'delivered: text does not match the event id.',
                        state.RunState.NOT_RUN,
                    )
                )
            start = dataclasses.replace(start, check=None)
        record = state.GenerationRecord(start)
        if end is not None:
            record.finish(end)
        generation = self._table.add(
            request.organisation,
            request.request_id,
            _subscription.SharedGeneration(self.runner, record),
        )
        return Ok(self._subscribe(generation, position))

    def _subscribe(
        self, generation: _subscription.SharedGeneration, position: int
    ) -> _subscription.GenerationSubscription:
        request = generation.record.request
        generation.add_subscribers(1)
        self._table.mark_in_use(request.organisation, request.request_id)
        with self._changed:
            self._subscription_count += 1
        return _subscription.GenerationSubscription(generation, position)

    def _run_detached(
        self, generation: _subscription.SharedGeneration
    ) -> None:
        clock = self._dependencies.clock
        grace_s = self._dependencies.settings.caller_grace_ms / 1000
        end_s = clock.monotonic_s() + grace_s
        cancels_on_loss = (
            generation.record.request.route.caller_loss
            is state.CallerLossPolicy.CANCEL
        )
        never_set = threading.Event()
        try:
            while generation.is_running and not generation.subscriber_count:
                if cancels_on_loss and clock.monotonic_s() >= end_s:
                    generation.suspend()
                    break
                if generation.try_advance() is None:
                    clock.wait(never_set, DETACHED_POLL_S)
        finally:
            generation.is_detached = False
            self._mark_idle(generation)
            with self._changed:
                self._changed.notify_all()

    def _mark_idle(self, generation: _subscription.SharedGeneration) -> None:
        request = generation.record.request
        self._table.mark_idle(
            request.organisation,
            request.request_id,
            self._dependencies.clock.monotonic_s(),
        )


def _start_from_request(
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
    peer_generation: _peer_lookup.PeerGeneration,
    prompt_known: bool,
) -> state.InitialGenerationState:
    response = peer_generation.response
    if not prompt_known and response.prompt is not None:
        prompt_known = True
        request = dataclasses.replace(
            request,
            prompt=response.prompt,
            max_tokens_count=response.max_tokens_count,
            accepts_restart=response.accepts_restart,
        )
    return state.InitialGenerationState(
        request=request,
        version=response.attempt.version if response.attempt else None,
        tokens=peer_generation.tokens,
        running=response.attempt,
        is_shared=request.resume is None,
        prompt_known=prompt_known,
    )


def _unknown_generation() -> state.Refusal:
    return state.Refusal(
        state.RefusalCode.UNKNOWN_REQUEST,
        'No instance holds this generation.',
        state.RunState.UNKNOWN,
    )
