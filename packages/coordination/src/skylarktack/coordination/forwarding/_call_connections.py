"""Connections of the calls of this instance to each target, and their bound.

A target resets connections beyond its limit, or beyond fewer while its queue
is long. A call that is reset may have run: if it is not idempotent, it can
neither be repeated nor truthfully refused. So the instances share the limit.
"""

import dataclasses

#: Minimum connections of an instance to a target, unless its queue is long.
MIN_CONNECTION_COUNT = 2

#: Connections of an instance to a target whose queue is long, or whose
#: response it does not trust to come.
TRIAL_CONNECTION_COUNT = 1

#: A queue is long if it is this times the target's slots.
LONG_QUEUE_FACTOR = 1

#: A target that holds this share of its connection limit gets no new one:
#: reports are some milliseconds old, and other instances send too.
FULL_SHARE = 0.9


class CallConnections:
    """Open connections of calls; the owner serialises the calls."""

    def __init__(self) -> None:
        self._opened_at_s: dict[str, list[float]] = {}

    def open(self, name: str, now_s: float) -> None:
        """Count a connection to a target."""
        self._opened_at_s.setdefault(name, []).append(now_s)

    def close(self, name: str, opened_at_s: float) -> None:
        """Count the end of a connection.

        :param opened_at_s: time with which it was counted.
        """
        opened = self._opened_at_s.get(name)
        if opened is None or opened_at_s not in opened:
            return
        opened.remove(opened_at_s)
        if not opened:
            del self._opened_at_s[name]

    def count(self, name: str) -> int:
        """Return the number of open connections to a target."""
        return len(self._opened_at_s.get(name, ()))

    def count_since(self, name: str, since_s: float) -> int:
        """Return how many of them were opened after a time."""
        opened = self._opened_at_s.get(name, ())
        return sum(opened_at_s > since_s for opened_at_s in opened)

    def oldest_at_s(self, name: str) -> float | None:
        """Return when the oldest open connection was opened, or None."""
        opened = self._opened_at_s.get(name)
        return min(opened) if opened else None


@dataclasses.dataclass(frozen=True)
class TargetRoom:
    """What limits the connections of this instance to one target."""

    slot_count: int

    #: Connections that the target accepts from all instances, or None.
    connection_limit: int | None

    #: Live instances, with this one.
    instance_count: int

    #: Requests at the target, and those in its queue, by a fresh report.
    ahead_count: int
    waiting_count: int
    is_load_fresh: bool

    #: Whether the target has stopped responding and is only tried.
    is_on_trial: bool

    def bound(self) -> int:
        """Return the maximum number of connections of this instance.

        The share of the connection limit, but no more than the slots and a
        queue of the same length. While the target reports no queue, or no
        load at all, an instance with more callers than others may use all of
        that; otherwise only its share, since the others send too.
        """
        most = 2 * self.slot_count
        if self.connection_limit:
            most = min(most, self.connection_limit // self.instance_count)
            is_full = self.ahead_count >= FULL_SHARE * self.connection_limit
            if self.is_load_fresh and is_full:
                return 0
        if self.is_on_trial:
            return TRIAL_CONNECTION_COUNT
        if self.waiting_count >= LONG_QUEUE_FACTOR * self.slot_count:
            return TRIAL_CONNECTION_COUNT
        if self.waiting_count:
            most = min(most, -(-2 * self.slot_count // self.instance_count))
        return max(MIN_CONNECTION_COUNT, most)
