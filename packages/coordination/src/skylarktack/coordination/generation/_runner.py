"""Runs one generation to its end over as many attempts as it takes."""

from collections.abc import Generator
from collections.abc import Iterator
import dataclasses

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.generation import _results


@dataclasses.dataclass(frozen=True)
class GenerationParts:
    """Everything that running a generation needs from outside."""

    #: Limits and timeouts.
    settings: state.GenerationSettings

    #: Engines.
    engines: ports.EngineClient

    #: Choice of targets.
    selector: ports.TargetSelector

    #: Budget for further attempts.
    retry_budget: ports.RetryBudget

    #: Choice of the version.
    versions: ports.VersionChooser

    #: Receiver of evidence.
    outcomes: ports.OutcomeObserver

    #: Time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics


class GenerationRunner:
    """Runs generations; one call of ``run`` for each caller's connection."""

    def __init__(self, parts: GenerationParts) -> None:
        self._parts = parts

    def run(
        self, request: state.GenerationRequest
    ) -> Iterator[_results.GenerationStep]:
        """Yield the steps of one generation until it completes or fails.

        The calling thread reads the engine's stream. Closing the iterator
        cancels the attempt on the engine.
        """
        parts = self._parts
        parts.retry_budget.record_request(request.organisation)
        version = parts.versions.version_for(request.route, request.request_id)
        delivered = state.DeliveredText()
        tried: tuple[state.TargetName, ...] = ()
        for attempt in range(1, parts.settings.attempt_count + 1):
            if attempt > 1 and not parts.retry_budget.try_spend(
                request.organisation
            ):
                yield _results.Failed(_budget_refusal())
                return
            chosen = parts.selector.assign(
                ports.SelectionRequest(
                    request_id=request.request_id,
                    route=request.route,
                    organisation=request.organisation,
                    version=version,
                    prompt=request.prompt,
                    excluded=tried,
                )
            )
            if chosen.is_error():
                refusal = chosen.error
                if attempt > 1:
                    refusal = dataclasses.replace(
                        refusal, run=state.RunState.UNKNOWN
                    )
                yield _results.Failed(refusal)
                return
            target = chosen.ok
            tried = (*tried, target.name)
            try:
                finished = yield from self._run_attempt(
                    request, target, version, attempt, delivered
                )
            finally:
                parts.selector.release(target.name)
            if finished:
                return
            parts.metrics.count('generation.failover')
        yield _results.Failed(
            state.Refusal(
                code=state.RefusalCode.TARGET_FAILED,
                message='No target completed the generation.',
                run=state.RunState.UNKNOWN,
            )
        )

    def _run_attempt(
        self,
        request: state.GenerationRequest,
        target: state.Target,
        version: state.VersionName,
        attempt: int,
        delivered: state.DeliveredText,
    ) -> Generator[_results.GenerationStep, None, bool]:
        parts = self._parts
        order = state.EngineOrder(
            request_id=request.request_id,
            attempt=attempt,
            version=version,
            route=request.route.name,
            prompt=request.prompt,
            prefix_tokens=tuple(
                token.decode() for token in delivered.tokens_from(0)
            ),
            max_tokens_count=request.max_tokens_count,
            priority=request.priority,
        )
        opened = parts.engines.start(
            target, order, parts.settings.connect_ms / 1000
        )
        if opened.is_error():
            return False
        stream = opened.ok
        ended = False
        try:
            timeout_s = parts.settings.first_token_ms / 1000
            while True:
                arrived = stream.read(timeout_s)
                if arrived.is_error():
                    return False
                timeout_s = parts.settings.silence_ceiling_ms / 1000
                tokens: list[_results.DeliveredToken] = []
                end: state.StreamEnd | None = None
                for event in arrived.ok:
                    if isinstance(event, state.StreamEnd):
                        end = event
                        break
                    if isinstance(event, state.StreamError):
                        ended = True
                        break
                    if not isinstance(event, state.TokenEvent):
                        continue
                    if event.attempt != attempt:
                        parts.metrics.count('generation.stale_token')
                        continue
                    if event.position != delivered.position:
                        parts.metrics.count('generation.misplaced_token')
                        continue
                    tokens.append(
                        _results.DeliveredToken(
                            position=event.position,
                            attempt=attempt,
                            target=target.name,
                            digest=delivered.append(event.text),
                            text=event.text,
                        )
                    )
                if tokens:
                    yield _results.Delivery(tuple(tokens))
                if ended:
                    return False
                if end is None:
                    continue
                if end.token_count != delivered.position:
                    return False
                ended = True
                yield _results.Completed(end.token_count, end.reason)
                return True
        finally:
            stream.close()
            if not ended:
                parts.engines.cancel(
                    target,
                    request.request_id,
                    attempt,
                    parts.settings.connect_ms / 1000,
                )


def _budget_refusal() -> state.Refusal:
    return state.Refusal(
        code=state.RefusalCode.RETRY_BUDGET,
        message='The retry budget is exhausted.',
        run=state.RunState.UNKNOWN,
    )
