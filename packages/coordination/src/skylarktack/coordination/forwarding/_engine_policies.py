"""Policies that choose the engines of a run: their interface, and counts."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from skylarktack.coordination.forwarding import _engine_selection
from skylarktack.coordination.forwarding import _placement
from skylarktack.state import forwarding as data

Loads = dict[str, _placement.EngineLoad]


@dataclasses.dataclass(frozen=True)
class EngineChoice:
    """The engine that a policy chose."""

    engine: data.ListedTarget

    #: What the run is predicted to meet there; None without a prediction.
    forecast: _engine_selection.EngineForecast | None = None


class EnginePolicy(Protocol):
    """Chooses among engines that may take a run."""

    def choose_primary(
        self,
        candidates: Sequence[data.ListedTarget],
        loads: Loads,
        demand: _placement.RunDemand,
    ) -> EngineChoice:
        """Return the engine for a run.

        :param candidates: at least one engine.
        """
        ...

    def choose_standby(
        self,
        candidates: Sequence[data.ListedTarget],
        primary: data.ListedTarget,
        loads: Loads,
        demand: _placement.RunDemand,
    ) -> data.ListedTarget | None:
        """Return the engine for the standby copy of a run, or None."""
        ...


class CountingPolicy:
    """Compares engines by the number of their runs."""

    def choose_primary(
        self,
        candidates: Sequence[data.ListedTarget],
        loads: Loads,
        demand: _placement.RunDemand,
    ) -> EngineChoice:
        """Return the engine that the run slows down least."""
        return EngineChoice(
            _placement.choose_primary(candidates, loads, demand)
        )

    def choose_standby(
        self,
        candidates: Sequence[data.ListedTarget],
        primary: data.ListedTarget,
        loads: Loads,
        demand: _placement.RunDemand,
    ) -> data.ListedTarget | None:
        """Return the engine on which the run would go on best, or None."""
        return _placement.choose_standby(candidates, primary, loads, demand)
