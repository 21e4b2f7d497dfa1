"""Socket transports of the forwarding front end."""

from skylarktack.transport.forwarding._fleet_link import DatagramLink
from skylarktack.transport.forwarding._front_connection import FrontConnection
from skylarktack.transport.forwarding._front_connection import FrontHandler
from skylarktack.transport.forwarding._line_log import LineLog
from skylarktack.transport.forwarding._listener import Listener
from skylarktack.transport.forwarding._store_client import HttpStoreCalls
from skylarktack.transport.forwarding._target_client import HttpExchange
from skylarktack.transport.forwarding._target_client import HttpTargetClient

__all__ = [
    'DatagramLink',
    'FrontConnection',
    'FrontHandler',
    'HttpExchange',
    'HttpStoreCalls',
    'HttpTargetClient',
    'LineLog',
    'Listener',
]
