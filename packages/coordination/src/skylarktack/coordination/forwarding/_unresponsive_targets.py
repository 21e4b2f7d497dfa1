"""Targets that have stopped answering calls, and their trials.

Each of many instances would find out alone that a target hangs, and lose a
call in doing so. The first ones tell the others, and then the target gets few
calls until it answers one of them.
"""

from collections.abc import Callable
import math
import random

from skylarktack.coordination.forwarding import _target_observations
from skylarktack.coordination.forwarding import _target_records
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Time between two trials of a target by all instances together. A target
#: that has recovered is noticed after about that time.
TRIAL_INTERVAL_S = 0.25

#: The interval grows with the failures since the last answer, by one for each
#: of these, up to a factor: a trial may cost a call.
FAILURES_PER_INTERVAL = 10
MAX_INTERVAL_FACTOR = 4.0

#: Time for which a call that may not be repeated leaves a trial to others.
RETRYABLE_FIRST_S = 1.0

#: Failures since the last answer, seen by any instance, from which a target
#: whose call is overdue is taken for one that hangs. One call alone may be a
#: long one.
CERTAIN_FAILURE_COUNT = 2

#: Time after which a target without responses counts as a usual one.
DISTRUST_LIFETIME_S = 60.0


class UnresponsiveTargets:
    """Tells which targets get only trials; the owner serialises the calls."""

    def __init__(
        self,
        clock: Clock,
        records: _target_records.TargetRecords,
        observations: _target_observations.TargetObservations,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Create an empty set.

        :param draw: returns random numbers from 0 to 1.
        """
        self._clock = clock
        self._records = records
        self._observations = observations
        self._draw = draw
        self._overdue_at_s: dict[str, float] = {}
        self._next_trial_at_s: dict[str, float] = {}

    def has_answered_since(
        self, target: data.ListedTarget, since_s: float
    ) -> bool:
        """Return whether any instance has seen an answer since then."""
        return self._answered_at_s(target) > since_s

    def record_overdue(self, target: data.ListedTarget) -> bool:
        """Record that a call is overdue at a target that answers nobody.

        :return: whether the target is taken for one that hangs.
        """
        progress = self._observations.progress(target)
        if progress.unanswered_count < CERTAIN_FAILURE_COUNT:
            return False
        self._overdue_at_s[target.name] = self._clock.monotonic_s()
        return True

    def is_distrusted(self, target: data.ListedTarget) -> bool:
        """Return whether a target was found failed and has not answered."""
        since_s = max(
            self._overdue_at_s.get(target.name, -math.inf),
            self._records.stats_of(target).suspected_at_s,
        )
        now_s = self._clock.monotonic_s()
        if since_s > max(
            self._answered_at_s(target), now_s - DISTRUST_LIFETIME_S
        ):
            return True
        self._overdue_at_s.pop(target.name, None)
        self._next_trial_at_s.pop(target.name, None)
        return False

    def is_withheld(
        self,
        target: data.ListedTarget,
        instance_count: int,
        is_retryable: bool,
    ) -> bool:
        """Return whether a call must not be a trial of the target now.

        Each instance has its turn at a random time, so that all together
        make few trials. A call that may not be repeated is lost at a target
        that hangs; it is the trial only if no other call has been.
        """
        if not self.is_distrusted(target):
            return False
        now_s = self._clock.monotonic_s()
        next_at_s = self._next_trial_at_s.get(target.name)
        if next_at_s is None:
            interval_s = self._interval_s(target, instance_count)
            next_at_s = now_s + self._draw() * interval_s
            self._next_trial_at_s[target.name] = next_at_s
        return now_s < next_at_s + (0 if is_retryable else RETRYABLE_FIRST_S)

    def record_trial(
        self, target: data.ListedTarget, instance_count: int
    ) -> None:
        """Record that a call is sent to a target that is distrusted."""
        interval_s = self._interval_s(target, instance_count)
        self._next_trial_at_s[target.name] = (
            self._clock.monotonic_s() + interval_s
        )

    def _interval_s(
        self, target: data.ListedTarget, instance_count: int
    ) -> float:
        """Return the time between two trials by one of the instances."""
        progress = self._observations.progress(target)
        factor = 1 + progress.unanswered_count / FAILURES_PER_INTERVAL
        return (
            TRIAL_INTERVAL_S
            * instance_count
            * min(MAX_INTERVAL_FACTOR, factor)
        )

    def _answered_at_s(self, target: data.ListedTarget) -> float:
        progress = self._observations.progress(target)
        stats = self._records.stats_of(target)
        return max(stats.last_seen_at_s, progress.last_answered_at_s)
