"""Socket transports of the forwarding front end."""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.transport.forwarding._connection_phase import (
        ConnectionEnd,
    )
    from skylarktack.transport.forwarding._fleet_link import DatagramLink
    from skylarktack.transport.forwarding._front_connection import (
        FrontConnection,
    )
    from skylarktack.transport.forwarding._front_handler import FrontHandler
    from skylarktack.transport.forwarding._http_exchange import HttpExchange
    from skylarktack.transport.forwarding._line_log import LineLog
    from skylarktack.transport.forwarding._listener import Listener
    from skylarktack.transport.forwarding._listener import ListenerLimits
    from skylarktack.transport.forwarding._listening import listen
    from skylarktack.transport.forwarding._memory import MemoryBudget
    from skylarktack.transport.forwarding._store_client import HttpStoreCalls
    from skylarktack.transport.forwarding._target_client import (
        HttpTargetClient,
    )

__all__ = [
    'ConnectionEnd',
    'DatagramLink',
    'FrontConnection',
    'FrontHandler',
    'HttpExchange',
    'HttpStoreCalls',
    'HttpTargetClient',
    'LineLog',
    'Listener',
    'ListenerLimits',
    'MemoryBudget',
    'listen',
]

# The front socket is opened before the other modules are imported.
_MODULE_BY_NAME = {
    'ConnectionEnd': '_connection_phase',
    'DatagramLink': '_fleet_link',
    'FrontConnection': '_front_connection',
    'FrontHandler': '_front_handler',
    'LineLog': '_line_log',
    'Listener': '_listener',
    'ListenerLimits': '_listener',
    'MemoryBudget': '_memory',
    'listen': '_listening',
    'HttpStoreCalls': '_store_client',
    'HttpExchange': '_http_exchange',
    'HttpTargetClient': '_target_client',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
