"""How urgent a run is for the engine that executes it.

Engines admit more urgent runs first, and preempt less urgent ones when their
memory runs out. Only the order among the runs of one service counts, so the
priorities of a configuration are replaced by their ranks.
"""

from skylarktack.state import forwarding as data

#: Engine priority of the most urgent runs of a service and the step to the
#: next ones; engines order from 0, first, to 9. A run that continues an
#: interrupted stream goes before those of its rank: its caller has waited.
FIRST_ENGINE_PRIORITY = 2
RANK_STEP = 2
LAST_ENGINE_PRIORITY = 9


class ServiceUrgencies:
    """Ranks of the priorities that requests of each service may have."""

    def __init__(self, configuration: data.ForwardingConfiguration) -> None:
        organisations = configuration.organisations or ()
        own = {one.priority for one in organisations}
        self._by_service: dict[str, tuple[int, ...]] = {}
        priorities: dict[str, set[int]] = {}
        for route in configuration.routes:
            possible = {one for one in own if one is not None}
            if None in own or route.is_anonymous or not organisations:
                possible.add(route.priority)
            for share in route.services:
                priorities.setdefault(share.service, set()).update(possible)
        for service, values in priorities.items():
            self._by_service[service] = tuple(sorted(values))

    def engine_priority(self, service: str, priority: int) -> int | None:
        """Return the priority that the engine is sent.

        None where all requests of the service are equally urgent: engines
        then use their default.

        :param priority: that of the organisation, or else of the route.
        """
        ranks = self._by_service.get(service, ())
        if len(ranks) < 2 or priority not in ranks:
            return None
        return min(
            LAST_ENGINE_PRIORITY,
            FIRST_ENGINE_PRIORITY + RANK_STEP * ranks.index(priority),
        )


def priority_of_send(
    engine_priority: int | None, is_resumed: bool
) -> int | None:
    """Return the priority of one send of a run.

    :param is_resumed: whether the run continues an interrupted stream.
    """
    if engine_priority is None or not is_resumed:
        return engine_priority
    return max(0, engine_priority - 1)
