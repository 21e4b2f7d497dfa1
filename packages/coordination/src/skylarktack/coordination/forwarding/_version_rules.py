"""Which versions of a service a request may be sent to."""

import dataclasses

#: A version that no order names is kept from traffic for this time after it
#: appeared, since its order may arrive a moment after its first target.
UNPROVEN_S = 3.0


@dataclasses.dataclass(frozen=True)
class VersionRule:
    """Which versions one request may be sent to."""

    #: Version that is taken if it has a sound target, or None.
    preferred: str | None = None

    #: Versions that it must not be sent to.
    excluded: frozenset[str] = frozenset()

    #: Whether the request tries a version that is not proven yet.
    is_trial: bool = False

    def for_repeat(self) -> 'VersionRule':
        """Return the rule for sends after the first.

        A request that tried a new version is repeated at a proven one.
        """
        if not self.is_trial or self.preferred is None:
            return self
        return VersionRule(None, self.excluded | {self.preferred})


#: The rule of a service without a move.
ANY_VERSION = VersionRule()


class KnownVersions:
    """Versions that were listed, rejected, or appeared without an order.

    Its owner serialises the calls.
    """

    def __init__(self) -> None:
        self._listed: dict[str, set[str]] = {}
        self._rejected: dict[str, set[str]] = {}
        self._unproven: dict[tuple[str, str], float] = {}

    def note(
        self, service: str, version: str, is_first_list: bool, now_s: float
    ) -> None:
        """Note that a target of a version was listed."""
        listed = self._listed.setdefault(service, set())
        if version in listed:
            return
        if listed and not is_first_list:
            self._unproven[service, version] = now_s + UNPROVEN_S
        listed.add(version)

    def reject(self, service: str, version: str) -> None:
        """Exclude a version that was found bad."""
        self._rejected.setdefault(service, set()).add(version)

    def restore(self, service: str, version: str) -> None:
        """Admit a version again, which is on trial once more."""
        self._rejected.get(service, set()).discard(version)

    def excluded(
        self, service: str, are_orders_known: bool, now_s: float
    ) -> frozenset[str]:
        """Return the versions that no request may be sent to."""
        excluded = frozenset(self._rejected.get(service, ()))
        listed = self._listed.get(service, set())
        if len(listed) > 1 and not are_orders_known:
            # Any of them may be on trial.
            return frozenset(listed)
        if not self._unproven:
            return excluded
        for key, until_s in list(self._unproven.items()):
            if now_s >= until_s:
                del self._unproven[key]
            elif key[0] == service:
                excluded |= {key[1]}
        return excluded
