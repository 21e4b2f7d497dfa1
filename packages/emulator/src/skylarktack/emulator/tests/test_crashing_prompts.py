"""Real instances and prompts under which each engine crashes."""

from collections.abc import Iterator
import time

import pytest

from skylarktack.emulator import platform

EVENT_COUNT = 100

#: Longest wait for something that has to happen.
PATIENCE_S = 60.0


@pytest.fixture(name='deployment')
def _deployment() -> Iterator[platform.PlatformDeployment]:
    with platform.PlatformDeployment(engine_count=8) as deployment:
        yield deployment


def _stream(subject: str, *shared_parts: str) -> platform.Attempt:
    return platform.Attempt(
        'digest',
        platform.new_attempt_id(),
        subject=subject,
        shared_parts=shared_parts,
        event_count=EVENT_COUNT,
    )


def _statuses(
    deployment: platform.PlatformDeployment, instance: int, subject: str
) -> list[int]:
    """Return the status of a refused stream, or none for a complete one."""
    attempt = _stream(subject, 'shared', 'crashing')
    statuses = []
    for event in platform.read_stream(
        deployment.instances[instance].address, attempt
    ):
        if isinstance(event, platform.Answer):
            statuses.append(event.status)
    return statuses


class TestCrashingPrompts:
    """All instances refuse a part that engines crash under, and only it."""

    def test_few_engines_crash(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against one engine after the other that crashes."""
        sound = _stream('sound', 'shared')
        events = list(
            platform.read_stream(deployment.instances[0].address, sound)
        )
        assert len(events) == EVENT_COUNT
        for engine in deployment.engines:
            engine.behaviour.prompt_s = 0.5
            engine.behaviour.crash_part = 'crashing'
        assert _statuses(deployment, 0, 'first') == [502]
        deployment.instances[1].wait_for_line(
            'prompt', 'prompt part quarantined', prompt_part='crashing'
        )
        for number in range(4):
            subject = f'later-{number}'
            assert _statuses(deployment, number % 2, subject) == [503]
        crashed = [e for e in deployment.engines if not e.is_running]
        assert len(crashed) == 3
        for number, instance in enumerate(deployment.instances):
            sound = _stream(f'sound-{number}', 'shared')
            events = list(platform.read_stream(instance.address, sound))
            assert len(events) == EVENT_COUNT

    def test_part_is_known_after_a_loss_of_all_instances(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against engines that crash again after a power failure."""
        for engine in deployment.engines:
            engine.behaviour.prompt_s = 0.5
            engine.behaviour.crash_part = 'crashing'
        assert _statuses(deployment, 0, 'first') == [502]
        end_s = time.monotonic() + PATIENCE_S
        while not deployment.store.names('skylarktack-prompt-parts'):
            assert time.monotonic() < end_s
            time.sleep(0.02)
        for instance in deployment.instances:
            instance.kill()
            instance.lines.clear()
        for instance in deployment.instances:
            instance.start()
        for instance in deployment.instances:
            deployment.wait_serving(instance)
            instance.wait_for_line('prompt', 'prompt part quarantined')
        assert _statuses(deployment, 1, 'later') == [503]
        crashed = [e for e in deployment.engines if not e.is_running]
        assert len(crashed) == 3
