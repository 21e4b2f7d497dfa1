"""Decides what a request does while all targets asked for a pause."""

from collections.abc import Callable
import dataclasses
import random

#: Requests that wait for the same pause are spread over this fraction of it,
#: and at most this time, so that they do not all arrive at its end.
SPREAD_FRACTION = 0.2
MAX_SPREAD_S = 0.25


@dataclasses.dataclass(frozen=True)
class PauseWait:
    """Time until a request may be placed."""

    #: Includes a random delay that spreads the waiting requests.
    wait_s: float

    #: Whether the request can still be served after the wait; otherwise it
    #: should be refused now, to come back after the wait.
    is_in_time: bool


def plan_pause_wait(
    pause_s: float,
    time_left_s: float,
    service_time_s: float,
    draw: Callable[[], float] = random.random,
) -> PauseWait:
    """Return whether to wait for the end of a pause, and for how long.

    :param pause_s: time until the first target may be used again.
    :param time_left_s: time until the deadline of the request.
    :param service_time_s: time that a target is allowed for the request.
    :param draw: returns random numbers from 0 to 1.
    """
    spread_s = min(MAX_SPREAD_S, SPREAD_FRACTION * pause_s)
    wait_s = pause_s + spread_s * draw()
    return PauseWait(wait_s, wait_s + service_time_s <= time_left_s)
