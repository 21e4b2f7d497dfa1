"""Plain services, as decisions see them."""

from typing import Protocol

from expression import Result

from skylarktack import state


class ServiceClient(Protocol):
    """Calls to plain services."""

    def call(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Send the call exactly once; nothing below may send it again."""
        ...

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceResponse | None, state.DispatchFault]:
        """Ask whether a key was executed; None if it was not.

        Targets that cannot tell answer with a fault.
        """
        ...


class PendingCall(Protocol):
    """A repeatable call that was sent and waits for its answer."""

    def receive(
        self, timeout_s: float
    ) -> Result[state.ServiceResponse, state.DispatchFault]:
        """Read the answer and give the connection back."""
        ...

    def close(self) -> None:
        """Give the call up and close its connection."""
        ...


class LookupClient(Protocol):
    """Calls that may be repeated, on connections that are kept open."""

    def send(
        self, target: state.Target, call: state.ServiceCall, timeout_s: float
    ) -> Result[PendingCall, state.DispatchFault]:
        """Send a call without waiting for its answer."""
        ...

    def first_ready(
        self, pending: tuple[PendingCall, ...], timeout_s: float
    ) -> PendingCall | None:
        """Wait until one call has something to read; None if none has."""
        ...


class TargetHealth(Protocol):
    """Which targets are kept out of the choice for repeatable calls."""

    def ejected(self) -> tuple[state.TargetName, ...]:
        """Return the targets to avoid; a bounded share of all known."""
        ...

    def record_success(self, target: state.TargetName) -> None:
        """Take in an answer that came in time."""
        ...

    def record_fault(self, target: state.TargetName) -> None:
        """Take in a failed attempt or one slower than the route's p95."""
        ...
