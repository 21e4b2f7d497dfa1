"""Rules for the versions of a service to which a request may be sent."""

import dataclasses

from skylarktack import state
from skylarktack.state import forwarding as data

#: A version without an order gets no traffic for this time after its first
#: target was listed, since its order may arrive shortly after the target.
UNORDERED_VERSION_WAIT_S = 3.0


@dataclasses.dataclass(frozen=True)
class VersionRule:
    """Versions to which one request may be sent."""

    #: Version that is used if it has an eligible target, or None.
    preferred: str | None = None

    #: Versions to which the request must not be sent.
    excluded: frozenset[str] = frozenset()

    #: Versions that may have been called off. They are used only while no
    #: version is listed that is neither these, nor excluded, nor preferred.
    last_resort: frozenset[str] = frozenset()

    #: Whether the request is a canary, sent to a version that is still judged.
    is_canary: bool = False

    #: Version that is used only if no other one has an eligible target, or
    #: None.
    avoided: str | None = None

    def without(self, version: str) -> 'VersionRule':
        """Return the rule that also excludes a version."""
        return dataclasses.replace(self, excluded=self.excluded | {version})

    def preferring(
        self, version: str, is_canary: bool = False
    ) -> 'VersionRule':
        """Return the rule that sends requests to the version of a move."""
        return dataclasses.replace(
            self.avoiding(version),
            preferred=version,
            avoided=None,
            is_canary=is_canary,
        )

    def avoiding(self, version: str) -> 'VersionRule':
        """Return the rule that sends requests to the version if it must."""
        return dataclasses.replace(
            self,
            excluded=self.excluded - {version},
            last_resort=self.last_resort - {version},
            avoided=version,
        )

    def with_proven(self, version: str) -> 'VersionRule':
        """Return the rule that sends requests to a version in use."""
        excluded = self.excluded | self.last_resort
        return VersionRule(version, excluded - {version})

    def prefers(self, version: str) -> bool:
        """Return whether a version goes before others that are eligible."""
        if self.preferred is not None:
            return version == self.preferred
        return version != self.avoided

    def for_retry(self) -> 'VersionRule':
        """Return the rule for sends after the first.

        A canary request is only retried at other versions.
        """
        if not self.is_canary or self.preferred is None:
            return self
        return VersionRule(
            None, self.excluded | {self.preferred}, self.last_resort
        )


#: Rule of a service without a move.
ANY_VERSION = VersionRule()


class KnownVersions:
    """Versions that were listed, were rejected, or have no order yet.

    Not thread-safe; the owner serialises the calls.
    """

    def __init__(self) -> None:
        self._listed: dict[str, set[str]] = {}
        self._rejected: dict[str, set[str]] = {}
        # Versions whose move was completed or cancelled while the orders
        # could not be followed.
        self._unknown_end: dict[str, set[str]] = {}
        self._unordered: dict[tuple[str, str], float] = {}
        # Services for which an order was read since the start.
        self._ordered: set[str] = set()

    def record_listed(
        self, service: str, version: str, is_first_list: bool, now_s: float
    ) -> None:
        """Record that a target of a version was listed.

        A version that is new to a service with other versions gets no traffic
        until ``UNORDERED_VERSION_WAIT_S`` has passed.
        """
        listed = self._listed.setdefault(service, set())
        if version in listed:
            return
        if listed and not is_first_list:
            self._wait_for_order(
                service, version, now_s + UNORDERED_VERSION_WAIT_S
            )
        listed.add(version)

    def record_held_order(
        self, service: str, version: str, until_s: float
    ) -> None:
        """Record that an order for a version is not applied before a time.

        A version that is new to the service gets no traffic until then.
        """
        is_listed = version in self._listed.get(service, ())
        if not is_listed or (service, version) in self._unordered:
            self._wait_for_order(service, version, until_s)

    def _wait_for_order(
        self, service: str, version: str, until_s: float
    ) -> None:
        waiting_until_s = self._unordered.get((service, version), until_s)
        self._unordered[service, version] = max(waiting_until_s, until_s)

    def record_order(self, order: data.MoveOrder) -> None:
        """Record an order that begins a move or is the first one read."""
        self._ordered.add(order.service)
        if order.phase is not state.MovePhase.ROLLED_BACK:
            self.admit(order.service, order.to_version)

    def record_order_gone(
        self, order: data.MoveOrder, may_have_completed: bool
    ) -> None:
        """Record that an order was withdrawn or replaced.

        :param may_have_completed: whether its last phase was perhaps not seen.
        """
        if order.phase is state.MovePhase.COMPLETED:
            return
        if may_have_completed:
            self._unknown_end.setdefault(order.service, set()).add(
                order.to_version
            )
            return
        # A cancelled move has not shown that the version is good.
        self.reject(order.service, order.to_version)

    def record_reported(self, report: data.MoveReport, now_s: float) -> None:
        """Record a report on a move whose order is not known here.

        An instance that starts after a restore may lack the order. It uses
        the version no earlier than its peers, from whom reports on a move in
        progress arrive more often than ``UNORDERED_VERSION_WAIT_S``.
        """
        if report.service in self._ordered or report.is_shifting:
            return
        if len(self._listed.get(report.service, ())) > 1:
            self._unordered[report.service, report.to_version] = (
                now_s + UNORDERED_VERSION_WAIT_S
            )

    def has_service_with_several(self) -> bool:
        """Return whether a service has listed targets of several versions."""
        return any(len(listed) > 1 for listed in self._listed.values())

    def reject(self, service: str, version: str) -> None:
        """Exclude a version whose move was rolled back or cancelled."""
        self._rejected.setdefault(service, set()).add(version)

    def admit(self, service: str, version: str) -> None:
        """Admit a version because a move to it has begun or is completed."""
        self._rejected.get(service, set()).discard(version)
        self._unknown_end.get(service, set()).discard(version)

    def last_resort(self, service: str) -> frozenset[str]:
        """Return the versions of moves whose end was not seen."""
        return frozenset(self._unknown_end.get(service, ()))

    def excluded(
        self, service: str, are_orders_known: bool, now_s: float
    ) -> frozenset[str]:
        """Return the versions to which no request may be sent.

        :param are_orders_known: whether the orders have been read.
        """
        excluded = frozenset(self._rejected.get(service, ()))
        listed = self._listed.get(service, set())
        if len(listed) > 1 and not are_orders_known:
            # Each of them may be in a move.
            return frozenset(listed)
        if not self._unordered:
            return excluded
        for key, until_s in list(self._unordered.items()):
            if now_s >= until_s:
                del self._unordered[key]
            elif key[0] == service:
                excluded |= {key[1]}
        return excluded
