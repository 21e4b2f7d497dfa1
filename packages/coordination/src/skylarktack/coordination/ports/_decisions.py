"""Interfaces between the components of the coordination layer."""

import dataclasses
from typing import Protocol

from expression import Result

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class SelectionRequest:
    """Criteria for selecting the target of one attempt."""

    request_id: state.RequestId

    route: state.Route

    #: Organisation of the caller.
    organisation: state.OrganisationName

    #: Only targets that serve this version are candidates.
    version: state.VersionName

    #: Prompt text, for prefix cache affinity; empty for service calls.
    prompt: str = ''

    #: Targets that this request has already tried.
    excluded: tuple[state.TargetName, ...] = ()

    #: Failure domain to avoid if another one has room.
    avoided_domain: state.FailureDomain | None = None

    #: Whether the attempt continues a response that has begun. It then takes
    #: precedence over new requests, whatever the load of the targets.
    continues: bool = False


class TargetSelector(Protocol):
    """Selects the target of each attempt."""

    def assign(
        self, request: SelectionRequest
    ) -> Result[state.Target, state.Refusal]:
        """Select a target and count the request as in flight on it."""
        ...

    def release(self, target: state.TargetName) -> None:
        """End one in-flight request of the target."""
        ...

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a target by name, draining ones included."""
        ...


class Permit(Protocol):
    """Admission slot of one request."""

    def release(self) -> None:
        """Release the slot; idempotent."""
        ...


class Admission(Protocol):
    """Admission control by the limits of organisations and routes."""

    def admit(
        self, organisation: state.Organisation, route: state.Route
    ) -> Result[Permit, state.Refusal]:
        """Wait for a slot until the route's queue deadline.

        The ``run`` state of a refusal is always ``NOT_RUN``.
        """
        ...


class RetryBudget(Protocol):
    """Limits retries and hedged requests to a share of all requests."""

    def record_request(self, organisation: state.OrganisationName) -> None:
        """Count a first attempt, which adds a fraction of a retry."""
        ...

    def try_spend(self, organisation: state.OrganisationName) -> bool:
        """Spend one retry from the organisation's and the total budget.

        Returns whether both budgets allowed it.
        """
        ...


class VersionSelector(Protocol):
    """Splits a route's requests between the two versions of a move.

    A move is a planned rollout of a route from one version to another.
    """

    def version_for(
        self, route: state.Route, request_id: state.RequestId
    ) -> state.VersionName:
        """Return the version that is to serve the request."""
        ...


class OutcomeObserver(Protocol):
    """Receives the outcomes of finished attempts."""

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Record one outcome."""
        ...


class ConfigurationSource(Protocol):
    """Source of the current configuration of this instance."""

    def current(self) -> state.ActiveConfiguration:
        """Return the configuration; its revision is 0 before the first."""
        ...


class Readiness(Protocol):
    """Readiness of this instance to serve callers."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        ...


class Metrics(Protocol):
    """Counters, durations and gauges of this instance."""

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        ...

    def duration(self, name: str, label: str, value_ms: float) -> None:
        """Record a duration under a label such as an organisation."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        ...
