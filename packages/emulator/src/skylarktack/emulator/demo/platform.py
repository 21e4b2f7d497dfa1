"""Shows the platform path on stand-ins of the platform."""

import json
import subprocess
import sys
import time

from skylarktack.emulator import platform

#: Events of the stream whose engine crashes, and of those before the crash.
EVENT_COUNT = 120
CRASH_AFTER_COUNT = 40


def main() -> int:
    """Run the demonstration; return the exit code."""
    started_s = time.monotonic()
    print('Starting 2 instances over stand-ins: a store, 3 engines, 2 desks.')
    with platform.PlatformDeployment() as deployment:
        good = _calls(deployment)
        good = _crashed_engine(deployment) and good
        good = _outage(deployment) and good
        print('Stopping all processes.')
    print(f'Done in {time.monotonic() - started_s:.1f} s.')
    return 0 if good else 1


def _calls(deployment: platform.PlatformDeployment) -> bool:
    good = True
    for instance in deployment.instances:
        for route in ('book', 'peek'):
            attempt = platform.Attempt(route, platform.new_attempt_id())
            answer = platform.call(instance.address, attempt)
            good = good and answer.status == 200
            print(
                f'{instance.name}: {route} -> {answer.status} '
                f'{answer.body.decode()}'
            )
    return good


def _crashed_engine(deployment: platform.PlatformDeployment) -> bool:
    attempt = platform.Attempt(
        'digest',
        platform.new_attempt_id(),
        subject='orders',
        event_count=EVENT_COUNT,
    )
    received: list[object] = []
    moments_s: list[float] = []
    for event in platform.read_stream(
        deployment.instances[0].address, attempt
    ):
        received.append(event)
        moments_s.append(time.monotonic())
        if len(received) == CRASH_AFTER_COUNT:
            _crash_running(deployment)
    expected = [
        platform.event_text('orders', number)
        for number in range(1, EVENT_COUNT + 1)
    ]
    is_whole = received == expected
    pauses_s = [
        later - earlier
        for earlier, later in zip(moments_s, moments_s[1:], strict=False)
    ]
    print(
        f'Crashed the engine of a stream after {CRASH_AFTER_COUNT} events: '
        f'{len(received)} events, {"whole" if is_whole else "NOT WHOLE"}, '
        f'longest pause {1000 * max(pauses_s):.0f} ms.'
    )
    return is_whole


def _crash_running(deployment: platform.PlatformDeployment) -> None:
    for engine in deployment.engines:
        if any(run.ended_at_s is None for run in engine.runs):
            deployment.crash(engine)


def _outage(deployment: platform.PlatformDeployment) -> bool:
    instance = deployment.instances[0]
    deployment.store.set_mode(platform.StoreMode.RESET)
    instance.wait_for_line('store', 'store unavailable')
    attempt = platform.Attempt('peek', platform.new_attempt_id())
    served = platform.call(instance.address, attempt).status
    attempt = platform.Attempt('unknown', platform.new_attempt_id())
    unsure = platform.call(instance.address, attempt).status
    deployment.store.set_mode(platform.StoreMode.GOOD)
    print(
        f'While the store is away: a lookup -> {served}, '
        f'a route that may be newer -> {unsure}.'
    )
    explanation = explain(deployment, attempt.attempt_id)
    print(f'skylarktack explain {attempt.attempt_id}:')
    for text in explanation:
        print(f'  {text}')
    is_explained = explanation[-1].startswith('Cause: ')
    return (served, unsure) == (200, 503) and is_explained


def explain(
    deployment: platform.PlatformDeployment, attempt_id: str
) -> list[str]:
    """Return the explanation of a failed request by the command line.

    :param attempt_id: attempt that the first instance failed.
    :raises subprocess.CalledProcessError: if the command fails.
    """
    deployment.instances[0].wait_for_line(
        'request', 'a request failed', request=attempt_id
    )
    logs = [
        json.dumps(line)
        for instance in deployment.instances
        for line in list(instance.lines)
    ]
    command = [sys.executable, '-m', 'skylarktack.cli', 'explain']
    completed = subprocess.run(
        [*command, attempt_id, '-'],
        input='\n'.join(logs),
        stdout=subprocess.PIPE,
        check=True,
        text=True,
    )
    return completed.stdout.splitlines()


if __name__ == '__main__':
    sys.exit(main())
