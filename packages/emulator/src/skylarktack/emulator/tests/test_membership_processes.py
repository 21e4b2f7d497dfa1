"""Membership of real processes that die and pause."""

from collections.abc import Iterator
import signal
import threading

import pytest

from skylarktack import emulator


@pytest.fixture(scope='class')
def fleet() -> Iterator[emulator.PeerFleet]:
    """Return five processes that know each other.

    Their logs go to the standard error of the tests, which is shown with a
    failure: counters do not tell which instance was suspected.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv('SKYLARKTACK_EMULATOR_LOGS', '1')
        with emulator.PeerFleet() as made:
            made.grow(5)
            made.wait_agreed()
            yield made


class TestMembershipProcesses:
    """Guards against faults that only real processes and sockets show."""

    def test_pause_condemns_nobody(self, fleet: emulator.PeerFleet) -> None:
        """A paused process is removed, wakes, and removes nobody."""
        paused = fleet.processes.pop('entry-001')
        paused.signal(signal.SIGSTOP)
        fleet.wait_agreed()
        paused.signal(signal.SIGCONT)
        fleet.processes['entry-001'] = paused
        fleet.wait_agreed()
        counts = fleet.reports()['entry-001']['counts']
        assert counts.get('membership.became_dead', 0) == 0
        for name, report in fleet.reports().items():
            if name != 'entry-001':
                assert not report['counts'].get('membership.false_removals')

    def test_kill_and_restart(self, fleet: emulator.PeerFleet) -> None:
        """A killed process is missed; its successor is known."""
        fleet.kill('entry-003')
        fleet.wait_agreed()
        fleet.restart('entry-003')
        fleet.wait_agreed()

    def test_planned_stop(self, fleet: emulator.PeerFleet) -> None:
        """A stopped process announces it and ends at once."""
        before = fleet.reports()
        process = fleet.processes.pop('entry-004')
        process.stop()
        assert process.wait_stopped() == 0
        fleet.wait_agreed()
        for name, report in fleet.reports().items():
            if name == 'entry-004':
                continue
            counts = report['counts']
            old = before[name]['counts']
            for kind in ('membership.became_suspect', 'peer.handler_errors'):
                assert counts.get(kind, 0) == old.get(kind, 0)

    def test_threads_are_bounded(self, fleet: emulator.PeerFleet) -> None:
        """The number of threads does not grow with time."""
        threading.Event().wait(0.1)
        for report in fleet.reports().values():
            assert report['thread_count'] < 80
