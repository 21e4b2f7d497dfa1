"""Background tasks of the membership whose steps fail."""

import threading

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import membership
from skylarktack.coordination import ports

PATIENCE_S = 20.0

TASK_NAMES = (
    'membership exchanges',
    'membership probes',
    'membership rejoins',
)


class _FailingClock(ports.SystemClock):
    """A clock whose first wait fails, for each supervised task."""

    def __init__(self) -> None:
        #: Set once all tasks have waited without an error.
        self.all_wait = threading.Event()
        self._lock = threading.Lock()
        self._failed: set[int] = set()
        self._waiting: set[int] = set()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Fail at the first call of a thread, wait at the later ones."""
        task = threading.get_ident()
        with self._lock:
            if task not in self._failed:
                self._failed.add(task)
                raise ValueError('odd wait')
            self._waiting.add(task)
            if len(self._waiting) == len(TASK_NAMES):
                self.all_wait.set()
        return super().wait(event, timeout_s)


class TestMembershipTasks:
    """Errors outside the rounds of the three tasks."""

    def test_tasks_are_started_again(self) -> None:
        """Guards against an instance that stops to probe its peers."""
        clock = _FailingClock()
        errors = forwarding.ErrorRecorder(
            ports.SystemClock(), fakes.RecordingLog()
        )
        table = state.MemberTable(
            state.Member(
                name=state.InstanceName('instance-000'),
                address=state.Address('127.0.0.1', 10_000),
                failure_domain=state.FailureDomain('domain-0'),
                region='region-1',
                incarnation=1,
                state=state.MemberState.ALIVE,
            )
        )
        members = membership.Membership(
            membership.MembershipDependencies(
                settings=state.PeerSettings(state.Address('127.0.0.1', 0)),
                network=fakes.MemoryLinkHub(1).join(table),
                table=table,
                clock=clock,
                metrics=fakes.MemoryMetrics(),
                supervisor=forwarding.Supervisor(ports.SystemClock(), errors),
            )
        )
        members.start()
        try:
            assert clock.all_wait.wait(PATIENCE_S)
        finally:
            members.stop()
        assert errors.counts() == dict.fromkeys(TASK_NAMES, 1)
