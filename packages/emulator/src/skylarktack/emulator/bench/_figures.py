"""Figures that benchmarks print, one JSON line each."""

import dataclasses
import json


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure."""

    #: Name that begins with its area, such as ``relay.tokens``.
    name: str

    #: Measured value.
    value: float

    #: Unit of the value.
    unit: str

    #: Seed of the run.
    seed: int

    #: Number of runs or samples behind the value.
    runs: int

    #: Stated target, or None where there is none.
    target: float | None = None

    #: Whether a value above the target meets it, rather than one below.
    more_is_better: bool = False

    @property
    def met(self) -> bool | None:
        """Whether the target is met, or None without a target."""
        if self.target is None:
            return None
        if self.more_is_better:
            return self.value >= self.target
        return self.value <= self.target

    def to_json(self) -> str:
        """Return the figure as one line."""
        fields: dict[str, object] = {
            'name': self.name,
            'value': round(self.value, 4),
            'unit': self.unit,
            'seed': self.seed,
            'runs': self.runs,
        }
        if self.target is not None:
            fields['target'] = self.target
            fields['met'] = self.met
        return json.dumps(fields)


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    :param share: from 0 to 1.
    """
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
