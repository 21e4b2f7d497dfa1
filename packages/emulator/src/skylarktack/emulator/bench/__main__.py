"""Runs benchmarks: ``python -m skylarktack.emulator.bench --area AREA``."""

from collections.abc import Callable
from collections.abc import Iterator
import signal
from types import FrameType

import fire

from skylarktack.emulator.bench import _bounds
from skylarktack.emulator.bench import _configuration
from skylarktack.emulator.bench import _figures
from skylarktack.emulator.bench import _generation
from skylarktack.emulator.bench import _limits
from skylarktack.emulator.bench import _lookup
from skylarktack.emulator.bench import _membership
from skylarktack.emulator.bench import _moves
from skylarktack.emulator.bench import _once
from skylarktack.emulator.bench import _relay
from skylarktack.emulator.bench import _routing

#: Benchmarks by area, in the order in which ``all`` runs them.
AREAS: dict[str, Callable[[int], Iterator[_figures.Figure]]] = {
    'relay': _relay.run,
    'routing': _routing.run,
    'limits': _limits.run,
    'generation': _generation.run,
    'configuration': _configuration.run,
    'moves': _moves.run,
    'membership': _membership.run,
    'once': _once.run,
    'lookup': _lookup.run,
    'bounds': _bounds.run,
}


def run(area: str = 'all', seed: int = 1) -> None:
    """Run the benchmarks of one area or of all.

    :param area: one of the areas, or ``all``.
    :param seed: seed of all random choices.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    for name, measure in AREAS.items():
        if area not in ('all', name):
            continue
        for figure in measure(seed):
            print(figure.to_json(), flush=True)


def _interrupt(number: int, frame: FrameType | None) -> None:
    # Deployments end their processes on the way out; the default action
    # would leave them behind.
    raise KeyboardInterrupt


if __name__ == '__main__':
    fire.Fire(run)
