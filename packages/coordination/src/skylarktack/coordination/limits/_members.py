"""Division of a limit among the listed instances."""

from collections.abc import Sequence
import math
import zlib

from skylarktack import state
from skylarktack.coordination.limits import _scopes


class ShareMembers:
    """Instances among which limits are divided.

    All listed instances count, reachable or not: a partition therefore
    changes no share, and the sides together stay within the limit. One that
    leaves the list counts for a while longer, because others may still have
    the old list.
    """

    def __init__(
        self, name: state.InstanceName, settings: state.LimitSettings
    ) -> None:
        self._name = name
        self._settings = settings
        self._listed: frozenset[state.InstanceName] = frozenset()
        self._counted_until_s: dict[state.InstanceName, float] = {}
        self._settled_s = math.inf
        self._bases: dict[tuple[_scopes.Scope, float], float] = {}

    @property
    def counted(self) -> frozenset[state.InstanceName]:
        """Instances that have a share."""
        return frozenset(self._counted_until_s)

    def update(
        self, names: Sequence[state.InstanceName], now_s: float
    ) -> None:
        """Take in the list of instances."""
        listed = frozenset((*names, self._name))
        if self._settled_s == math.inf:
            # With no other instance there is no share to wait for.
            alone = len(listed) == 1
            delay_s = 0.0 if alone else self._settings.settle_ms / 1000
            self._settled_s = now_s + delay_s
        before = self.counted
        for name in self._listed - listed:
            self._counted_until_s[name] = (
                now_s + self._settings.growth_delay_ms / 1000
            )
        for name in listed:
            self._counted_until_s[name] = math.inf
        for name, until_s in list(self._counted_until_s.items()):
            if until_s < now_s:
                del self._counted_until_s[name]
        self._listed = listed
        if self.counted != before:
            self._bases.clear()

    def is_listed(self, name: state.InstanceName) -> bool:
        """Return whether the list shows an instance at present."""
        return name in self._listed

    def base(self, scope: _scopes.Scope, limit: float, now_s: float) -> float:
        """Return the own share without loans."""
        if now_s < self._settled_s:
            return 0.0
        key = (scope, limit)
        known = self._bases.get(key)
        if known is None:
            known = self._divided(scope, limit)
            if len(self._bases) >= self._settings.idle_organisation_count:
                self._bases.clear()
            self._bases[key] = known
        return known

    def _divided(self, scope: _scopes.Scope, limit: float) -> float:
        count = len(self._counted_until_s)
        if scope.resource is _scopes.Resource.RATE:
            return limit / count
        whole, rest = divmod(int(limit), count)
        # The rest goes to the first instances by rendezvous hashing, so that
        # small limits are spread over different instances.
        own = _rank_hash(scope, self._name)
        before = 0
        for name in self._counted_until_s:
            other = _rank_hash(scope, name)
            if (other, name) < (own, self._name):
                before += 1
        return float(whole + (1 if before < rest else 0))


def _rank_hash(scope: _scopes.Scope, name: state.InstanceName) -> int:
    return zlib.crc32(f'{name}/{scope.kind.value}/{scope.name}'.encode())


def pair_hash(one: str, other: str) -> int:
    """Return a hash of two names in this order."""
    return zlib.crc32(f'{one}/{other}'.encode())
