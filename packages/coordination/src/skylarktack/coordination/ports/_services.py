"""Ports to plain services and to the health of their targets."""

from typing import Protocol

from expression import Result

from skylarktack import state


class ServiceClient(Protocol):
    """Client for calls that must not be executed twice."""

    def call(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Send the call once; no lower layer may retry it."""
        ...

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceResponse | None, state.DispatchFault]:
        """Query whether the call with a key was executed.

        Returns its response, or None if it was not executed. The result is a
        fault if the target cannot tell.
        """
        ...


class PendingCall(Protocol):
    """An idempotent call that was sent and awaits its response."""

    def receive(
        self, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Read the response and return the connection to the pool."""
        ...

    def close(self) -> None:
        """Abandon the call and close its connection."""
        ...


class LookupClient(Protocol):
    """Client for lookups, which are idempotent calls.

    Keeps its connections open and reuses them.
    """

    def send(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[PendingCall, state.DispatchFault]:
        """Send a call without waiting for its response."""
        ...

    def first_ready(
        self, pending: tuple[PendingCall, ...], timeout_s: float
    ) -> PendingCall | None:
        """Wait for a call with data to read; None after the timeout."""
        ...


class TargetHealth(Protocol):
    """Outlier detection for the targets of lookups."""

    def ejected(self) -> tuple[state.TargetName, ...]:
        """Return the ejected targets, a bounded share of all targets."""
        ...

    def record_success(self, target: state.TargetName) -> None:
        """Record a response that arrived in time."""
        ...

    def record_fault(self, target: state.TargetName) -> None:
        """Record an attempt that failed or exceeded the route's p95."""
        ...
