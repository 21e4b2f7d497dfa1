"""What a call does while no target has room for its connection."""

from collections.abc import Callable
import dataclasses
import random

from skylarktack.state import forwarding as data

#: Bounds of the time until room is expected: a shorter one would be a short
#: sleep, and a longer one comes from a bad figure.
MIN_ROOM_WAIT_S = 0.01
MAX_ROOM_WAIT_S = 5.0

#: Maximum jitter of that time, as a fraction, so that refused callers do not
#: come back together.
ROOM_JITTER_FRACTION = 0.2


@dataclasses.dataclass(frozen=True)
class RoomWait:
    """Time until a target is expected to have room for a call."""

    #: Includes the jitter.
    wait_s: float

    #: Whether the call can still be served in time after the wait.
    is_in_time: bool

    def refusal(self) -> data.Refusal:
        """Return the refusal of a call that cannot wait."""
        return data.Refusal(
            data.RefusalReason.NO_TARGET,
            round(self.wait_s, 3),
            'no target has room for the call',
        )


def plan(
    room_s: float,
    service_s: float,
    time_left_s: float,
    draw: Callable[[], float] = random.random,
) -> RoomWait:
    """Return whether to wait for room, and for how long.

    :param room_s: time until the first target is expected to have room.
    :param service_s: expected time of the call at that target.
    :param time_left_s: time in which the call should be served.
    :param draw: returns random numbers from 0 to 1.
    """
    wait_s = max(MIN_ROOM_WAIT_S, room_s)
    wait_s *= 1 + ROOM_JITTER_FRACTION * draw()
    wait_s = min(MAX_ROOM_WAIT_S, wait_s)
    return RoomWait(wait_s, wait_s + service_s <= time_left_s)
