"""A planned stop of a real ``skylarktackd`` with more calls than threads."""

import concurrent.futures
import signal
import time

from skylarktack import emulator
from skylarktack import transport

THREAD_COUNT = 2
CALL_COUNT = 3 * THREAD_COUNT

#: Time from the first call to the stop, and from there to the first answer.
STEP_S = 0.7

TIMEOUT_S = 20.0


def _book(instance: emulator.EmulatedProcess, key: str) -> int:
    """Return the status of a call; 0 if there was no answer."""
    caller = emulator.organisation_key('small')
    answered = transport.http_call(
        instance.address,
        'POST',
        '/v1/call/shipment/book',
        b'{}',
        {'Authorization': f'Bearer {caller}', 'Idempotency-Key': key},
        TIMEOUT_S,
    )
    return answered.ok.status if answered.is_ok() else 0


class TestBusyStop:
    """Calls that wait for a thread when the instance is told to stop."""

    def test_waiting_calls_are_answered(self) -> None:
        """Guards against received calls that end without an answer."""
        shape = emulator.DeploymentShape(
            instance_count=1,
            engine_count=1,
            overrides={
                'caller': {'thread_count': THREAD_COUNT, 'generation_count': 1}
            },
        )
        with emulator.Deployment(shape) as deployment:
            (instance,) = deployment.instances
            (service,) = deployment.services
            service.control(hang=True)
            with concurrent.futures.ThreadPoolExecutor(CALL_COUNT) as pool:
                calls = [
                    pool.submit(_book, instance, f'key-{number}')
                    for number in range(CALL_COUNT)
                ]
                time.sleep(STEP_S)
                instance.signal(signal.SIGTERM)
                time.sleep(STEP_S)
                service.control(hang=False)
                statuses = [call.result() for call in calls]
            assert statuses == [201] * CALL_COUNT
            assert instance.wait_stopped() == 0
