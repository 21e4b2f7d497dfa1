"""Graceful shutdown of an instance: finish open requests, then exit."""

import threading
from typing import Protocol

from skylarktack.coordination.ports import Clock

#: Delay after the stop signal before idle connections are closed. By then
#: the load balancer has seen that the instance is not ready any more.
CLOSE_IDLE_AFTER_S = 1.2

#: Minimum time after the stop signal during which new connections are
#: accepted: two readiness checks of the load balancer have to fail first.
#: The instance also accepts while it has streams, because the balancer uses
#: all instances of a failure domain again when most of them are stopping.
ACCEPT_AFTER_STOP_S = 3.0

#: The listener is closed at the latest this long before the deadline.
CLOSE_MARGIN_S = 0.5

#: Requests are admitted only if they end this long before the deadline, so
#: that an answer at its time limit still reaches the caller.
RESPONSE_MARGIN_S = 0.2

#: Interval at which a shutdown checks for idle connections.
POLL_INTERVAL_S = 0.2

#: The deadline of a shutdown is this long before the grace period ends, so
#: that the process exits before it is killed.
KILL_MARGIN_S = 0.25


class StoppingFront(Protocol):
    """The part of the caller listener that a shutdown uses."""

    def open_count(self) -> int:
        """Return the number of open connections."""
        ...

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        ...

    def close(self) -> None:
        """Stop accepting connections; open ones stay open."""
        ...


class StoppingGateway(Protocol):
    """The part of the gateway that a shutdown uses."""

    def begin_shutdown(self, end_at_s: float) -> None:
        """Reject requests that may end after this monotonic time."""
        ...

    def stream_count(self) -> int:
        """Return the number of streams in progress."""
        ...


def finish_requests(
    clock: Clock,
    front: StoppingFront,
    gateway: StoppingGateway,
    kill_at_s: float,
) -> None:
    """Block until all requests have ended or the deadline is reached.

    :param kill_at_s: monotonic time at which the process is killed.
    """
    stop_began_at_s = clock.monotonic_s()
    deadline_s = kill_at_s - KILL_MARGIN_S
    gateway.begin_shutdown(deadline_s - RESPONSE_MARGIN_S)
    never_set = threading.Event()
    is_accepting = True
    while clock.monotonic_s() < deadline_s:
        clock.wait(never_set, POLL_INTERVAL_S)
        now_s = clock.monotonic_s()
        if now_s >= stop_began_at_s + CLOSE_IDLE_AFTER_S:
            front.close_idle()
        if now_s < stop_began_at_s + ACCEPT_AFTER_STOP_S:
            continue
        if is_accepting:
            if gateway.stream_count() and now_s < deadline_s - CLOSE_MARGIN_S:
                continue
            # Requests on connections accepted so far are still served.
            front.close()
            is_accepting = False
            continue
        if not front.open_count():
            return
