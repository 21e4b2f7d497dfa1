"""Tests of the monitor that notices suspensions of the process."""

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding

#: Longer than any pause of a process that runs.
SUSPENSION_S = 0.5


class TestSuspensionMonitor:
    """Suspensions of the process."""

    def test_a_running_process_was_not_suspended(self) -> None:
        """Guards against confirmations that expire without a reason."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        started_at_s = clock.monotonic_s()
        monitor = forwarding.SuspensionMonitor(clock, log, clock.wall_s)
        for _ in range(20):
            clock.advance(0.2)
            assert monitor.running_since_s() == started_at_s
        assert log.events == []

    def test_a_slow_start_is_no_suspension(self) -> None:
        """Guards against an alarm to operators at each slow start."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        monitor = forwarding.SuspensionMonitor(clock, log, clock.wall_s)
        clock.advance(SUSPENSION_S)
        monitor.stop()
        monitor.run()
        monitor.running_since_s()
        assert log.events == []

    def test_a_restarted_task_keeps_what_it_noticed(self) -> None:
        """Guards against a suspension that the monitor's failure hides."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        monitor = forwarding.SuspensionMonitor(clock, log, clock.wall_s)
        monitor.stop()
        monitor.run()
        clock.advance(SUSPENSION_S)
        monitor.run()
        assert monitor.running_since_s() == clock.monotonic_s()

    def test_the_first_call_notices_a_suspension(self) -> None:
        """Guards against a request that is faster than the monitor's task."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        monitor = forwarding.SuspensionMonitor(clock, log, clock.wall_s)
        clock.advance(SUSPENSION_S)
        resumed_at_s = clock.monotonic_s()
        assert monitor.running_since_s() == resumed_at_s
        clock.advance(0.2)
        assert monitor.running_since_s() == resumed_at_s
        assert log.events == [forwarding.ProcessSuspended(500)]

    def test_a_suspended_machine_is_noticed(self) -> None:
        """Guards against a suspension that the monotonic clock leaves out."""
        clock = fakes.SteppingClock()
        log = fakes.RecordingLog()
        boottime_s = 100.0
        monitor = forwarding.SuspensionMonitor(clock, log, lambda: boottime_s)
        boottime_s += SUSPENSION_S
        clock.advance(0.1)
        assert monitor.running_since_s() == clock.monotonic_s()
        assert log.events == [forwarding.ProcessSuspended(500)]
