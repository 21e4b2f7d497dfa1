"""Graceful shutdown on a simulated clock that waits advance."""

import subprocess
import sys

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.daemon.forwarding import _stopping
from skylarktack.transport import forwarding as transport

GRACE_S = 8.0


class _FakeFront:
    def __init__(
        self,
        clock: fakes.SteppingClock,
        calls_end_s: float,
        accepted_after_s: float,
    ) -> None:
        self._clock = clock
        self._accepted_after_s = accepted_after_s
        self._start_s = clock.monotonic_s()
        self._calls_end_s = calls_end_s
        self.closed_after_s: float | None = None

    def open_count(self) -> int:
        """Return 1 until the calls have ended."""
        return int(self._elapsed_s() < self._calls_end_s)

    def has_waiting(self) -> bool:
        """Return whether the burst of connections is not accepted yet."""
        return self._elapsed_s() < self._accepted_after_s

    def close_idle(self) -> None:
        """Ignore the request; there are no idle connections."""

    def close(self) -> None:
        """Record when the listener was closed."""
        self.closed_after_s = self._elapsed_s()

    def _elapsed_s(self) -> float:
        return self._clock.monotonic_s() - self._start_s


class _FakeGateway:
    def __init__(
        self, clock: fakes.SteppingClock, streams_end_s: float
    ) -> None:
        self._clock = clock
        self._start_s = clock.monotonic_s()
        self._streams_end_s = streams_end_s
        self.end_at_s = 0.0

    def begin_shutdown(self, end_at_s: float) -> None:
        """Record the deadline."""
        self.end_at_s = end_at_s - self._start_s

    def stream_count(self) -> int:
        """Return 1 until the streams have ended."""
        elapsed_s = self._clock.monotonic_s() - self._start_s
        return int(elapsed_s < self._streams_end_s)


def _stop(
    streams_end_s: float,
    calls_end_s: float = 0.0,
    delay_s: float = 0.0,
    accepted_after_s: float = 0.0,
) -> tuple[_FakeFront, _FakeGateway, float]:
    clock = fakes.SteppingClock()
    front = _FakeFront(clock, calls_end_s, accepted_after_s)
    gateway = _FakeGateway(clock, streams_end_s)
    started_s = clock.monotonic_s()
    _stopping.finish_requests(
        clock,
        front,
        gateway,
        forwarding.ErrorRecorder(clock, transport.LineLog('instance-0')),
        started_s + GRACE_S - delay_s,
    )
    return front, gateway, clock.monotonic_s() - started_s


class TestFinishRequests:
    """A stopping instance serves requests until it has to exit."""

    def test_accepts_while_streams_are_open(self) -> None:
        """Guards against refused connections while many instances stop.

        When most instances of a failure domain are stopping, the load
        balancer uses them all again. If they close their listener 3 s after
        the stop signal but exit seconds later, connections are refused.
        """
        front, _, _ = _stop(streams_end_s=6.0)
        assert front.closed_after_s is not None
        assert front.closed_after_s >= 6.0

    def test_returns_soon_after_the_last_request(self) -> None:
        """Guards against an idle instance that waits for the deadline."""
        front, _, duration_s = _stop(streams_end_s=4.0, calls_end_s=4.5)
        assert front.closed_after_s is not None
        assert duration_s == pytest.approx(4.6, abs=0.25)

    def test_accepts_until_readiness_checks_fail(self) -> None:
        """Guards against refusing connections the balancer still sends.

        The balancer does so until two readiness checks have failed.
        """
        front, _, _ = _stop(streams_end_s=0.0)
        assert front.closed_after_s is not None
        assert front.closed_after_s >= 3.0

    def test_a_burst_of_connections_is_accepted_first(self) -> None:
        """Guards against connections that the close of the listener resets."""
        front, _, _ = _stop(streams_end_s=0.0, accepted_after_s=4.5)
        assert front.closed_after_s is not None
        assert front.closed_after_s >= 4.5

    def test_no_burst_is_accepted_too_late(self) -> None:
        """Guards against connections that are accepted only to be cut."""
        front, _, _ = _stop(streams_end_s=0.0, accepted_after_s=99.0)
        assert front.closed_after_s is not None
        assert front.closed_after_s <= GRACE_S - 1.0

    def test_returns_before_the_kill(self) -> None:
        """Guards against requests that are cut off by the kill."""
        front, gateway, duration_s = _stop(
            streams_end_s=99.0, calls_end_s=99.0, accepted_after_s=99.0
        )
        assert front.closed_after_s is not None
        assert front.closed_after_s < gateway.end_at_s < GRACE_S
        assert duration_s < GRACE_S

    def test_counts_the_grace_period_from_the_signal(self) -> None:
        """Guards against a stop that begins late and outlasts the grace."""
        _, gateway, duration_s = _stop(
            streams_end_s=99.0, calls_end_s=99.0, delay_s=2.0
        )
        assert gateway.end_at_s < duration_s < GRACE_S - 2.0

    def test_leaves_time_for_the_last_answers(self) -> None:
        """Guards against answers that are made at the deadline and not sent.

        A request at an unresponsive target is answered at its time limit,
        which may be the last moment at which requests have to end.
        """
        _, gateway, duration_s = _stop(streams_end_s=99.0, calls_end_s=99.0)
        assert duration_s - gateway.end_at_s >= 0.2


def _fail(*arguments: object) -> int:
    raise ValueError('odd step')


class TestFailingSteps:
    """A step of the shutdown that fails."""

    @pytest.mark.parametrize(
        ('part', 'step'),
        [
            (_FakeGateway, 'begin_shutdown'),
            (_FakeGateway, 'stream_count'),
            (_FakeFront, 'close_idle'),
            (_FakeFront, 'close'),
            (_FakeFront, 'open_count'),
        ],
    )
    def test_later_steps_are_done(
        self, part: type, step: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against calls that are cut because another step failed."""
        monkeypatch.setattr(part, step, _fail)
        front, _, duration_s = _stop(streams_end_s=0.0, calls_end_s=4.5)
        assert step == 'close' or front.closed_after_s is not None
        assert 4.5 <= duration_s < GRACE_S


class TestExitBefore:
    """A shutdown with a step that never returns."""

    def test_process_exits(self) -> None:
        """Guards against a process that stays until it is killed."""
        script = (
            'import time; '
            'from skylarktack.daemon.forwarding import _stopping; '
            '_stopping.exit_before(time.monotonic()); '
            'time.sleep(60.0)'
        )
        completed = subprocess.run([sys.executable, '-c', script], timeout=30)
        assert completed.returncode == _stopping.EXIT_CUT_OFF
