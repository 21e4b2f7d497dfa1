"""Background tasks whose steps fail."""

import dataclasses
import threading

from expression import Result

from skylarktack import state
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination import generation
from skylarktack.coordination import membership
from skylarktack.coordination import ports
from skylarktack.coordination import routing
from skylarktack.coordination.tests import generation_harness
from skylarktack.coordination.tests import routing_harness

PATIENCE_S = 20.0

TASK_NAMES = (
    'membership exchanges',
    'membership probes',
    'membership rejoins',
)


class _FailingClock(ports.SystemClock):
    """A clock whose first wait fails, for each supervised task."""

    def __init__(self, task_count: int) -> None:
        #: Set once all tasks have waited without an error.
        self.all_wait = threading.Event()
        self._task_count = task_count
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
            if len(self._waiting) == self._task_count:
                self.all_wait.set()
        return super().wait(event, timeout_s)


def _record_errors() -> forwarding.ErrorRecorder:
    return forwarding.ErrorRecorder(ports.SystemClock(), fakes.RecordingLog())


class TestMembershipTasks:
    """Errors outside the rounds of the three tasks."""

    def test_tasks_are_started_again(self) -> None:
        """Guards against an instance that stops to probe its peers."""
        clock = _FailingClock(len(TASK_NAMES))
        errors = _record_errors()
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


class _OddEngines(fakes.FaultyEngines):
    """Engines, the first of which has a load report that raises."""

    def __init__(self) -> None:
        super().__init__(fakes.SteppingClock(), lambda prompt, at: '', 1)
        #: Set once a sound engine was polled.
        self.was_polled = threading.Event()

    def read_load(
        self, target: state.Target, timeout_s: float
    ) -> Result[ports.EngineLoad, ports.StreamFault]:
        """Raise for the first engine, refuse for the others."""
        if target == routing_harness.make_target(0):
            raise ValueError('odd report')
        self.was_polled.set()
        return super().read_load(target, timeout_s)


class TestTargetPolls:
    """Errors in the polling of a group of targets."""

    def _watch(
        self, clock: ports.Clock, engines: _OddEngines, target_count: int
    ) -> tuple[routing.TargetWatcher, forwarding.ErrorRecorder]:
        harness = routing_harness.RoutingHarness(
            state.RoutingSettings(watch_thread_count=1), target_count
        )
        errors = _record_errors()
        watcher = routing.TargetWatcher(
            harness.settings,
            harness.table,
            harness.prefixes,
            engines,
            clock,
            routing.LeavingNotices(harness.table, None),
            forwarding.Supervisor(ports.SystemClock(), errors),
        )
        return watcher, errors

    def test_group_is_polled_again(self) -> None:
        """Guards against targets that are never polled after an error."""
        clock = _FailingClock(1)
        watcher, errors = self._watch(clock, _OddEngines(), 0)
        watcher.start()
        try:
            assert clock.all_wait.wait(PATIENCE_S)
        finally:
            watcher.stop()
        assert errors.counts() == {'target polls': 1}

    def test_other_targets_are_polled(self) -> None:
        """Guards against a target that ends the round of its group."""
        engines = _OddEngines()
        watcher, errors = self._watch(ports.SystemClock(), engines, 2)
        watcher.poll_group(0)
        assert engines.was_polled.is_set()
        assert errors.counts() == {'target polls': 1}


class TestAttemptCanceller:
    """Errors outside the rounds of the task that cancels attempts."""

    def test_attempts_are_cancelled_after_an_error(self) -> None:
        """Guards against attempts that hold engine slots for ever."""
        clock = _FailingClock(1)
        errors = _record_errors()
        fleet = generation_harness.Fleet(1)
        harness = generation_harness.GenerationHarness(fleet, 1)
        canceller = generation.AttemptCanceller(
            dataclasses.replace(
                harness.dependencies,
                clock=clock,
                supervisor=forwarding.Supervisor(ports.SystemClock(), errors),
            )
        )
        target = fleet.targets[0]
        frozen = fleet.engines.engine(target.name)
        frozen.frozen_until_s = float('inf')
        canceller.abandon(target, state.RequestId('request-1'), 1)
        assert clock.all_wait.wait(PATIENCE_S)
        frozen.frozen_until_s = 0.0
        waiting = threading.Event()
        for _ in range(1000):
            if not canceller.waiting_count:
                break
            waiting.wait(0.01)
        assert not canceller.waiting_count
        assert errors.counts() == {'attempt cancellation': 1}
