"""Shows the main job: ``python -m skylarktack.emulator.demo``."""

import json
import signal
import sys
import threading
import time
from types import FrameType

from skylarktack import emulator
from skylarktack import state
from skylarktack import transport

#: Prompts of the demonstration with the tokens that each asks for.
PROMPTS = (
    ('Summarise the ceiling fan orders of the dealer in Cebu.', 40),
    ('Reconcile the catalogue of stand fans for Davao.', 60),
    ('Which calligraphy course fits this transcript?', 50),
)

#: Tokens of the generation whose engine is killed.
LONG_TOKEN_COUNT = 150

#: Tokens that the caller has received when the engine is killed.
KILL_AFTER_COUNT = 40

_KEY = emulator.organisation_key('small')


def main() -> int:
    """Run the demonstration; return the exit code."""
    signal.signal(signal.SIGTERM, _interrupt)
    started_s = time.monotonic()
    shape = emulator.DeploymentShape()
    print(
        f'Starting {shape.instance_count} entry instances, '
        f'{shape.engine_count} engines in {shape.failure_domain_count} '
        'failure domains, 1 plain service and the object API stand-in.'
    )
    try:
        with emulator.Deployment(shape) as deployment:
            good = _run(deployment)
            print('Stopping all processes.')
    except KeyboardInterrupt:
        print('Interrupted; all processes are stopped.')
        return 130
    print(f'Done in {time.monotonic() - started_s:.1f} s.')
    return 0 if good else 1


def _run(deployment: emulator.Deployment) -> bool:
    good = _prompts(deployment)
    good = _killed_engine(deployment) and good
    return _booking(deployment) and good


def _prompts(deployment: emulator.Deployment) -> bool:
    good = True
    for index, (prompt, token_count) in enumerate(PROMPTS):
        instance = deployment.instances[index % len(deployment.instances)]
        answer = emulator.generate(
            instance.address,
            'digest',
            _KEY,
            {'prompt': prompt, 'max_tokens': token_count},
        )
        whole = answer.text == emulator.expected_text(prompt, token_count)
        good = good and whole
        print(
            f'{instance.name}: {prompt}\n'
            f'    {answer.text[:60]}...\n'
            f'    {len(answer.tokens)} tokens, '
            f'{"whole" if whole else "NOT WHOLE"}'
        )
    return good


def _killed_engine(deployment: emulator.Deployment) -> bool:
    prompt = 'Write the digest of a whole week of orders.'
    received: list[emulator.ReceivedAnswer] = []
    instance = deployment.instances[0]

    def _read() -> None:
        received.append(
            emulator.generate(
                instance.address,
                'digest',
                _KEY,
                {'prompt': prompt, 'max_tokens': LONG_TOKEN_COUNT},
            )
        )

    reader = threading.Thread(target=_read)
    reader.start()
    engine = _running_engine(deployment)
    time.sleep(KILL_AFTER_COUNT * deployment.shape.step_ms / 1000)
    engine.kill()
    print(f'Killed {engine.name} in the middle of a generation.')
    reader.join()
    answer = received[0]
    whole = answer.text == emulator.expected_text(prompt, LONG_TOKEN_COUNT)
    print(
        f'    The caller received {len(answer.tokens)} tokens, '
        f'{"whole" if whole else "NOT WHOLE"}; longest pause '
        f'{answer.longest_pause_ms:.0f} ms (usual pace '
        f'{deployment.shape.step_ms:.0f} ms).'
    )
    return whole


def _running_engine(
    deployment: emulator.Deployment,
) -> emulator.EmulatedProcess:
    for _ in range(200):
        for engine in deployment.engines:
            if engine.read_json('/control/running')['running_count']:
                return engine
        time.sleep(0.02)
    raise RuntimeError('no engine runs the generation')


def _booking(deployment: emulator.Deployment) -> bool:
    key = 'shipment-4711'
    answers: list[transport.HttpAnswer] = []
    for instance in deployment.instances[:2]:
        answers.append(_book(instance.address, key))
    executions = deployment.services[0].read_json('/control/executions')
    # The service sees a key of its own for each organisation's key, so the
    # demonstration counts all executions.
    count = sum(executions.values())
    same = answers[0].body == answers[1].body
    print(
        f'Booked shipment {key!r} through two instances: statuses '
        f'{answers[0].status} and {answers[1].status}, '
        f'{"the same answer" if same else "DIFFERENT ANSWERS"}, run '
        f'{count} time(s) by the service.'
    )
    return same and count == 1


def _book(address: state.Address, key: str) -> transport.HttpAnswer:
    return transport.http_call(
        address,
        'POST',
        '/v1/call/shipment/bookings',
        json.dumps({'pallets': 1}).encode(),
        {
            'Authorization': f'Bearer {_KEY}',
            'Content-Type': 'application/json',
            'Idempotency-Key': key,
        },
        10.0,
    ).ok


def _interrupt(number: int, frame: FrameType | None) -> None:
    raise KeyboardInterrupt


if __name__ == '__main__':
    sys.exit(main())
