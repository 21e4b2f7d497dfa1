"""Real instances and targets that ask to receive no requests."""

from collections.abc import Iterator
import time

import pytest

from skylarktack.emulator import platform

#: Longest wait for something that has to happen.
PATIENCE_S = 60.0

#: Pause that a target asks for.
PAUSE_S = 3.0


@pytest.fixture(name='deployment')
def _deployment() -> Iterator[platform.PlatformDeployment]:
    with platform.PlatformDeployment() as deployment:
        yield deployment


def _call_each(
    deployment: platform.PlatformDeployment, count: int
) -> list[int]:
    """Send calls to each instance; return the statuses."""
    statuses = []
    for _ in range(count):
        for instance in deployment.instances:
            attempt = platform.Attempt('book', platform.new_attempt_id())
            statuses.append(
                platform.call(instance.address, attempt).status or 0
            )
    return statuses


class TestLeaving:
    """A target that says so in its answers receives nothing more."""

    def test_all_instances_stop_sending(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against requests while the store lists it as ready."""
        leaving = deployment.services[0]
        leaving.behaviour.says_it_leaves = True
        end_s = time.monotonic() + PATIENCE_S
        while not leaving.arrived_at_s:
            _call_each(deployment, 1)
            assert time.monotonic() < end_s
        for instance in deployment.instances:
            instance.wait_for_line(
                'target', 'target leaving', target=leaving.name
            )
        arrived_count = len(leaving.arrived_at_s)
        # Another write of the same entry does not bring it back.
        deployment.enter(leaving)
        assert set(_call_each(deployment, 30)) == {200}
        assert len(leaving.arrived_at_s) == arrived_count


class TestPause:
    """A target that refuses with a pause receives nothing until its end."""

    def test_nothing_arrives_before_the_end(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against asking a target again that wants a pause."""
        paused = deployment.services[0]
        paused.behaviour.is_full = True
        paused.behaviour.pause_s = PAUSE_S
        end_s = time.monotonic() + PATIENCE_S
        while not paused.arrived_at_s:
            _call_each(deployment, 1)
            assert time.monotonic() < end_s
        quiet_until_s = paused.arrived_at_s[0] + PAUSE_S
        while time.monotonic() < quiet_until_s - 0.2:
            assert set(_call_each(deployment, 1)) == {200}
            time.sleep(0.02)
        # An instance learns of a pause by asking, and asks once.
        asked_count = len(paused.arrived_at_s)
        assert asked_count <= len(deployment.instances)
        paused.behaviour.is_full = False
        # Only the paused target is left; calls wait for it or come back.
        deployment.crash(deployment.services[1])
        while len(paused.arrived_at_s) == asked_count:
            _call_each(deployment, 1)
            assert time.monotonic() < end_s
        assert paused.arrived_at_s[-1] >= quiet_until_s - 0.1
