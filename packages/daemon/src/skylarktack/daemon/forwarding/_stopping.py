"""Graceful shutdown of an instance: finish open requests, then exit."""

import os
import threading
import time
from typing import Protocol

from skylarktack.coordination import forwarding
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

#: The listener does not stay open for connections that wait to be accepted
#: from this time before the deadline on: requests on them would be cut.
SERVE_MARGIN_S = 1.0

#: Requests are admitted only if they end this long before the deadline, so
#: that an answer at its time limit still reaches the caller.
RESPONSE_MARGIN_S = 0.2

#: Interval at which a shutdown checks for idle connections.
POLL_INTERVAL_S = 0.2

#: The deadline of a shutdown is this long before the grace period ends, so
#: that the process exits before it is killed.
KILL_MARGIN_S = 0.25

#: Places of errors in the steps of a shutdown.
BEGIN_SHUTDOWN = 'begin of the shutdown'
CLOSE_IDLE = 'close of idle connections'
CLOSE_LISTENER = 'close of the listener'
COUNT_REQUESTS = 'count of open requests'

#: The process exits this long before it is killed, even if a step of the
#: shutdown does not return.
EXIT_MARGIN_S = 0.02

#: Minimum time for the last reports of a shutdown that begins late.
MIN_STOP_S = 0.5

#: Exit code of a shutdown that did not return in time.
EXIT_CUT_OFF = 1


class StoppingFront(Protocol):
    """The part of the caller listener that a shutdown uses."""

    def open_count(self) -> int:
        """Return the number of open connections."""
        ...

    def has_waiting(self) -> bool:
        """Return whether connections wait to be accepted."""
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


def exit_before(kill_at_s: float) -> None:
    """End the process before its kill, even if a step never returns."""
    delay_s = kill_at_s - EXIT_MARGIN_S - time.monotonic()
    timer = threading.Timer(
        max(MIN_STOP_S, delay_s), os._exit, (EXIT_CUT_OFF,)
    )
    timer.daemon = True
    timer.start()


def finish_requests(
    clock: Clock,
    front: StoppingFront,
    gateway: StoppingGateway,
    errors: forwarding.ErrorRecorder,
    kill_at_s: float,
) -> None:
    """Block until all requests have ended or the deadline is reached.

    A step that fails is recorded; the others are done all the same.

    :param kill_at_s: monotonic time at which the process is killed.
    """
    stop_began_at_s = clock.monotonic_s()
    deadline_s = kill_at_s - KILL_MARGIN_S
    with errors.contain(BEGIN_SHUTDOWN):
        gateway.begin_shutdown(deadline_s - RESPONSE_MARGIN_S)
    never_set = threading.Event()
    is_accepting = True
    while clock.monotonic_s() < deadline_s:
        clock.wait(never_set, POLL_INTERVAL_S)
        now_s = clock.monotonic_s()
        if now_s >= stop_began_at_s + CLOSE_IDLE_AFTER_S:
            with errors.contain(CLOSE_IDLE):
                front.close_idle()
        if now_s < stop_began_at_s + ACCEPT_AFTER_STOP_S:
            continue
        if is_accepting:
            is_late = now_s >= deadline_s - CLOSE_MARGIN_S
            if not is_late and _has_streams(gateway, errors):
                continue
            # The close resets what still waits, with the requests on it.
            can_serve = now_s < deadline_s - SERVE_MARGIN_S
            if can_serve and _has_waiting(front, errors):
                continue
            # Requests on connections accepted so far are still served.
            with errors.contain(CLOSE_LISTENER):
                front.close()
            is_accepting = False
            continue
        if not _has_connections(front, errors):
            return


def _has_streams(
    gateway: StoppingGateway, errors: forwarding.ErrorRecorder
) -> bool:
    """Return whether there are streams; true if that is unknown."""
    with errors.contain(COUNT_REQUESTS):
        return gateway.stream_count() > 0
    return True


def _has_waiting(
    front: StoppingFront, errors: forwarding.ErrorRecorder
) -> bool:
    """Return whether connections wait; false if that is unknown."""
    with errors.contain(COUNT_REQUESTS):
        return front.has_waiting()
    return False


def _has_connections(
    front: StoppingFront, errors: forwarding.ErrorRecorder
) -> bool:
    """Return whether connections are open; true if that is unknown."""
    with errors.contain(COUNT_REQUESTS):
        return front.open_count() > 0
    return True
