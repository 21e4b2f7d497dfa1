"""A deployment to try requests on.

Run: ``python -m skylarktack.emulator.playground``.
"""

import signal
import threading
from types import FrameType

from skylarktack import emulator


def main() -> None:
    """Run a small deployment until it is interrupted."""
    stopped = threading.Event()

    def _stop(number: int, frame: FrameType | None) -> None:
        stopped.set()

    signal.signal(signal.SIGINT, _stop)
    signal.signal(signal.SIGTERM, _stop)
    with emulator.Deployment(emulator.DeploymentShape()) as deployment:
        for instance in deployment.instances:
            print(
                f'{instance.name}: callers {instance.address}, '
                f'operators {instance.operator_address}'
            )
        print(f'key: {emulator.organisation_key("small")}')
        print(f"operators' token: {emulator.OPERATOR_TOKEN}")
        print('routes: digest (generation), stock (lookup), shipment (once)')
        print('Ctrl-C stops everything.', flush=True)
        stopped.wait()


if __name__ == '__main__':
    main()
