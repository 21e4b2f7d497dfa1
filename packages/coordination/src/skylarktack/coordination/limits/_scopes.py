"""Scopes of shared limits, loan entries and lookup of configured limits."""

import dataclasses
import enum
import threading
from typing import Protocol

from skylarktack import state
from skylarktack.coordination import ports


class ScopeKind(enum.Enum):
    """Kind of object to which a limit applies."""

    ORGANISATION = 'organisation'
    ROUTE = 'route'


class Resource(enum.Enum):
    """Quantity that a limit bounds."""

    CONCURRENCY = 'concurrency'
    RATE = 'rate'


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Identifies one limit of one organisation or route."""

    kind: ScopeKind

    #: Name of the organisation or route.
    name: str

    resource: Resource


class LoanEntryKind(enum.Enum):
    """Kind of a loan entry; the values are sent to peers."""

    #: The source asks all instances for a loan.
    REQUEST = 'want'

    #: The source lends a part of its share to the destination.
    #: Replaces earlier grants between the two.
    GRANT = 'grant'

    #: The source returns a part of a loan to the destination, its lender.
    RETURN = 'return'

    #: The source asks the destination to reduce its loan to an amount.
    RECALL = 'recall'


@dataclasses.dataclass(frozen=True, slots=True)
class LoanEntry:
    """Message about a loan, forwarded from instance to instance."""

    kind: LoanEntryKind

    #: Limit that the loan is part of.
    scope: Scope

    #: Instance that created the entry.
    source: state.InstanceName

    #: Instance that it is addressed to; empty for all instances.
    destination: state.InstanceName

    #: Slots, or requests per second.
    amount: float

    #: Serial number of the loan, given by the lender; 0 in a loan request.
    serial: int

    #: Age of the entry when it was sent.
    age_ms: int


class LoanCodec(Protocol):
    """Encoding of loan entries, implemented by the protocol layer."""

    def encode(
        self, entries: tuple[LoanEntry, ...], limit_bytes: int
    ) -> tuple[bytes, int]:
        """Encode as many entries as fit; return payload and their number."""
        ...

    def decode(self, payload: bytes) -> tuple[LoanEntry, ...]:
        """Return the entries of a payload, none if it is malformed."""
        ...


class LimitIndex:
    """Lookup of limits by scope in the active configuration."""

    def __init__(self, configuration: ports.ConfigurationSource) -> None:
        self._configuration = configuration
        self._lock = threading.Lock()
        self._document: state.ConfigurationDocument | None = None
        self._organisations: dict[str, state.Limits] = {}
        self._routes: dict[str, state.Limits] = {}

    def limit(self, scope: Scope) -> float | None:
        """Return the limit of a scope, None if unlimited."""
        document = self._configuration.current().document
        with self._lock:
            if document is not self._document:
                self._index_document(document)
            names = self._organisations
            if scope.kind is ScopeKind.ROUTE:
                names = self._routes
            limits = names.get(scope.name)
        if limits is None:
            return None
        if scope.resource is Resource.RATE:
            return limits.rate_per_s
        return limits.concurrency_count

    def _index_document(self, document: state.ConfigurationDocument) -> None:
        self._document = document
        unlimited = state.Limits()
        self._organisations = {}
        for organisation in document.organisations:
            if organisation.limits != unlimited:
                self._organisations[organisation.name] = organisation.limits
        self._routes = {}
        for route in document.routes:
            if route.limits != unlimited:
                self._routes[route.name] = route.limits


def scopes_of(
    organisation: state.Organisation, route: state.Route
) -> tuple[Scope, ...]:
    """Return the scopes that limit a request, those of the route first."""
    found: list[Scope] = []
    for kind, name, limits in (
        (ScopeKind.ROUTE, route.name, route.limits),
        (ScopeKind.ORGANISATION, organisation.name, organisation.limits),
    ):
        if limits.concurrency_count is not None:
            found.append(Scope(kind, name, Resource.CONCURRENCY))
        if limits.rate_per_s is not None:
            found.append(Scope(kind, name, Resource.RATE))
    return tuple(found)
