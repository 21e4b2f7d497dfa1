"""Decides how long a lost run waits until it may be sent again."""

import enum

from skylarktack.coordination.forwarding import _admitted_request
from skylarktack.coordination.forwarding import _stream_attempts

#: A caller abandons a stream after a gap between events of this length, of so
#: many latency objectives or of so many maximum pauses, whichever is longest.
MIN_CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_OBJECTIVE_COUNT = 4
CALLER_PATIENCE_PAUSE_COUNT = 8

#: Interval between two attempts to claim a retry.
RETRY_CHECK_INTERVAL_S = 0.1

#: Interval between the sends of a run that has used all that are made at
#: once. Each of them takes a retry from the budget of all streams.
PACED_SEND_INTERVAL_S = 1.0


class RetryObstacle(enum.Enum):
    """Why a run may not be sent again now; the value names the step."""

    BUDGET_SPENT = 'budget_spent'

    #: The run has used the sends that are made at once.
    SENDS_USED = 'sends_used'


def retry_wait_end_s(
    admitted: _admitted_request.AdmittedRequest,
    progress: _stream_attempts.StreamProgress,
) -> float:
    """Return until when a lost run waits for a retry, in monotonic time.

    The engine that continues the stream needs up to a latency objective for
    its first event, which has to arrive before the deadline and before the
    caller abandons the stream. A caller without an event gets the failure
    once its first event would be late: its own retry is a new request, which
    needs no retry from the budget.
    """
    objective_s = admitted.route.latency_objective_ms / 1000
    if progress.last_sent_at_s is None:
        wait_end_s = admitted.started_at_s + objective_s
    else:
        wait_end_s = progress.last_sent_at_s + _caller_patience_s(admitted)
        wait_end_s -= objective_s
    return min(wait_end_s, admitted.deadline_s - objective_s)


def _caller_patience_s(
    admitted: _admitted_request.AdmittedRequest,
) -> float:
    """Return the gap between events after which the caller leaves."""
    objective_s = admitted.route.latency_objective_ms / 1000
    pause_s = (admitted.route.longest_pause_ms or 0.0) / 1000
    return max(
        MIN_CALLER_PATIENCE_S,
        CALLER_PATIENCE_OBJECTIVE_COUNT * objective_s,
        CALLER_PATIENCE_PAUSE_COUNT * pause_s,
    )
