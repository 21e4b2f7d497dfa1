"""Processor time that protection adds to each token, without sockets."""

from collections.abc import Iterator
import time

from expression import Ok
from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import generation
from skylarktack.coordination import limits
from skylarktack.coordination import moves
from skylarktack.coordination import ports
from skylarktack.emulator.bench import _figures

#: Tokens of one answer and answers of one run.
TOKEN_COUNT = 4000
ANSWER_COUNT = 5

#: Tokens that arrive together.
BATCH_COUNT = 1

_ROUTE = state.Route(
    name=state.RouteName('digest'),
    kind=state.RouteKind.GENERATION,
    version=state.VersionName('model-1'),
)


class _ReadyEngines(fakes.FaultyEngines):
    """Engines whose streams hold all tokens from the beginning."""

    def start(
        self,
        target: state.Target,
        order: state.AttemptRequest,
        timeout_s: float,
    ) -> Result[ports.TokenStream, ports.StreamFault]:
        """Start an attempt."""
        return Ok(_ReadyStream(order))


class _ReadyStream:
    def __init__(self, order: state.AttemptRequest) -> None:
        batches: list[tuple[state.StreamEvent, ...]] = [
            (state.StreamStart(order.request_id, order.attempt, 'i', 0),)
        ]
        for start in range(0, TOKEN_COUNT, BATCH_COUNT):
            tokens: list[state.StreamEvent] = []
            for at in range(start, start + BATCH_COUNT):
                tokens.append(state.TokenEvent(order.attempt, at, b'token12 '))
            batches.append(tuple(tokens))
        batches.append((state.StreamEnd(TOKEN_COUNT, 'length'),))
        self._batches = iter(batches)

    def read(self, timeout_s: float) -> ports.StreamRead:
        """Return the next tokens."""
        events = next(self._batches, None)
        if events is None:
            kind = ports.StreamFaultKind.CLOSED
            return ports.StreamFault(kind, 'over')
        return events

    def close(self) -> None:
        """Do nothing."""


class _NoOutcomes:
    def observe(self, outcome: state.TargetOutcome) -> None:
        """Ignore the evidence."""


def run(seed: int) -> Iterator[_figures.Figure]:
    """Yield processor time and memory of one token."""
    protected_us = min(_time_us(_protected, seed) for _ in range(3))
    plain_us = min(_time_us(_plain, seed) for _ in range(3))
    count = TOKEN_COUNT * ANSWER_COUNT
    for name, value in (
        ('protected', protected_us),
        ('without_protection', plain_us),
        ('added', protected_us - plain_us),
    ):
        yield _figures.Figure(
            f'generation.cpu_{name}', value, 'us/token', seed, count
        )
    yield from _alternatives(seed)
    record = state.GenerationRecord(state.InitialGenerationState(_request(0)))
    record.append([b'token12 '] * TOKEN_COUNT)
    yield _figures.Figure(
        'generation.memory',
        record.size_bytes / TOKEN_COUNT,
        'bytes/token',
        seed,
        TOKEN_COUNT,
    )


def _alternatives(seed: int) -> Iterator[_figures.Figure]:
    """Yield what each token costs for each place of the state."""
    count = TOKEN_COUNT * ANSWER_COUNT
    note = state.AttemptRecord(
        65_540, state.TargetName('engine-1'), state.VersionName('model-1'), 0
    )
    codec = protocol.PeerCodec(protocol.PEER_MESSAGES)
    part = generation.ReadGenerationResponse(
        known=True, tokens=('capacitor12 ',), position=100, attempt=note
    )
    started_s = time.process_time()
    for _ in range(count):
        codec.decode(codec.encode(protocol.Frame(part, 1)))
    copied_s = time.process_time() - started_s
    request = _request(0)
    writer = protocol.EventIdSigner('secret').writer(
        request.organisation, request.request_id
    )
    delivered = state.DeliveredText()
    started_s = time.process_time()
    for position in range(count):
        digest = delivered.append(b'capacitor12 ')
        writer.encode(position, 65_540, digest, note.target, note.version)
    signed_s = time.process_time() - started_s
    for name, used_s in (('peer_copy', copied_s), ('event_id', signed_s)):
        yield _figures.Figure(
            f'generation.cpu_{name}',
            used_s / count * 1e6,
            'us/token',
            seed,
            count,
        )


def _request(number: int) -> state.GenerationRequest:
    return state.GenerationRequest(
        request_id=state.RequestId(f'request-{number}'),
        organisation=state.OrganisationName('large'),
        route=_ROUTE,
        prompt='a week of orders',
        max_tokens_count=TOKEN_COUNT,
    )


def _time_us(measured: object, seed: int) -> float:
    assert callable(measured)
    started_s = time.process_time()
    measured(seed)
    used_s = time.process_time() - started_s
    return used_s / TOKEN_COUNT / ANSWER_COUNT * 1e6


def _protected(seed: int) -> None:
    service = _service(seed)
    signer = protocol.EventIdSigner('secret')
    for number in range(ANSWER_COUNT):
        request = _request(number)
        feed = service.open(request).ok
        encoder = protocol.CallerStreamEncoder(
            signer, request.organisation, request.request_id
        )
        for step in feed:
            encoder.encode(step)
        service.release(feed)


def _plain(seed: int) -> None:
    """Relay with bare positions: no digest, check, record or signature."""
    for number in range(ANSWER_COUNT):
        request = _request(number)
        stream = _ReadyStream(
            state.AttemptRequest(
                request.request_id,
                1,
                'model-1',
                'digest',
                request.prompt,
                (),
                TOKEN_COUNT,
                10,
            )
        )
        while not isinstance(arrived := stream.read(1.0), ports.StreamFault):
            for event in arrived:
                protocol.encode_stream_event(event)


def _service(seed: int) -> generation.GenerationService:
    clock = ports.SystemClock()
    selector = fakes.PlainSelector(seed)
    selector.update(
        (
            state.Target(
                name=state.TargetName('engine-0'),
                kind=state.TargetKind.ENGINE,
                address=state.Address('127.0.0.1', 1),
                failure_domain=state.FailureDomain('domain-0'),
                region='region-1',
                versions=(_ROUTE.version,),
            ),
        )
    )
    engines = _ReadyEngines(fakes.SteppingClock(), lambda prompt, at: '', seed)
    parts = generation.GenerationDependencies(
        # The stream is always ready, so gathering would only add waits.
        settings=state.GenerationSettings(gather_ms=0),
        engines=engines,
        selector=selector,
        retry_budget=limits.OrganisationRetryBudget(
            state.RetrySettings(), state.LimitSettings()
        ),
        versions=moves.RouteVersionChooser(),
        outcomes=_NoOutcomes(),
        clock=clock,
        metrics=fakes.MemoryMetrics(),
        supervisor=fakes.DirectTaskRunner(),
    )
    return generation.GenerationService(parts, ANSWER_COUNT)
