"""After the last fault the deployment serves again."""

import time

import h11

from skylarktack.emulator import platform
from skylarktack.emulator.soak import _checkers

#: Time within which every instance has to serve again.
RECOVERY_S = 20.0


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
