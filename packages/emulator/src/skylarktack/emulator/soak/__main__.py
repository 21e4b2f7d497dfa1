"""Runs the soak: ``python -m skylarktack.emulator.soak``."""

import pathlib
import random
import sys
import time

import fire

from skylarktack.emulator import soak

#: Mean times between two faults, loads, injections of signals, changes of the
#: configuration, restores of the store and changes beside several instances.
FAULT_GAP_S = 0.8
LOAD_GAP_S = 3.0
SIGNAL_GAP_S = 2.0
CHANGE_GAP_S = 1.0
RESTORE_GAP_S = 5.0
FLEET_GAP_S = 3.0


def run(
    seed: int | None = None,
    seeds: int = 1,
    minutes: float = 0.0,
    length_s: float = 15.0,
    instances: int = 3,
    faults: bool = True,
    loads: bool = True,
    signals: bool = True,
    changes: bool = False,
    restores: bool = False,
    fleet: bool = False,
    logs: str = 'build/soak',
) -> None:
    """Run seeds and print each promise with the checks made.

    :param seed: first seed; without one, fresh seeds are drawn.
    :param seeds: number of seeds, counted up from the first.
    :param minutes: go on with fresh seeds for this time.
    :param length_s: time in which faults are injected, for each seed.
    :param instances: processes of the system.
    :param faults: whether faults are injected.
    :param loads: whether the bounds of instances are reached as well.
    :param signals: whether instances get signals in quick succession, beside
        short silences of engines.
    :param changes: whether the configuration changes while callers keep
        their connections.
    :param restores: whether the store is restored from copies.
    :param fleet: whether the configuration changes beside several instances
        that stop, while callers keep their connections.
    :param logs: folder for the logs of seeds that broke a promise.
    """
    shape = soak.SoakShape(
        instance_count=instances,
        length_s=length_s,
        gap_s=FAULT_GAP_S if faults else None,
        load_gap_s=LOAD_GAP_S if loads else None,
        signal_gap_s=SIGNAL_GAP_S if signals else None,
        change_gap_s=CHANGE_GAP_S if changes else None,
        restore_gap_s=RESTORE_GAP_S if restores else None,
        fleet_gap_s=FLEET_GAP_S if fleet else None,
    )
    end_s = time.monotonic() + 60 * minutes
    first = random.randrange(1_000_000) if seed is None else seed
    broken = []
    number = 0
    while number < seeds or time.monotonic() < end_s:
        result = soak.run_seed(first + number, shape, pathlib.Path(logs))
        _show(result, shape)
        if not result.is_kept:
            broken.append(result.seed)
        number += 1
    print(f'{number - len(broken)} passed, {len(broken)} failed')
    if broken:
        print(f'broken seeds: {broken}')
        sys.exit(1)


def _show(result: soak.SoakResult, shape: soak.SoakShape) -> None:
    print(f'seed {result.seed}: {len(result.schedule)} faults')
    for injection in result.schedule:
        print(f'  {injection}')
    for promise in result.promises:
        state = 'broken' if promise.broken else 'kept'
        print(f'  {state}: {promise.name} ({promise.check_count} checks)')
        for what in promise.broken[:5]:
            print(f'    {what}')
    for note in result.notes:
        print(f'  {note}')
    print(f'  served {result.served_count} of {result.request_count}')
    print(
        f'  again: python -m skylarktack.emulator.soak --seed={result.seed} '
        f'--length_s={shape.length_s} --instances={shape.instance_count} '
        f'--faults={shape.gap_s is not None} '
        f'--loads={shape.load_gap_s is not None} '
        f'--signals={shape.signal_gap_s is not None} '
        f'--changes={shape.change_gap_s is not None} '
        f'--restores={shape.restore_gap_s is not None} '
        f'--fleet={shape.fleet_gap_s is not None}',
        flush=True,
    )


if __name__ == '__main__':
    fire.Fire(run)
