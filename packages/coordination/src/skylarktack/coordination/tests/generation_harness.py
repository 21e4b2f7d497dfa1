"""Test harness: the generations of one instance on in-memory engines."""

import dataclasses
import zlib

from expression import Result

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import generation
from skylarktack.coordination import limits
from skylarktack.coordination import moves
from skylarktack.coordination import ports

ROUTE = state.Route(
    name=state.RouteName('digest'),
    kind=state.RouteKind.GENERATION,
    version=state.VersionName('model-1'),
)
ORGANISATION = state.OrganisationName('small')


def token_at(prompt: str, position: int) -> str:
    """Return the token that a healthy engine generates at a position."""
    return f'w{zlib.crc32(f"{prompt} {position}".encode()) % 1000} '


def expected_text(prompt: str, count: int) -> str:
    """Return the complete response to a prompt."""
    return ''.join(token_at(prompt, at) for at in range(count))


def request(
    number: int = 1, count: int = 20, **fields: object
) -> state.GenerationRequest:
    """Return a request whose prompt depends on its number."""
    return dataclasses.replace(
        state.GenerationRequest(
            request_id=state.RequestId(f'request-{number}'),
            organisation=ORGANISATION,
            route=ROUTE,
            prompt=f'prompt {number}',
            max_tokens_count=count,
        ),
        **fields,  # type: ignore[arg-type]
    )


class Outcomes:
    """Records the outcomes of attempts."""

    def __init__(self) -> None:
        self.seen: list[state.TargetOutcome] = []

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Record one outcome."""
        self.seen.append(outcome)


class Fleet:
    """Engines with their clock and their list of targets."""

    def __init__(self, seed: int, engine_count: int = 4) -> None:
        self.clock = fakes.SteppingClock()
        self.engines = fakes.FaultyEngines(self.clock, token_at, seed)
        self.targets: list[state.Target] = []
        for index in range(engine_count):
            self.targets.append(
                state.Target(
                    name=state.TargetName(f'engine-{index}'),
                    kind=state.TargetKind.ENGINE,
                    address=state.Address('127.0.0.1', index),
                    failure_domain=state.FailureDomain(f'domain-{index % 2}'),
                    region='region-1',
                    versions=(ROUTE.version,),
                )
            )


class GenerationHarness:
    """The generation service of one instance on a fleet of engines."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        settings: state.GenerationSettings | None = None,
        peers: ports.PeerNetwork | None = None,
        burst_count: int = 1000,
    ) -> None:
        self.fleet = fleet
        self.selector = fakes.PlainSelector(seed)
        self.selector.update(tuple(fleet.targets))
        self.metrics = fakes.MemoryMetrics()
        self.errors = forwarding.ErrorRecorder(
            fleet.clock, fakes.RecordingLog()
        )
        self.outcomes = Outcomes()
        budget = limits.OrganisationRetryBudget(
            state.RetrySettings(budget_burst_count=burst_count),
            state.LimitSettings(organisation_retry_burst_count=burst_count),
        )
        dependencies = generation.GenerationDependencies(
            settings=settings or state.GenerationSettings(),
            engines=fleet.engines,
            selector=self.selector,
            retry_budget=budget,
            versions=moves.RouteVersionChooser(),
            outcomes=self.outcomes,
            clock=fleet.clock,
            metrics=self.metrics,
            supervisor=forwarding.Supervisor(fleet.clock, self.errors),
        )
        self.dependencies = dependencies
        self.canceller = generation.AttemptCanceller(dependencies, False)
        self.service = generation.GenerationService(
            dependencies,
            100,
            peers,
            generation.GenerationRunner(dependencies, self.canceller),
        )

    def run(self, wanted_request: state.GenerationRequest) -> 'Received':
        """Read a generation to its end."""
        return read(self.service, self.service.open(wanted_request))


class Received:
    """What a caller received from one subscription."""

    def __init__(self) -> None:
        self.text = ''
        self.tokens: list[generation.DeliveredToken] = []
        self.end: generation.Completed | None = None
        self.refusal: state.Refusal | None = None
        self.restart_count = 0
        self.handed_over = False

    def resume_token(self) -> state.ResumeToken:
        """Return the resume token after the last token."""
        last = self.tokens[-1]
        return state.ResumeToken(
            last.position + 1,
            last.attempt,
            last.target,
            last.digest,
            last.version,
        )


def read(
    service: generation.GenerationService,
    opened: Result[generation.GenerationSubscription, state.Refusal],
    limit_count: int | None = None,
) -> Received:
    """Read a subscription to its end or until ``limit_count`` tokens."""
    received = Received()
    if opened.is_error():
        received.refusal = opened.error
        return received
    for event in opened.ok:
        if isinstance(event, generation.TokenBatch):
            for token in event.tokens:
                received.text += token.text.decode()
                received.tokens.append(token)
        if isinstance(event, generation.Restarted):
            received.restart_count += 1
            received.text = ''
            received.tokens.clear()
        if isinstance(event, generation.Completed):
            received.end = event
        if isinstance(event, generation.Failed):
            received.refusal = event.refusal
        if isinstance(event, generation.HandedOver):
            received.handed_over = True
        if limit_count is not None and len(received.tokens) >= limit_count:
            break
    service.release(opened.ok)
    return received
