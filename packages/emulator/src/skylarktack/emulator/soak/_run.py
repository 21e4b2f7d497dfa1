"""One run of the soak."""

import dataclasses
import pathlib
import time

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _callers
from skylarktack.emulator.soak import _changes
from skylarktack.emulator.soak import _checkers
from skylarktack.emulator.soak import _configuration
from skylarktack.emulator.soak import _fleet_changes
from skylarktack.emulator.soak import _injectors
from skylarktack.emulator.soak import _kept_callers
from skylarktack.emulator.soak import _kept_checkers
from skylarktack.emulator.soak import _loads
from skylarktack.emulator.soak import _recovery
from skylarktack.emulator.soak import _restores
from skylarktack.emulator.soak import _schedule


@dataclasses.dataclass(frozen=True)
class SoakResult:
    """What one seed showed."""

    seed: int
    schedule: tuple[_schedule.Injection, ...]
    promises: tuple[_checkers.Promise, ...]

    #: Streams and calls that were served, of all.
    served_count: int
    request_count: int

    #: Lines on what was counted and is not judged.
    notes: tuple[str, ...] = ()

    @property
    def is_kept(self) -> bool:
        """Return whether every promise was kept."""
        return not any(promise.broken for promise in self.promises)


def run_seed(
    seed: int,
    shape: _schedule.SoakShape,
    log_folder: pathlib.Path | None = None,
) -> SoakResult:
    """Run the schedule of a seed and check the promises.

    :param log_folder: where the logs of the instances are kept if a promise
        is broken.
    """
    schedule = _schedule.draw_schedule(seed, shape)
    with platform.PlatformDeployment(
        shape.instance_count,
        shape.engine_count,
        shape.service_count,
        has_proxies=True,
    ) as deployment:
        editor = _configuration.ConfigurationEditor(deployment)
        injector = _injectors.Injector(deployment, editor)
        changes = _changes.ChangeInjector(deployment, editor, injector)
        restores = _restores.RestoreInjector(deployment, editor, injector)
        fleet = _fleet_changes.FleetChangeInjector(
            deployment, editor, injector
        )
        callers = _callers.Callers(deployment, seed)
        kept = _kept_callers.KeptCallers(deployment, editor, callers, seed)
        loads = _loads.LoadGenerator(deployment, callers, editor)
        callers.start(shape.caller_count)
        if shape.keeps_connections:
            kept.start(shape.kept_caller_count)
        started_s = time.monotonic()
        for injection in schedule:
            wait_s = started_s + injection.at_s - time.monotonic()
            time.sleep(max(0.0, wait_s))
            if injection.kind in _loads.KINDS:
                loads.start(injection)
            elif injection.kind in _schedule.CHANGE_KINDS:
                changes.start(injection)
            elif injection.kind in _schedule.RESTORE_KINDS:
                restores.start(injection)
            elif injection.kind in _schedule.FLEET_KINDS:
                fleet.start(injection)
            else:
                injector.inject(injection)
        changes.wait_ended()
        fleet.wait_ended()
        restores.wait_ended()
        injector.mend()
        loads.wait_ended()
        kept.stop()
        callers.stop()
        after_faults = (
            _recovery.check_memory(deployment),
            _recovery.check_recovery(deployment),
            _recovery.check_bad_versions(deployment),
        )
        evidence = dataclasses.replace(
            _evidence(deployment, callers, editor),
            unknown_times=tuple(restores.unknown_times),
        )
        result = SoakResult(
            seed,
            schedule,
            (
                *_checkers.check_all(evidence),
                *after_faults,
                injector.signals.check(),
                *_check_kept(kept, evidence, shape),
            ),
            _served(evidence),
            len(evidence.calls) + len(evidence.streams),
            _kept_checkers.summarise(
                tuple(kept.records), tuple(kept.early_ends)
            ),
        )
        if log_folder is not None and not result.is_kept:
            _keep_logs(deployment, log_folder / f'seed-{seed}')
    return result


def _evidence(
    deployment: platform.PlatformDeployment,
    callers: _callers.Callers,
    editor: _configuration.ConfigurationEditor,
) -> _checkers.Evidence:
    probe_ids = _probe_ids(deployment, callers)
    return _checkers.Evidence(
        tuple(callers.calls),
        tuple(callers.streams),
        tuple(
            run for run in deployment.runs() if run.attempt_id not in probe_ids
        ),
        editor.confirmed_at_s(),
    )


def _check_kept(
    kept: _kept_callers.KeptCallers,
    evidence: _checkers.Evidence,
    shape: _schedule.SoakShape,
) -> tuple[_checkers.Promise, ...]:
    return (
        _kept_checkers.check_answers(
            tuple(kept.records),
            frozenset(run.attempt_id for run in evidence.runs),
            has_faults=shape.gap_s is not None,
        ),
        _kept_checkers.check_open(
            tuple(kept.early_ends), has_loads=shape.load_gap_s is not None
        ),
    )


def _probe_ids(
    deployment: platform.PlatformDeployment, callers: _callers.Callers
) -> frozenset[str]:
    """Return the attempts of the checks after the last fault."""
    sent = {call.attempt.attempt_id for call in callers.calls}
    for stream in callers.streams:
        sent.update(attempt.attempt_id for attempt in stream.attempts)
    ended_s = max((call.ended_at_s for call in callers.calls), default=0.0)
    return frozenset(
        run.attempt_id
        for run in deployment.runs()
        if run.attempt_id not in sent and run.started_at_s > ended_s
    )


def _served(evidence: _checkers.Evidence) -> int:
    served = 0
    for call in evidence.calls:
        if call.answer is not None and call.answer.status == 200:
            served += 1
    for stream in evidence.streams:
        served += int(stream.is_complete)
    return served


def _keep_logs(
    deployment: platform.PlatformDeployment, folder: pathlib.Path
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for instance in deployment.instances:
        path = folder / f'{instance.name}.log'
        path.write_text(
            '\n'.join(str(line) for line in instance.lines), encoding='utf-8'
        )
