"""The planned stop, on a clock that waits move."""

import pytest

from skylarktack.coordination import fakes
from skylarktack.daemon.forwarding import _stopping

GRACE_S = 8.0


class _Front:
    def __init__(self, clock: fakes.SteppingClock, calls_end_s: float) -> None:
        self._clock = clock
        self._start_s = clock.monotonic_s()
        self._calls_end_s = calls_end_s
        self.closed_after_s: float | None = None

    def open_count(self) -> int:
        """Return one connection until the calls have ended."""
        return int(self._elapsed_s() < self._calls_end_s)

    def close_idle(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Note when it was closed."""
        self.closed_after_s = self._elapsed_s()

    def _elapsed_s(self) -> float:
        return self._clock.monotonic_s() - self._start_s


class _Gateway:
    def __init__(
        self, clock: fakes.SteppingClock, streams_end_s: float
    ) -> None:
        self._clock = clock
        self._start_s = clock.monotonic_s()
        self._streams_end_s = streams_end_s
        self.end_at_s = 0.0

    def begin_shutdown(self, end_at_s: float) -> None:
        """Note the end."""
        self.end_at_s = end_at_s - self._start_s

    def stream_count(self) -> int:
        """Return one stream until the streams have ended."""
        elapsed_s = self._clock.monotonic_s() - self._start_s
        return int(elapsed_s < self._streams_end_s)


def _stop(
    streams_end_s: float, calls_end_s: float = 0.0
) -> tuple[_Front, _Gateway, float]:
    clock = fakes.SteppingClock()
    front = _Front(clock, calls_end_s)
    gateway = _Gateway(clock, streams_end_s)
    started_s = clock.monotonic_s()
    _stopping.finish_requests(clock, front, gateway, GRACE_S)
    return front, gateway, clock.monotonic_s() - started_s


class TestFinishRequests:
    """A stop serves what arrives for as long as the process runs."""

    def test_accepts_while_its_streams_run(self) -> None:
        """Guards against refused connections while many instances stop.

        The balancer goes back to instances that stop once most of their
        failure domain does; those had closed their listener three seconds
        after the order and ended only seconds later.
        """
        front, _, _ = _stop(streams_end_s=6.0)
        assert front.closed_after_s is not None
        assert front.closed_after_s >= 6.0

    def test_ends_soon_after_its_last_request(self) -> None:
        """Guards against instances that stay away for the whole grace."""
        front, _, took_s = _stop(streams_end_s=4.0, calls_end_s=4.5)
        assert front.closed_after_s is not None
        assert took_s == pytest.approx(4.6, abs=0.25)

    def test_accepts_until_the_balancer_knows(self) -> None:
        """Guards against connections that the balancer still sends."""
        front, _, _ = _stop(streams_end_s=0.0)
        assert front.closed_after_s is not None
        assert front.closed_after_s >= 3.0

    def test_ends_before_the_kill(self) -> None:
        """Guards against requests that a kill cuts unannounced."""
        front, gateway, took_s = _stop(streams_end_s=99.0, calls_end_s=99.0)
        assert front.closed_after_s is not None
        assert front.closed_after_s < gateway.end_at_s < GRACE_S
        assert took_s < GRACE_S
