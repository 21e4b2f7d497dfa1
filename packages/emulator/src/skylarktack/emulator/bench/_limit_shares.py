"""Shares of a limit in a fleet of instances in one process."""

from collections.abc import Iterator
import dataclasses
import random
import time

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import limits
from skylarktack.coordination import ports
from skylarktack.emulator.bench import _figures

#: Peers with which an instance exchanges topics each second.
EXCHANGE_COUNT = 4

#: Seconds for which the same instances are busy.
BUSY_S = 12

_SCOPE = limits.Scope(
    limits.ScopeKind.ORGANISATION, 'large', limits.Resource.CONCURRENCY
)


@dataclasses.dataclass(frozen=True)
class _Fixed:
    """A configuration that does not change."""

    active: state.ActiveConfiguration

    def current(self) -> state.ActiveConfiguration:
        """Return the configuration."""
        return self.active


def overshoot(
    seed: int, count: int, limit: int, step_count: int
) -> Iterator[_figures.Figure]:
    """Move demand between instances, and replace one in the middle."""
    source = random.Random(seed)
    clock = fakes.ManualClock()
    active = configuration((organisation('large', limit),), ())
    names = [state.InstanceName(f'instance-{n}') for n in range(count)]
    books = {name: book(name, clock, active) for name in names}
    topics = {name: topic(owner) for name, owner in books.items()}
    for owner in books.values():
        owner.update_instances(names)
    clock.advance(10.0)
    worst = 0.0
    busy: set[state.InstanceName] = set()
    waiting: dict[state.InstanceName, int] = {}
    used: list[float] = []
    sent_bytes = 0
    begin_s = time.process_time()
    for step in range(step_count):
        if step == step_count // 2:
            _replace(names, books, topics, clock, active)
        if step == step_count // 2 + 3:
            # The list lags: the others see the new instance only now.
            for owner in books.values():
                owner.update_instances(names)
        if step % BUSY_S == 0:
            busy = set(source.sample(names, max(2, count // 6)))
        for name in names:
            # Together twice the limit; the others need one slot each.
            wanted = 2 * limit // len(busy) if name in busy else 1
            waiting[name] = _demand(books[name], wanted, waiting.get(name, 0))
        total = sum(owner.running_count(_SCOPE) for owner in books.values())
        worst = max(worst, total / limit - 1)
        used.append(total / limit)
        for _ in range(4):
            clock.advance(0.25)
        sent_bytes += _exchange(names, topics, source)
    spent_s = time.process_time() - begin_s
    prefix = f'limits.shares_{count}'
    yield _figures.Figure(
        f'{prefix}.overshoot', worst, 'share', seed, step_count, target=0.1
    )
    yield _figures.Figure(
        f'{prefix}.used', sum(used) / len(used), 'share', seed, step_count
    )
    yield _figures.Figure(
        f'{prefix}.topic_bytes',
        sent_bytes / step_count / count,
        'B/s',
        seed,
        step_count,
    )
    yield _figures.Figure(
        f'{prefix}.processor',
        spent_s / step_count / count * 100,
        '% of a core',
        seed,
        step_count,
    )


def _replace(
    names: list[state.InstanceName],
    books: dict[state.InstanceName, limits.ShareAllocator],
    topics: dict[state.InstanceName, limits.LoanTopic],
    clock: ports.Clock,
    active: ports.ConfigurationSource,
) -> None:
    gone = names.pop(0)
    del books[gone]
    del topics[gone]
    fresh = state.InstanceName('instance-fresh')
    names.append(fresh)
    books[fresh] = book(fresh, clock, active)
    topics[fresh] = topic(books[fresh])
    books[fresh].update_instances(names)


def _demand(owner: limits.ShareAllocator, wanted: int, waiting: int) -> int:
    """Run as many requests as may; return how many wait."""
    while owner.running_count(_SCOPE) > wanted:
        owner.finish((_SCOPE,))
    while owner.running_count(_SCOPE) < wanted:
        if owner.try_start((_SCOPE,)) is not None:
            break
    left = wanted - owner.running_count(_SCOPE)
    owner.add_waiting((_SCOPE,), left - waiting)
    return left


def _exchange(
    names: list[state.InstanceName],
    topics: dict[state.InstanceName, limits.LoanTopic],
    source: random.Random,
) -> int:
    sent_bytes = 0
    for name in names:
        for peer in source.sample(names, EXCHANGE_COUNT // 2):
            if peer == name:
                continue
            for one, other in ((name, peer), (peer, name)):
                payload = topics[one].outgoing(other, 4000)
                if payload is None:
                    continue
                sent_bytes += len(payload)
                topics[other].receive(one, payload)
    return sent_bytes


def organisation(name: str, count: int | None) -> state.Organisation:
    """Return an organisation with a limit."""
    return state.Organisation(
        state.OrganisationName(name),
        (),
        limits=state.Limits(concurrency_count=count),
    )


def configuration(
    organisations: tuple[state.Organisation, ...],
    routes: tuple[state.Route, ...],
) -> _Fixed:
    """Return a configuration that does not change."""
    document = state.ConfigurationDocument(organisations, routes)
    return _Fixed(state.ActiveConfiguration(1, document, 0.0))


def book(
    name: str, clock: ports.Clock, active: ports.ConfigurationSource
) -> limits.ShareAllocator:
    """Return the share book of one instance."""
    return limits.ShareAllocator(
        state.InstanceName(name),
        state.LimitSettings(),
        limits.LimitIndex(active),
        clock,
    )


def topic(owner: limits.ShareAllocator) -> limits.LoanTopic:
    """Return the topic of a share book."""
    return limits.LoanTopic(
        state.LimitSettings(), owner, protocol.CborLoanCodec()
    )
