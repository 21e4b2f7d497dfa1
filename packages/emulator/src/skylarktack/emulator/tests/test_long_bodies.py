"""Long requests that arrive together, before a real instance."""

from collections import Counter
from concurrent import futures

from skylarktack.emulator import platform

#: The platform ends a process above this resident memory.
MEMORY_LIMIT_KB = 300 * 1024

#: Largest body of the manifest, and how many of them come at once: together
#: they are longer than the memory.
BODY_BYTES = 4_000_000
CALLER_COUNT = 80
WAVE_COUNT = 3

WORK_S = 1.0


def _call(instance: platform.PlatformInstance) -> int:
    attempt = platform.Attempt(
        'book', platform.new_attempt_id(), body=b'x' * BODY_BYTES
    )
    return platform.call(instance.address, attempt).status


class TestLongBodies:
    """Bodies that are each within their limit."""

    def test_memory_suffices_for_all_together(self) -> None:
        """Guards against a process that ends with requests that were run."""
        with platform.PlatformDeployment(
            instance_count=1, service_count=6
        ) as deployment:
            instance = deployment.instances[0]
            for service in deployment.services:
                service.behaviour.work_s = WORK_S
            statuses: Counter[int] = Counter()
            with futures.ThreadPoolExecutor(CALLER_COUNT) as tasks:
                for _ in range(WAVE_COUNT):
                    calls = [
                        tasks.submit(_call, instance)
                        for _ in range(CALLER_COUNT)
                    ]
                    statuses.update(call.result(60.0) for call in calls)
            assert instance.is_running
            assert instance.peak_memory_kb() < MEMORY_LIMIT_KB
            assert len(deployment.runs()) == statuses[200]
            assert set(statuses) == {200, 503}
