"""Limits on callers across changes of the configuration."""

import collections
import dataclasses
import threading

from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Maximum number of replaced limits that are kept. Those replaced first are
#: combined when there are more.
MAX_REPLACED_COUNT = 16

#: Minimum idle timeout while the store does not confirm the configuration: a
#: longer one may be active elsewhere that this instance does not know.
UNCONFIRMED_IDLE_TIMEOUT_MS = 60_000.0


@dataclasses.dataclass(frozen=True)
class _ReplacedLimits:
    """Limits of configurations that are not active any more."""

    limits: data.FrontLimits

    #: Monotonic time at which other limits came into force here.
    replaced_at_s: float


class FrontLimitHistory:
    """Limits in force, and those that callers may still go by.

    Callers and instances learn of a configuration at different moments. A
    caller may go by any limits that were in force since it began to wait or
    to send, by those replaced shortly before, and by new ones that an
    instance does not know yet.
    """

    def __init__(self, clock: Clock, lag_s: float) -> None:
        """Create a history that begins with the default limits.

        :param lag_s: maximum time for which this instance may not know a
            configuration that is active elsewhere.
        """
        self._clock = clock
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._limits = data.FrontLimits()
        self._replaced: collections.deque[_ReplacedLimits] = (
            collections.deque()
        )

    def replace(self, limits: data.FrontLimits) -> bool:
        """Put limits in force; return whether they differ."""
        with self._lock:
            if limits == self._limits:
                return False
            self._replaced.append(
                _ReplacedLimits(self._limits, self._clock.monotonic_s())
            )
            self._limits = limits
            if len(self._replaced) > MAX_REPLACED_COUNT:
                oldest = self._replaced.popleft()
                second = self._replaced[0]
                self._replaced[0] = dataclasses.replace(
                    second, limits=second.limits.widen(oldest.limits)
                )
            return True

    def allowed_since(self, began_at_s: float) -> data.FrontLimits:
        """Return limits that allow whatever a caller may count on.

        The idle timeout is longer by the lag: within it a longer one may
        come into force here that callers know already.

        :param began_at_s: monotonic time at which the caller began to wait
            or to send.
        """
        with self._lock:
            allowed = self._limits
            for replaced in reversed(self._replaced):
                if replaced.replaced_at_s < began_at_s - self._lag_s:
                    break
                allowed = allowed.widen(replaced.limits)
        return dataclasses.replace(
            allowed,
            idle_timeout_ms=allowed.idle_timeout_ms + 1000 * self._lag_s,
        )


def while_unconfirmed(limits: data.FrontLimits) -> data.FrontLimits:
    """Return the limits of an instance that may have missed a change."""
    return dataclasses.replace(
        limits,
        idle_timeout_ms=max(
            limits.idle_timeout_ms, UNCONFIRMED_IDLE_TIMEOUT_MS
        ),
    )
