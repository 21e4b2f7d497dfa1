"""The planned stop of an instance: finish what runs, then end."""

import threading
from typing import Protocol

from skylarktack.coordination.ports import Clock

#: After the order to stop, connections without a request are closed from
#: this time on; by then the balancer has seen that the instance stops.
CLOSE_IDLE_AFTER_S = 1.2

#: The instance goes on accepting for this time at least, since two questions
#: of the balancer have to fail first. It accepts for as long as its streams
#: run: the balancer uses all instances of a failure domain again while most
#: of them stop.
ACCEPT_AFTER_STOP_S = 3.0

#: Time before the end at which no more connections are accepted.
CLOSE_MARGIN_S = 0.5

#: Step in which a stop looks for connections to close.
STOP_STEP_S = 0.2

#: Time before the end of the grace period at which a stop ends anyway.
STOP_MARGIN_S = 0.25


class StoppingFront(Protocol):
    """The listener of callers."""

    def open_count(self) -> int:
        """Return the number of open connections."""
        ...

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        ...

    def close(self) -> None:
        """Accept no more connections."""
        ...


class StoppingGateway(Protocol):
    """What decides on requests."""

    def begin_shutdown(self, end_at_s: float) -> None:
        """Accept nothing that does not end before this moment."""
        ...

    def stream_count(self) -> int:
        """Return the number of streams in progress."""
        ...


def finish_requests(
    clock: Clock,
    front: StoppingFront,
    gateway: StoppingGateway,
    grace_s: float,
) -> None:
    """Return when all requests have ended, or shortly before a kill.

    :param grace_s: time from the order to stop until the process is killed.
    """
    ordered_at_s = clock.monotonic_s()
    end_s = ordered_at_s + grace_s - STOP_MARGIN_S
    gateway.begin_shutdown(end_s)
    never = threading.Event()
    is_accepting = True
    while clock.monotonic_s() < end_s:
        clock.wait(never, STOP_STEP_S)
        now_s = clock.monotonic_s()
        if now_s >= ordered_at_s + CLOSE_IDLE_AFTER_S:
            front.close_idle()
        if now_s < ordered_at_s + ACCEPT_AFTER_STOP_S:
            continue
        if is_accepting:
            if gateway.stream_count() and now_s < end_s - CLOSE_MARGIN_S:
                continue
            # Requests on connections that were accepted until now are still
            # served.
            front.close()
            is_accepting = False
            continue
        if not front.open_count():
            return
