"""Callers that read long answers slowly, before a real instance."""

import contextlib
import time

from skylarktack.emulator import platform

#: The platform ends a process above this resident memory.
MEMORY_LIMIT_KB = 300 * 1024

#: Answers that are together longer than the memory, and the time for which
#: no caller reads.
ANSWER_BYTES = 4 * 1024 * 1024
CALLER_COUNT = 100
SILENCE_S = 3.0


class TestSlowCallers:
    """Answers that wait for callers that do not read."""

    def test_memory_suffices_for_all_answers(self) -> None:
        """Guards against a process that ends with requests that were run."""
        with (
            platform.PlatformDeployment(
                instance_count=1, service_count=6
            ) as deployment,
            contextlib.ExitStack() as connections,
        ):
            instance = deployment.instances[0]
            for service in deployment.services:
                service.behaviour.answer_bytes = ANSWER_BYTES
            for _ in range(CALLER_COUNT):
                attempt = platform.Attempt('peek', platform.new_attempt_id())
                connections.enter_context(
                    platform.CallerConnection(instance.address, attempt)
                )
            time.sleep(SILENCE_S)
            assert instance.is_running
            assert instance.peak_memory_kb() < MEMORY_LIMIT_KB
