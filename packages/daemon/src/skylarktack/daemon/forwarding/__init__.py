"""Process of a forwarding instance: wiring, readiness, metrics, shutdown."""

from skylarktack.daemon.forwarding._instance import ForwardingInstance
from skylarktack.daemon.forwarding._main import main

__all__ = [
    'ForwardingInstance',
    'main',
]
