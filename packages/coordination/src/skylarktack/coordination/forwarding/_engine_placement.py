"""Places runs and their copies on the engines that may be used now."""

import dataclasses
import threading

from skylarktack.coordination.forwarding import _engine_chooser
from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _target_candidates
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.state import forwarding as data


class EnginePlacement:
    """Joins the usable engines, the loads of the fleet and the policy."""

    def __init__(
        self,
        fleet: _fleet.FleetView,
        lock: threading.Lock,
        candidates: _target_candidates.TargetCandidates,
        chooser: _engine_chooser.EngineChooser,
    ) -> None:
        """Create the placement.

        :param lock: serialises the calls to the candidates.
        """
        self._fleet = fleet
        self._lock = lock
        self._candidates = candidates
        self._chooser = chooser

    def choose_engines(
        self,
        service: str,
        model: str | None,
        demand: _placement.RunDemand,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> _engine_selection.EnginePair | None:
        """Return the engine for a run and the one for its standby copy."""
        loads = self._fleet.loads()
        known = self._fleet.find_placement(demand.affinity_key)
        if known is not None:
            demand = dataclasses.replace(demand, known_engine=known.run.engine)
        serving = self._serving(service, model, excluded, rule)
        if not serving:
            return None
        return self._chooser.choose(serving, loads, demand)

    def likely_engines(
        self,
        service: str,
        model: str | None,
        demand: _placement.RunDemand,
        count: int,
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> tuple[data.ListedTarget, ...]:
        """Return the engines that most likely have a prompt cached."""
        candidates = self._chooser.compared(
            self._serving(service, model, frozenset(), rule), demand
        )
        return _placement.likely_engines(candidates, demand, count)

    def choose_standby(
        self,
        service: str,
        primary: data.ListedTarget,
        model: str | None,
        demand: _placement.RunDemand,
        rule: _version_rules.VersionRule = _version_rules.ANY_VERSION,
    ) -> data.ListedTarget | None:
        """Return an engine for the standby copy of a run at the primary."""
        candidates = self._serving(
            service, model, frozenset((primary.name,)), rule
        )
        return self._chooser.choose_standby(
            candidates, primary, self._fleet.loads(), demand
        )

    def _serving(
        self,
        service: str,
        model: str | None,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule,
    ) -> list[data.ListedTarget]:
        """Return the usable engines of a service that serve a model."""
        with self._lock:
            return _engine_selection.filter_by_model(
                self._candidates.usable(service, excluded, rule), model
            )
