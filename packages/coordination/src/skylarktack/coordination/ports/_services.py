"""Plain services, as decisions see them."""

from typing import Protocol

from expression import Result

from skylarktack import state


class ServiceClient(Protocol):
    """Calls to plain services."""

    def call(
        self, target: state.Target, call: state.PlainCall, timeout_s: float
    ) -> Result[state.ServiceAnswer, state.DispatchFault]:
        """Send the call exactly once; nothing below may send it again."""
        ...

    def outcome(
        self, target: state.Target, idempotency_key: str, timeout_s: float
    ) -> Result[state.ServiceAnswer | None, state.DispatchFault]:
        """Ask whether a key was executed; None if it was not.

        Targets that cannot tell answer with a fault.
        """
        ...
