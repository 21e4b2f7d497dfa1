"""The forwarding front end of an instance on the users' platform."""

from skylarktack.daemon.forwarding._instance import ForwardingInstance
from skylarktack.daemon.forwarding._main import main

__all__ = [
    'ForwardingInstance',
    'main',
]
