"""Signals that reach an instance in quick succession."""

import random
import signal
import time

from skylarktack.emulator import platform

ROUND_COUNT = 20
PAIR_COUNT = 25

#: Pauses between the signals of a pair, and between pairs.
MAX_PAUSE_S = 0.0003
PAIR_PAUSE_S = 0.003

#: Longest wait for an instance to act on a signal.
REACTION_S = 5.0


def _reload_count(instance: platform.PlatformInstance) -> int:
    lines = list(instance.lines)
    return sum(line['event'] == 'settings reloaded' for line in lines)


def _reloads(instance: platform.PlatformInstance) -> bool:
    """Return whether the instance acts on one more signal."""
    before = _reload_count(instance)
    instance.signal(signal.SIGHUP)
    end_s = time.monotonic() + REACTION_S
    while time.monotonic() < end_s:
        if _reload_count(instance) > before:
            return True
        time.sleep(0.01)
    return False


class TestSignals:
    """Two signals, the second while the first is being handled."""

    def test_instance_acts_on_later_signals(self) -> None:
        """Guards against an instance that no longer stops when told to."""
        pauses = random.Random(1)
        with platform.PlatformDeployment(instance_count=1) as deployment:
            instance = deployment.instances[0]
            for _ in range(ROUND_COUNT):
                for _ in range(PAIR_COUNT):
                    instance.signal(signal.SIGHUP)
                    time.sleep(pauses.uniform(0.0, MAX_PAUSE_S))
                    instance.signal(signal.SIGHUP)
                    time.sleep(PAIR_PAUSE_S)
                assert _reloads(instance)
            instance.signal(signal.SIGTERM)
            instance.wait_ended()
