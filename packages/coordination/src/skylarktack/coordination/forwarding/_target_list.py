"""The targets that the store lists, with those that an outage removed."""

import math

from skylarktack.state import forwarding as data

#: Targets whose entries expired in an outage register again within this time
#: after its end if they are alive.
EXPIRY_GRACE_S = 2.2


class TargetList:
    """Listed targets by name; the owner serialises the calls."""

    def __init__(self) -> None:
        self.by_name: dict[str, data.ListedTarget] = {}
        self._expired: dict[str, float] = {}
        self._expiry_grace_until_s = -math.inf

    def keep_expired(self, now_s: float) -> None:
        """Keep targets that are removed within the grace after an outage."""
        self._expiry_grace_until_s = now_s + EXPIRY_GRACE_S

    def put(self, target: data.ListedTarget) -> data.ListedTarget | None:
        """Add or replace a target; return its previous entry, or None."""
        previous = self.by_name.get(target.name)
        self._expired.pop(target.name, None)
        self.by_name[target.name] = target
        return previous

    def remove(self, name: str, now_s: float) -> bool:
        """Remove a target; return False if it is kept for a while."""
        if now_s < self._expiry_grace_until_s:
            self._expired.setdefault(name, self._expiry_grace_until_s)
            return False
        self._expired.pop(name, None)
        del self.by_name[name]
        return True

    def is_kept(self, name: str) -> bool:
        """Return whether a target was removed but is kept for a while."""
        return name in self._expired

    def take_expired(self, now_s: float) -> tuple[str, ...]:
        """Return the names of targets that were kept for long enough."""
        return tuple(
            name for name, until_s in self._expired.items() if now_s >= until_s
        )
