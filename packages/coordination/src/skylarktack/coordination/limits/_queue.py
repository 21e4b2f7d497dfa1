"""Waiting requests of one route and the order in which they start."""

import collections
import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination.limits import _scopes


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """One waiting request."""

    #: Organisation of the caller.
    organisation: state.Organisation

    #: Route of the request.
    route: state.Route

    #: Limits that it needs room in.
    scopes: tuple[_scopes.Scope, ...]

    #: Set once the request may start.
    started: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )


class FairQueue:
    """Weighted fair order among organisations; used under a lock.

    The next request comes from the organisation with the fewest running
    requests for its weight, so that long requests count for their length;
    with equal numbers, from the one that was served least for its weight.
    """

    def __init__(self) -> None:
        self._waiting: dict[
            state.OrganisationName, collections.deque[Waiter]
        ] = {}
        self._running: collections.Counter[state.OrganisationName] = (
            collections.Counter()
        )
        self._served: dict[state.OrganisationName, float] = {}
        self._virtual = 0.0

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting.values())

    @property
    def is_unused(self) -> bool:
        """Return whether nothing runs or waits."""
        return not self._waiting and not self._running

    def waiting_count(self, name: state.OrganisationName) -> int:
        """Return the waiting requests of an organisation."""
        return len(self._waiting.get(name, ()))

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        name = waiter.organisation.name
        self._waiting.setdefault(name, collections.deque()).append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Let a request wait no more."""
        name = waiter.organisation.name
        self._waiting[name].remove(waiter)
        if not self._waiting[name]:
            del self._waiting[name]

    def heads(self) -> list[Waiter]:
        """Return the first request of each organisation, best first."""
        heads = [waiting[0] for waiting in self._waiting.values()]
        heads.sort(key=self._order)
        return heads

    def start(self, waiter: Waiter) -> None:
        """Count a request as running."""
        name = waiter.organisation.name
        weight = max(waiter.organisation.weight, 1e-6)
        self._running[name] += 1
        begin = max(self._virtual, self._served.get(name, 0.0))
        self._virtual = begin
        self._served[name] = begin + 1 / weight

    def finish(self, waiter: Waiter) -> None:
        """Count a request as no longer running."""
        name = waiter.organisation.name
        self._running[name] -= 1
        if self._running[name] > 0:
            return
        del self._running[name]
        if self._served.get(name, 0.0) <= self._virtual:
            self._served.pop(name, None)

    def _order(self, waiter: Waiter) -> tuple[float, float, int]:
        organisation = waiter.organisation
        weight = max(organisation.weight, 1e-6)
        running = (self._running[organisation.name] + 1) / weight
        served = max(self._virtual, self._served.get(organisation.name, 0.0))
        return running, served, organisation.priority
