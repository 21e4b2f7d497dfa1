"""Real instances and runs that go on after two losses, or a loss of all."""

from collections.abc import Iterator
import signal
import time

import h11
import pytest

from skylarktack.emulator import platform

#: Longest wait for something that has to happen.
PATIENCE_S = 60.0

EVENT_COUNT = 900


@pytest.fixture(name='deployment')
def _deployment() -> Iterator[platform.PlatformDeployment]:
    with platform.PlatformDeployment(engine_count=4) as deployment:
        yield deployment


def _stream(subject: str, last_event_id: int = 0) -> platform.Attempt:
    return platform.Attempt(
        'digest',
        platform.new_attempt_id(),
        subject=subject,
        event_count=EVENT_COUNT,
        last_event_id=last_event_id,
    )


def _engines_of(
    deployment: platform.PlatformDeployment, attempt: platform.Attempt
) -> list[platform.PlatformTarget]:
    """Return the engines that ran an attempt, in the order of its runs."""
    runs = []
    for engine in deployment.engines:
        for run in engine.runs:
            if run.attempt_id == attempt.attempt_id:
                runs.append((run.started_at_s, engine))
    return [engine for _, engine in sorted(runs, key=lambda run: run[0])]


def _standby_of(
    deployment: platform.PlatformDeployment, attempt: platform.Attempt
) -> platform.PlatformTarget:
    """Return the engine that keeps the copy of an attempt's run."""
    for engine in deployment.engines:
        if attempt.attempt_id in deployment.copies[str(engine.address)]:
            return engine
    raise AssertionError('no engine keeps a copy')


class TestReplacedCopy:
    """A run whose standby engine is lost goes on from another copy."""

    def test_both_engines_crash_one_after_the_other(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against a prompt that is read again after two losses."""
        attempt = _stream('twice')
        received = []
        end_s = time.monotonic() + PATIENCE_S
        has_lost_standby = has_lost_engine = False
        for event in platform.read_stream(
            deployment.instances[0].address, attempt
        ):
            received.append(event)
            if len(received) == 50:
                deployment.crash(_standby_of(deployment, attempt))
                has_lost_standby = True
            engine = _engines_of(deployment, attempt)[0]
            if has_lost_standby and not has_lost_engine:
                if engine.ordered_copies:
                    deployment.crash(engine)
                    has_lost_engine = True
            assert time.monotonic() < end_s
        assert has_lost_engine
        assert received == [
            platform.event_text('twice', number)
            for number in range(1, EVENT_COUNT + 1)
        ]
        first, second = _engines_of(deployment, attempt)
        assert second is not first
        # A run from a copy reads no prompt.
        assert 'twice' not in second.cached_parts


class TestReturnAfterLossOfAll:
    """A stream comes back after all instances were killed."""

    def test_prompt_is_not_read_again(
        self, deployment: platform.PlatformDeployment
    ) -> None:
        """Guards against engines that read all prompts again at once."""
        before = _stream('returning')
        received = []
        with pytest.raises((OSError, h11.RemoteProtocolError)):
            for event in platform.read_stream(
                deployment.instances[0].address, before
            ):
                received.append(event)
                if len(received) == 30:
                    for instance in deployment.instances:
                        instance.signal(signal.SIGKILL)
        for instance in deployment.instances:
            instance.wait_ended()
            instance.start()
        for instance in deployment.instances:
            deployment.wait_serving(instance)
        after = _stream('returning', last_event_id=len(received))
        received.extend(
            platform.read_stream(deployment.instances[1].address, after)
        )
        assert received == [
            platform.event_text('returning', number)
            for number in range(1, EVENT_COUNT + 1)
        ]
        assert (
            _engines_of(deployment, after)
            == (_engines_of(deployment, before)[:1])
        )
