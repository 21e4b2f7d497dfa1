"""Routing: policies compared on recorded mixes in virtual time.

Nine instances with the real selector choose among 20 small fake engines in
four failure domains. Load reports and cache events lag and have gaps.
"""

from collections.abc import Iterator
import dataclasses
import heapq

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.emulator.bench import _fake_engines
from skylarktack.emulator.bench import _figures
from skylarktack.emulator.bench import _request_mixes

POLICIES = ('random', 'round_robin', 'two_choices', 'rendezvous', 'cost')

INSTANCE_COUNT = 9
ENGINE_COUNT = 20
DOMAIN_COUNT = 4

#: Virtual length of one run and the part before it that is not counted.
DURATION_S = 36.0
WARM_UP_S = 8.0

#: Virtual time between two rounds of reports.
REPORT_S = 1.0

#: Largest time to first token in parts of that of random choice.
TARGET_SHARE_OF_RANDOM = 0.75

_VERSION = state.VersionName('model-1')
_ROUTE = state.Route(
    state.RouteName('digest'), state.RouteKind.GENERATION, _VERSION
)


@dataclasses.dataclass(frozen=True)
class RunResult:
    """What one policy reached on one mix."""

    #: Times to the first token.
    first_token_ms: list[float]

    #: Cached blocks in parts of all prompt blocks.
    hit_share: float

    #: Requests of the busiest engine in parts of the mean.
    imbalance: float


class _Instance:
    """One entry instance with its selector."""

    def __init__(
        self,
        index: int,
        settings: state.RoutingSettings,
        clock: ports.Clock,
        targets: tuple[state.Target, ...],
        seed: int,
    ) -> None:
        listed = tuple(
            state.ListedInstance(
                state.InstanceName(f'instance-{number}'),
                state.Address('127.0.0.1', 1),
                _domain(number),
                'region-1',
            )
            for number in range(INSTANCE_COUNT)
        )
        self.table = routing.TargetTable(
            listed[index].name, _domain(index), 'region-1', settings, clock
        )
        self.table.update(targets, listed)
        self.prefixes = routing.PrefixIndex(settings)
        self.selector = routing.TableSelector(
            settings, self.table, self.prefixes, seed=seed * 1000 + index
        )


def simulate(
    mix: _request_mixes.Mix,
    settings: state.RoutingSettings,
    seed: int,
    requests: list[_fake_engines.FakeRequest],
) -> RunResult:
    """Run one policy over one mix."""
    clock = _fake_engines.VirtualClock()
    begin_s = clock.now_s
    shape = _fake_engines.FakeEngineShape()
    targets = tuple(_target(number) for number in range(ENGINE_COUNT))
    engines = {
        target.name: _fake_engines.FakeEngine(shape, seed + number)
        for number, target in enumerate(targets)
    }
    instances = [
        _Instance(number, settings, clock, targets, seed)
        for number in range(INSTANCE_COUNT)
    ]
    running: list[tuple[float, int, int, state.TargetName]] = []
    times_ms: list[float] = []
    hits = blocks = 0
    next_report_s = begin_s
    for number, request in enumerate(requests):
        clock.now_s = begin_s + request.at_s
        while next_report_s <= clock.now_s:
            _report(
                next_report_s,
                clock,
                engines,
                instances,
                settings.policy in ('rendezvous', 'cost'),
            )
            next_report_s += REPORT_S / 4
        clock.now_s = begin_s + request.at_s
        while running and running[0][0] <= clock.now_s:
            _, _, place, name = heapq.heappop(running)
            instances[place].selector.release(name)
        # The platform's balancer spreads callers over the instances.
        place = number % INSTANCE_COUNT
        chosen = instances[place].selector.assign(
            ports.SelectionRequest(
                state.RequestId(f'request-{number}'),
                _ROUTE,
                state.OrganisationName('dealer'),
                _VERSION,
                request.prompt,
            )
        )
        name = chosen.ok.name
        first_s, end_s, cached = engines[name].submit(request, clock.now_s)
        heapq.heappush(running, (end_s, number, place, name))
        if request.at_s < WARM_UP_S:
            continue
        times_ms.append(first_s * 1000)
        hits += cached
        blocks += len(request.hashes)
    served = [engine.served_count for engine in engines.values()]
    return RunResult(
        times_ms,
        hits / max(1, blocks),
        max(served) * len(served) / sum(served),
    )


def run(seed: int) -> Iterator[_figures.Figure]:
    """Compare all policies on all mixes."""
    for mix in _request_mixes.MIXES:
        requests = _request_mixes.requests(mix, DURATION_S, seed)
        random_p99_ms = 0.0
        for policy in POLICIES:
            settings = state.RoutingSettings(policy=policy)
            result = simulate(mix, settings, seed, requests)
            p99_ms = _figures.percentile(result.first_token_ms, 0.99)
            if policy == 'random':
                random_p99_ms = p99_ms
            count = len(result.first_token_ms)
            name = f'routing.{mix.name}.{policy}'
            yield _figures.Figure(
                f'{name}.first_token_p50',
                _figures.percentile(result.first_token_ms, 0.5),
                'ms',
                seed,
                count,
            )
            is_default = policy == state.RoutingSettings().policy
            yield _figures.Figure(
                f'{name}.first_token_p99', p99_ms, 'ms', seed, count
            )
            yield _figures.Figure(
                f'{name}.p99_to_random',
                p99_ms / random_p99_ms,
                'ratio',
                seed,
                count,
                target=TARGET_SHARE_OF_RANDOM if is_default else None,
            )
            yield _figures.Figure(
                f'{name}.prefix_hits', result.hit_share, 'share', seed, count
            )
            yield _figures.Figure(
                f'{name}.imbalance', result.imbalance, 'ratio', seed, count
            )


def _report(
    at_s: float,
    clock: _fake_engines.VirtualClock,
    engines: dict[state.TargetName, _fake_engines.FakeEngine],
    instances: list[_Instance],
    uses_prefixes: bool,
) -> None:
    clock.now_s = at_s
    for engine in engines.values():
        engine.record(at_s)
    # A quarter of the instances polls at each step.
    step = round(at_s * 4 / REPORT_S)
    for place, instance in enumerate(instances):
        if (step + place) % 4:
            continue
        for target in instance.table.watched():
            engine = engines[target.name]
            instance.table.record_load_report(target.name, engine.report(at_s))
            if not uses_prefixes:
                continue
            instance.prefixes.apply_events(
                target.name,
                engine.events(
                    instance.prefixes.last_sequence(target.name), at_s
                ),
            )


def _domain(number: int) -> state.FailureDomain:
    return state.FailureDomain(f'domain-{number % DOMAIN_COUNT}')


def _target(number: int) -> state.Target:
    return state.Target(
        state.TargetName(f'engine-{number}'),
        state.TargetKind.ENGINE,
        state.Address('127.0.0.1', 1),
        _domain(number),
        'region-1',
        (_VERSION,),
    )
