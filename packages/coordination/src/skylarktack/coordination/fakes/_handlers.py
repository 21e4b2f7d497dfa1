"""Handlers of the messages that an in-memory network receives."""

from typing import Any

from skylarktack import state
from skylarktack.coordination import ports


class MessageHandlers:
    """The receiving side of a ``PeerNetwork``."""

    def __init__(self) -> None:
        self._handlers: dict[type, ports.PeerHandler] = {}

    def register_handler(
        self, message_type: type, handler: ports.PeerHandler
    ) -> None:
        """Register the handler for one type of message."""
        self._handlers[message_type] = handler

    def receive(self, source: state.InstanceName, message: object) -> Any:
        """Run the handler of a message; None if there is no handler."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        return handler(source, message)
