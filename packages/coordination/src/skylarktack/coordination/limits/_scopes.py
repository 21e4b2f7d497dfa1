"""Scopes of shared limits and where their figures come from."""

import dataclasses
import enum
import threading
from typing import Protocol

from skylarktack import state
from skylarktack.coordination import ports


class ScopeKind(enum.Enum):
    """What a limit belongs to."""

    ORGANISATION = 'organisation'
    ROUTE = 'route'


class Resource(enum.Enum):
    """What a limit bounds."""

    CONCURRENCY = 'concurrency'
    RATE = 'rate'


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """One limit of one organisation or route."""

    #: What the limit belongs to.
    kind: ScopeKind

    #: Name of the organisation or route.
    name: str

    #: What it bounds.
    resource: Resource


class LoanEntryKind(enum.Enum):
    """What an entry about loans says."""

    #: The source needs more than its share.
    WANT = 'want'

    #: The source lends a part of its share to the destination.
    GRANT = 'grant'

    #: The source gave a part of a loan back to the destination.
    RETURN = 'return'

    #: The source asks the destination to give back down to an amount.
    RECALL = 'recall'


@dataclasses.dataclass(frozen=True, slots=True)
class LoanEntry:
    """One statement about loans, which instances pass on."""

    #: What it says.
    kind: LoanEntryKind

    #: The limit.
    scope: Scope

    #: Instance that said it.
    source: state.InstanceName

    #: Instance that it is meant for; empty for all.
    destination: state.InstanceName

    #: Slots, or requests a second.
    amount: float

    #: Serial number of the loan, given by the lender.
    serial: int

    #: Age of the entry.
    age_ms: int


class LoanCodec(Protocol):
    """Encoding of entries, which the protocol layer owns."""

    def encode(
        self, entries: tuple[LoanEntry, ...], limit_bytes: int
    ) -> tuple[bytes, int]:
        """Encode as many entries as fit; return also their number."""
        ...

    def decode(self, payload: bytes) -> tuple[LoanEntry, ...]:
        """Decode entries; a malformed payload gives none."""
        ...


class LimitIndex:
    """Looks limits up by scope in the configuration in effect."""

    def __init__(self, configuration: ports.ConfigurationSource) -> None:
        self._configuration = configuration
        self._lock = threading.Lock()
        self._document: state.ConfigurationDocument | None = None
        self._organisations: dict[str, state.Limits] = {}
        self._routes: dict[str, state.Limits] = {}

    def limit(self, scope: Scope) -> float | None:
        """Return the limit of a scope; None means unlimited."""
        document = self._configuration.current().document
        with self._lock:
            if document is not self._document:
                self._read(document)
            names = self._organisations
            if scope.kind is ScopeKind.ROUTE:
                names = self._routes
            limits = names.get(scope.name)
        if limits is None:
            return None
        if scope.resource is Resource.RATE:
            return limits.rate_per_s
        return limits.concurrency_count

    def _read(self, document: state.ConfigurationDocument) -> None:
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
    """Return the scopes that bound a request, the route's first."""
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
