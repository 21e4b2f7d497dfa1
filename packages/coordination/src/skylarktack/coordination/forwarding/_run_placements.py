"""Placement of runs, and the load that they put on their engines."""

import dataclasses

from skylarktack.state import forwarding as data

#: Time for which the placement of a run is kept after its last report.
PLACEMENT_LIFETIME_S = 20.0

#: Maximum number of placements that are kept.
MAX_PLACEMENT_COUNT = 4096

#: Weights of the runs of an engine. A run in prefill weighs more because it
#: delays the tokens of all other runs.
PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 1.0
STANDBY_WEIGHT = 0.25


@dataclasses.dataclass(frozen=True)
class RunPlacement:
    """Where a run is or was."""

    run: data.RunStatus

    #: Monotonic time of the last report of the run.
    last_seen_at_s: float


class RunPlacements:
    """Last placements of runs by the last part of their prompt.

    The owner serialises the calls.
    """

    def __init__(self) -> None:
        self._placements: dict[str, RunPlacement] = {}

    def record(self, run: data.RunStatus, now_s: float) -> None:
        """Record where a run is; evict the least recently reported ones."""
        if not run.affinity_key:
            return
        self._placements.pop(run.affinity_key, None)
        self._placements[run.affinity_key] = RunPlacement(run, now_s)
        while len(self._placements) > MAX_PLACEMENT_COUNT:
            del self._placements[next(iter(self._placements))]

    def find(self, affinity_key: str, now_s: float) -> RunPlacement | None:
        """Return the unexpired placement for the last prompt part, or None."""
        placement = self._placements.get(affinity_key)
        if (
            placement is None
            or now_s - placement.last_seen_at_s > PLACEMENT_LIFETIME_S
        ):
            return None
        return placement


def add_load(loads: dict[str, float], run: data.RunStatus) -> None:
    """Add the weights of a run to the loads of its engines."""
    weight = PREFILL_WEIGHT if run.is_prefilling else DECODE_WEIGHT
    loads[run.engine] = loads.get(run.engine, 0.0) + weight
    if run.standby is not None:
        standby_load = loads.get(run.standby, 0.0)
        loads[run.standby] = standby_load + STANDBY_WEIGHT
