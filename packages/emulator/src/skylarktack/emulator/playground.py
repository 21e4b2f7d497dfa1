"""A deployment to try requests on.

Run: ``python -m skylarktack.emulator.playground``.
"""

from skylarktack import daemon
from skylarktack import emulator

#: Longest wait for a signal; the main thread waits again after it.
SIGNAL_CHECK_S = 60.0


def main() -> None:
    """Run a small deployment until it is interrupted."""
    signals = daemon.ProcessSignals()
    signals.install(daemon.STOP_SIGNALS)
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
        while not signals.wait(SIGNAL_CHECK_S):
            continue


if __name__ == '__main__':
    main()
