"""A planned stop of a real instance while calls arrive."""

from concurrent import futures
import random
import signal
import time

import h11
import pytest

from skylarktack import state
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


#: Time limit of the calls that come late in the grace period of 8 s, and when
#: they are sent: until the last of them cannot end in time.
LATE_LIMIT_S = 1.0
FIRST_LATE_S = 6.0
LAST_LATE_S = 7.6
LATE_INTERVAL_S = 0.02


def _call_late(
    instance: platform.PlatformInstance, attempt: platform.Attempt
) -> str:
    """Send one call; return how it ended."""
    try:
        answer = platform.call(instance.address, attempt)
    except ConnectionRefusedError:
        return 'not connected'
    except (OSError, h11.RemoteProtocolError) as error:
        return f'cut: {error!r}'
    return f'status {answer.status}'


class TestLateRequests:
    """Calls that arrive late in the grace period of a planned stop."""

    @pytest.mark.parametrize('work_s', [0.0, 0.5 * LATE_LIMIT_S, 30.0])
    def test_no_call_that_was_passed_on_is_cut(self, work_s: float) -> None:
        """Guards against bookings that run and are cut by the stop.

        A stream keeps the instance accepting until just before its end. Some
        calls would be answered, or reach their time limit, just then.
        """
        with platform.PlatformDeployment(instance_count=1) as deployment:
            instance = deployment.instances[0]
            for service in deployment.services:
                service.behaviour.work_s = work_s
            stream = platform.Attempt(
                'digest',
                platform.new_attempt_id(),
                subject='long',
                event_count=5000,
                time_limit_ms=60_000,
            )
            events = platform.read_stream(instance.address, stream)
            next(events)
            instance.signal(signal.SIGTERM)
            stopped_at_s = time.monotonic()
            ending_by_attempt = {}
            with futures.ThreadPoolExecutor(200) as tasks:
                sent_s = FIRST_LATE_S
                while sent_s < LAST_LATE_S:
                    time.sleep(
                        max(0.0, stopped_at_s + sent_s - time.monotonic())
                    )
                    attempt = platform.Attempt(
                        'book',
                        platform.new_attempt_id(),
                        time_limit_ms=round(1000 * LATE_LIMIT_S),
                    )
                    ending_by_attempt[attempt.attempt_id] = tasks.submit(
                        _call_late, instance, attempt
                    )
                    sent_s += LATE_INTERVAL_S
            instance.wait_ended()
            ran = {run.attempt_id for run in deployment.runs()}
            cut = []
            for attempt_id, ending in ending_by_attempt.items():
                if attempt_id in ran and ending.result().startswith('cut'):
                    cut.append(ending.result())
            assert ran & set(ending_by_attempt)
            assert not cut


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


#: Streams in the planned stop, the range of their events, and how often and
#: for how long all engines but one are silent, as sound ones may be. More
#: runs meet a silence than the budget has retries.
STREAM_COUNT = 30
EVENT_COUNTS = (150, 300)
SILENCE_COUNT = 3
SILENCES_S = (0.6, 1.2)
RETRY_ALLOWANCE_COUNT = 4


def _read_events(address: state.Address, subject: str, count: int) -> str:
    """Read one stream; return how it ended."""
    attempt = platform.Attempt(
        'digest',
        platform.new_attempt_id(),
        subject=subject,
        event_count=count,
    )
    received = []
    try:
        for event in platform.read_stream(address, attempt):
            received.append(event)
    except (OSError, h11.RemoteProtocolError) as error:
        return f'cut after {len(received)}: {error!r}'
    expected = [
        platform.event_text(subject, number + 1) for number in range(count)
    ]
    return 'whole' if received == expected else 'not whole'


def _silence(engine: platform.PlatformTarget, for_s: float) -> None:
    engine.behaviour.is_frozen = True
    time.sleep(for_s)
    engine.behaviour.is_frozen = False


class TestSilentEngines:
    """Engines that are silent now and then during a planned stop."""

    def test_no_stream_is_cut(self) -> None:
        """Guards against streams that a silence of sound engines ends."""
        draw = random.Random(1)
        with (
            platform.PlatformDeployment(
                instance_count=1, retry_allowance_count=RETRY_ALLOWANCE_COUNT
            ) as deployment,
            futures.ThreadPoolExecutor(STREAM_COUNT + 2) as tasks,
        ):
            instance = deployment.instances[0]
            streams = []
            for number in range(STREAM_COUNT):
                subject = f'stream-{number}'
                count = draw.randint(*EVENT_COUNTS)
                streams.append(
                    tasks.submit(
                        _read_events, instance.address, subject, count
                    )
                )
            while len(deployment.runs()) < STREAM_COUNT:
                time.sleep(0.01)
            instance.signal(signal.SIGTERM)
            for number in range(SILENCE_COUNT):
                silences = []
                for index in (number, number + 1):
                    engine = deployment.engines[index % 3]
                    for_s = draw.uniform(*SILENCES_S)
                    silences.append(tasks.submit(_silence, engine, for_s))
                futures.wait(silences)
            endings = [stream.result(60.0) for stream in streams]
            instance.wait_ended()
            assert endings == ['whole'] * STREAM_COUNT
