"""A planned stop of a real instance while calls arrive."""

from concurrent import futures
import signal
import time

import h11
import pytest

from skylarktack.emulator import platform

#: Time of one call, and of the load around the signal.
WORK_S = 0.6
LOAD_S = 2.0

CALLER_COUNT = 12

#: Statuses of a complete answer, or of a refusal that was not run.
WHOLE_STATUSES = {200, 503}


def _call_until(
    instance: platform.PlatformInstance, end_s: float
) -> list[str]:
    """Send calls one after the other; return how each ended."""
    endings = []
    while time.monotonic() < end_s:
        attempt = platform.Attempt('book', platform.new_attempt_id())
        try:
            answer = platform.call(instance.address, attempt)
        except ConnectionRefusedError:
            endings.append('not connected')
            time.sleep(0.05)
            continue
        except (OSError, h11.RemoteProtocolError) as error:
            endings.append(f'cut: {error!r}')
            continue
        endings.append(f'status {answer.status}')
    return endings


class TestPlannedStop:
    """SIGTERM under a load of plain calls."""

    @pytest.mark.parametrize('kind', ['in flight', 'arriving'])
    def test_no_call_is_cut(self, kind: str) -> None:
        """Guards against calls that were accepted and got no answer."""
        with platform.PlatformDeployment(instance_count=1) as deployment:
            instance = deployment.instances[0]
            for service in deployment.services:
                service.behaviour.work_s = WORK_S
            end_s = time.monotonic() + LOAD_S
            with futures.ThreadPoolExecutor(CALLER_COUNT) as tasks:
                callers = [
                    tasks.submit(_call_until, instance, end_s)
                    for _ in range(CALLER_COUNT)
                ]
                # Calls in flight began a while ago; others arrive just now.
                time.sleep(WORK_S / 2 if kind == 'in flight' else WORK_S)
                instance.signal(signal.SIGTERM)
                endings = [
                    ending
                    for caller in callers
                    for ending in caller.result(60.0)
                ]
            instance.wait_ended()
            whole = {f'status {status}' for status in WHOLE_STATUSES}
            assert endings.count('status 200') >= CALLER_COUNT
            assert set(endings) <= whole | {'not connected'}
