"""Where runs are, and how much they load their engines."""

import dataclasses

from skylarktack.state import forwarding as data

#: Time for which the place of an ended run is remembered.
PLACE_LIFETIME_S = 20.0

#: Most remembered places.
PLACE_LIMIT_COUNT = 4096

#: Weights of an engine's runs against each other. The prompt of a run that
#: is still read delays the tokens of all others.
READING_WEIGHT = 2.0
RUNNING_WEIGHT = 1.0
STANDBY_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True)
class RunPlace:
    """Where a run is or was."""

    #: The run.
    notice: data.RunStatus

    #: Monotonic time at which it was last heard of.
    heard_at_s: float


class RunPlaces:
    """Last places of runs by the last part of their prompt.

    Its owner serialises the calls.
    """

    def __init__(self) -> None:
        self._places: dict[str, RunPlace] = {}

    def remember(self, notice: data.RunStatus, now_s: float) -> None:
        """Note where a run is; the longest unheard place is dropped."""
        if not notice.affinity_key:
            return
        self._places.pop(notice.affinity_key, None)
        self._places[notice.affinity_key] = RunPlace(notice, now_s)
        while len(self._places) > PLACE_LIMIT_COUNT:
            del self._places[next(iter(self._places))]

    def find(self, subject: str, now_s: float) -> RunPlace | None:
        """Return where a run with the same last part was last seen."""
        place = self._places.get(subject)
        if place is None or now_s - place.heard_at_s > PLACE_LIFETIME_S:
            return None
        return place


def add_load(loads: dict[str, float], notice: data.RunStatus) -> None:
    """Add a run to the loads of its engines."""
    weight = READING_WEIGHT if notice.is_prefilling else RUNNING_WEIGHT
    loads[notice.engine] = loads.get(notice.engine, 0.0) + weight
    if notice.standby is not None:
        held = loads.get(notice.standby, 0.0)
        loads[notice.standby] = held + STANDBY_WEIGHT
