"""Fair queue for the waiting requests of a route."""

import collections
import dataclasses
import threading

from skylarktack import state
from skylarktack.coordination.limits import _scopes


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """One waiting or running request."""

    organisation: state.Organisation

    route: state.Route

    #: Limits in which the request needs a slot or token.
    scopes: tuple[_scopes.Scope, ...]

    #: Set when the request has been given its slots.
    started: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )


class FairQueue:
    """Weighted fair queue over organisations. Not thread-safe.

    The next request is taken from the organisation with the fewest running
    requests relative to its weight, which accounts for the duration of long
    requests. Ties are broken by the least service received relative to the
    weight.
    """

    def __init__(self) -> None:
        self._waiting: dict[
            state.OrganisationName, collections.deque[Waiter]
        ] = {}
        self._running: collections.Counter[state.OrganisationName] = (
            collections.Counter()
        )
        self._served: dict[state.OrganisationName, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting.values())

    @property
    def is_unused(self) -> bool:
        """Whether no request of the route is running or waiting."""
        return not self._waiting and not self._running

    def waiting_count(self, name: state.OrganisationName) -> int:
        """Return the number of waiting requests of an organisation."""
        return len(self._waiting.get(name, ()))

    def add(self, waiter: Waiter) -> None:
        """Append a request to the queue of its organisation."""
        name = waiter.organisation.name
        self._waiting.setdefault(name, collections.deque()).append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiting request."""
        name = waiter.organisation.name
        self._waiting[name].remove(waiter)
        if not self._waiting[name]:
            del self._waiting[name]

    def heads(self) -> list[Waiter]:
        """Return the first request of each organisation, in start order."""
        heads = [waiting[0] for waiting in self._waiting.values()]
        heads.sort(key=self._start_order)
        return heads

    def start(self, waiter: Waiter) -> None:
        """Count a request as running and charge its organisation."""
        name = waiter.organisation.name
        weight = max(waiter.organisation.weight, 1e-6)
        self._running[name] += 1
        start_time = max(self._virtual_time, self._served.get(name, 0.0))
        self._virtual_time = start_time
        self._served[name] = start_time + 1 / weight

    def finish(self, waiter: Waiter) -> None:
        """Count a request as no longer running."""
        name = waiter.organisation.name
        self._running[name] -= 1
        if self._running[name] > 0:
            return
        del self._running[name]
        if self._served.get(name, 0.0) <= self._virtual_time:
            self._served.pop(name, None)

    def _start_order(self, waiter: Waiter) -> tuple[float, float, int]:
        organisation = waiter.organisation
        weight = max(organisation.weight, 1e-6)
        running = (self._running[organisation.name] + 1) / weight
        served = max(
            self._virtual_time, self._served.get(organisation.name, 0.0)
        )
        return running, served, organisation.priority
