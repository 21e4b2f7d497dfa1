"""Placement of runs, and the load that they put on their engines."""

import dataclasses

from skylarktack.coordination.forwarding import _placement
from skylarktack.state import forwarding as data

#: Time for which the placement of a run is kept after its last report.
PLACEMENT_LIFETIME_S = 20.0

#: Maximum number of placements that are kept.
MAX_PLACEMENT_COUNT = 4096


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


def add_load(
    loads: dict[str, _placement.EngineLoad], run: data.RunStatus
) -> None:
    """Add a run to the loads of its engines."""
    load = loads.get(run.engine, _placement.IDLE)
    loads[run.engine] = load.with_run(run)
    if run.standby is not None:
        load = loads.get(run.standby, _placement.IDLE)
        loads[run.standby] = load.with_standby(run)
