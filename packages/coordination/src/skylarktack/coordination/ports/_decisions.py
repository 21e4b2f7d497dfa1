"""Interfaces between the subjects of the coordination layer."""

import dataclasses
from typing import Protocol

from expression import Result

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class SelectionRequest:
    """What a target is wanted for."""

    #: Identifier of the request.
    request_id: state.RequestId

    #: Its route.
    route: state.Route

    #: Organisation of the caller.
    organisation: state.OrganisationName

    #: Version that must serve it.
    version: state.VersionName

    #: Prompt text, for prefix cache affinity; empty for plain calls.
    prompt: str = ''

    #: Targets already tried.
    excluded: tuple[state.TargetName, ...] = ()

    #: Failure domain to avoid if another one has room.
    avoided_domain: state.FailureDomain | None = None

    #: Whether it continues an answer that has begun. Such a request goes
    #: before new work and is not held back by the load of targets.
    continues: bool = False


class TargetSelector(Protocol):
    """Chooses the target of an attempt."""

    def assign(
        self, request: SelectionRequest
    ) -> Result[state.Target, state.Refusal]:
        """Choose a target and count the request as in flight there."""
        ...

    def release(self, target: state.TargetName) -> None:
        """Count one request less in flight on the target."""
        ...

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a known target by name, leaving ones included."""
        ...


class Permit(Protocol):
    """The right of one request to run."""

    def release(self) -> None:
        """Give the slot back; safe to call twice."""
        ...


class Admission(Protocol):
    """Limits of organisations and routes, with a queue in front."""

    def admit(
        self, organisation: state.Organisation, route: state.Route
    ) -> Result[Permit, state.Refusal]:
        """Wait for a slot up to the route's queue deadline.

        A refusal is always ``not_run``.
        """
        ...


class RetryBudget(Protocol):
    """Bounds retries and hedges to a share of requests."""

    def record_request(self, organisation: state.OrganisationName) -> None:
        """Count a first attempt, which earns a share of a retry."""
        ...

    def try_spend(self, organisation: state.OrganisationName) -> bool:
        """Take one retry from the organisation's budget and the total."""
        ...


class VersionSelector(Protocol):
    """Shares out a route's requests between two versions of a move."""

    def version_for(
        self, route: state.Route, request_id: state.RequestId
    ) -> state.VersionName:
        """Return the version that serves the request."""
        ...


class OutcomeObserver(Protocol):
    """Takes evidence from finished attempts."""

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Take one outcome in."""
        ...


class ConfigurationSource(Protocol):
    """The configuration in effect on this instance."""

    def current(self) -> state.ActiveConfiguration:
        """Return the configuration; revision 0 if none is known yet."""
        ...


class Readiness(Protocol):
    """Whether this instance can serve callers."""

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        ...


class Metrics(Protocol):
    """Counters and durations of this instance."""

    def count(self, name: str, amount: int = 1) -> None:
        """Raise a counter."""
        ...

    def duration(self, name: str, label: str, value_ms: float) -> None:
        """Record a duration for one organisation or class."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a current value."""
        ...
