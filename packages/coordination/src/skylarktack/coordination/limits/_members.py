"""Division of limits among the listed instances."""

from collections.abc import Sequence
import math
import zlib

from skylarktack import state
from skylarktack.coordination.limits import _scopes


class ShareMembers:
    """Instances among which limits are divided.

    All listed instances count, reachable or not. A partition therefore does
    not change any share, and its sides together stay within the limit. An
    instance removed from the list counts for ``growth_delay_ms`` longer,
    because others may still use the old list.
    """

    def __init__(
        self, name: state.InstanceName, settings: state.LimitSettings
    ) -> None:
        self._name = name
        self._settings = settings
        self._listed: frozenset[state.InstanceName] = frozenset()
        self._counted_until_s: dict[state.InstanceName, float] = {}
        self._settled_s = math.inf
        self._base_shares: dict[tuple[_scopes.Scope, float], float] = {}

    @property
    def counted(self) -> frozenset[state.InstanceName]:
        """Instances among which limits are divided at present."""
        return frozenset(self._counted_until_s)

    def update(
        self, names: Sequence[state.InstanceName], now_s: float
    ) -> None:
        """Apply the platform's list of instances."""
        listed = frozenset((*names, self._name))
        if self._settled_s == math.inf:
            # A single instance need not wait for others to lower their
            # shares.
            is_single = len(listed) == 1
            delay_s = 0.0 if is_single else self._settings.settle_ms / 1000
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
            self._base_shares.clear()

    def is_listed(self, name: state.InstanceName) -> bool:
        """Return whether an instance is in the current list."""
        return name in self._listed

    def base_share(
        self, scope: _scopes.Scope, limit: float, now_s: float
    ) -> float:
        """Return this instance's share of a limit, before loans."""
        if now_s < self._settled_s:
            return 0.0
        key = (scope, limit)
        cached = self._base_shares.get(key)
        if cached is None:
            cached = self._divide(scope, limit)
            if (
                len(self._base_shares)
                >= self._settings.idle_organisation_count
            ):
                self._base_shares.clear()
            self._base_shares[key] = cached
        return cached

    def _divide(self, scope: _scopes.Scope, limit: float) -> float:
        count = len(self._counted_until_s)
        if scope.resource is _scopes.Resource.RATE:
            return limit / count
        quotient, remainder = divmod(int(limit), count)
        # The remainder goes to the first instances by rendezvous hashing, so
        # that small limits are placed on different instances.
        own = _rank_hash(scope, self._name)
        before = 0
        for name in self._counted_until_s:
            other = _rank_hash(scope, name)
            if (other, name) < (own, self._name):
                before += 1
        return float(quotient + (1 if before < remainder else 0))


def _rank_hash(scope: _scopes.Scope, name: state.InstanceName) -> int:
    return zlib.crc32(f'{name}/{scope.kind.value}/{scope.name}'.encode())


def pair_hash(one: str, other: str) -> int:
    """Return a hash of an ordered pair of names."""
    return zlib.crc32(f'{one}/{other}'.encode())
