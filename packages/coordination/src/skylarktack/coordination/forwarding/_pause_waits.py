"""Decides what a request does while all targets asked for a pause."""

from collections.abc import Callable
import dataclasses
import random

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _targets
from skylarktack.state import forwarding as data

#: Maximum jitter of the wait for the end of a pause, as a fraction of the
#: pause and in time, so that the waiting requests do not all arrive together.
JITTER_FRACTION = 0.2
MAX_JITTER_S = 0.25


@dataclasses.dataclass(frozen=True)
class PauseWait:
    """Time until a request may be placed."""

    #: Includes the jitter.
    wait_s: float

    #: Whether the request can still be served after the wait; otherwise it
    #: should be refused now, to come back after the wait.
    is_in_time: bool

    def refusal(self) -> data.Refusal:
        """Return the refusal of a request that cannot wait."""
        return data.Refusal(
            data.RefusalReason.NO_TARGET,
            round(self.wait_s, 3),
            'all targets asked for a pause',
        )


def plan_for_request(
    targets: _targets.TargetTable,
    admitted: _admitted_request.AdmittedRequest,
    now_s: float,
) -> PauseWait | None:
    """Return the wait of a request; None unless all targets are paused."""
    pause_end_s = targets.next_pause_end_s(
        admitted.service, admitted.version_rule
    )
    if pause_end_s is None:
        return None
    return plan_pause_wait(
        pause_end_s - now_s,
        admitted.deadline_s - now_s,
        admitted.route.latency_objective_ms / 1000,
    )


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
    max_jitter_s = min(MAX_JITTER_S, JITTER_FRACTION * pause_s)
    wait_s = pause_s + max_jitter_s * draw()
    return PauseWait(wait_s, wait_s + service_time_s <= time_left_s)
