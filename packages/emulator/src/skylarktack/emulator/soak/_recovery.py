"""After the last fault the deployment serves again."""

import time

import h11

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _checkers

#: Time within which every instance has to serve again.
RECOVERY_S = 20.0

#: Time after the end of a move until every instance has heard of it.
SETTLE_S = 3.0

#: Resident memory above which the platform ends a process.
MEMORY_LIMIT_KB = 300 * 1024

#: Calls to each instance that show where a version still gets traffic.
CALL_COUNT = 20


def check_recovery(
    deployment: platform.PlatformDeployment,
) -> _checkers.Promise:
    """Ask each instance until it serves a call and the newest route."""
    promise = _checkers.Promise('each instance serves again after faults')
    routes = ['peek']
    if deployment.version > 1:
        routes.append(f'r{deployment.version}')
    for instance in deployment.instances:
        for route in routes:
            promise.check(
                _serves_in_time(instance, route),
                f'{instance.name} does not serve {route}',
            )
    return promise


def check_memory(
    deployment: platform.PlatformDeployment,
) -> _checkers.Promise:
    """Look at the peak of each process that runs."""
    promise = _checkers.Promise('an instance stays within its memory')
    for instance in deployment.instances:
        peak_kb = instance.peak_memory_kb()
        promise.check(
            peak_kb < MEMORY_LIMIT_KB, f'{instance.name} took {peak_kb} kB'
        )
    return promise


def check_bad_versions(
    deployment: platform.PlatformDeployment,
) -> _checkers.Promise:
    """Send calls after the last move has ended."""
    promise = _checkers.Promise('a version that was taken back gets nothing')
    bad = [each for each in deployment.services if each.has_bad_version]
    if not bad or not _has_ended(deployment):
        return promise
    # Instances that were cut off learn of the end with their next watch.
    time.sleep(SETTLE_S)
    counts = [len(target.runs) for target in bad]
    for instance in deployment.instances:
        for _ in range(CALL_COUNT):
            _serves_in_time(instance, 'peek')
    for target, count in zip(bad, counts, strict=True):
        promise.check(
            len(target.runs) == count,
            f'{target.version} ran {len(target.runs) - count} more',
        )
    return promise


def _has_ended(deployment: platform.PlatformDeployment) -> bool:
    end_s = time.monotonic() + RECOVERY_S
    while time.monotonic() < end_s:
        if deployment.has_move_ended('desk'):
            return True
        time.sleep(0.1)
    return False


def _serves_in_time(instance: platform.PlatformInstance, route: str) -> bool:
    end_s = time.monotonic() + RECOVERY_S
    while time.monotonic() < end_s:
        attempt = platform.Attempt(
            route, platform.new_attempt_id(), time_limit_ms=3000
        )
        try:
            if platform.call(instance.address, attempt).status == 200:
                return True
        except (OSError, h11.RemoteProtocolError):
            # The instance is still starting.
            pass
        time.sleep(0.1)
    return False
