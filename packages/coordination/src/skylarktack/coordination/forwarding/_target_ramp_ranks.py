"""Ranks of this instance for targets, by rendezvous hashing.

All instances order themselves in the same way for a target, so that a number
of them may send to it without a message about who may.
"""

import dataclasses
import hashlib
from typing import Protocol

from skylarktack.coordination.ports import Clock

#: Time for which the list of instances is used.
REFRESH_INTERVAL_S = 1.0

_MASK = 2**64 - 1

#: Odd multiplier of the finalizer of SplitMix64 (Steele and others 2014).
_MULTIPLIER = 0xBF58476D1CE4E5B9


class Instances(Protocol):
    """The instances among which the ranks are."""

    instance: str

    def ranked_names(self) -> frozenset[str]:
        """Return the names of the instances, with this one."""
        ...

    def report_interval_s(self) -> float:
        """Return the time between two full reports of an instance."""
        ...


@dataclasses.dataclass(frozen=True)
class Rank:
    """The place of this instance in the order for a target."""

    #: Instances that go before this one.
    position: int

    #: Instances in the order, with this one.
    instance_count: int


class InstanceRanks:
    """Computes ranks; the owner serialises the calls."""

    def __init__(self, clock: Clock, instances: Instances) -> None:
        self._clock = clock
        self._instances = instances
        self._own_key = _key(instances.instance)
        self._names: frozenset[str] = frozenset()
        self._other_keys: tuple[int, ...] = ()
        self._refresh_at_s = clock.monotonic_s()

    def rank(self, name: str) -> Rank:
        """Return the rank of this instance for a target.

        It is kept for the whole ramp, which is short: to compute it anew with
        each change of the instances would take a small instance too long.
        """
        self._refresh()
        target_key = _key(name)
        own = _mix(self._own_key ^ target_key)
        position = sum(
            _mix(key ^ target_key) > own for key in self._other_keys
        )
        return Rank(position, 1 + len(self._other_keys))

    def _refresh(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._refresh_at_s:
            return
        self._refresh_at_s = now_s + REFRESH_INTERVAL_S
        names = self._instances.ranked_names()
        if names != self._names:
            self._names = names
            others = names - {self._instances.instance}
            self._other_keys = tuple(_key(name) for name in others)


def _key(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def _mix(value: int) -> int:
    """Return a well-mixed number; cheaper than a hash for each pair."""
    value = ((value ^ (value >> 30)) * _MULTIPLIER) & _MASK
    return value ^ (value >> 31)
