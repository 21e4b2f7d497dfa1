"""Replacements of the ports in memory, for tests and examples."""

from skylarktack.coordination.fakes._clock import ManualClock
from skylarktack.coordination.fakes._metrics import MemoryMetrics
from skylarktack.coordination.fakes._moves import FixedConfiguration
from skylarktack.coordination.fakes._moves import MemoryEngines
from skylarktack.coordination.fakes._moves import MemoryMoveCodec
from skylarktack.coordination.fakes._moves import MoveInstance
from skylarktack.coordination.fakes._moves import MoveWorld
from skylarktack.coordination.fakes._moves import MoveWorldShape
from skylarktack.coordination.fakes._moves import StoreLink
from skylarktack.coordination.fakes._peers import LocalPeerHub
from skylarktack.coordination.fakes._peers import LocalPeerNetwork
from skylarktack.coordination.fakes._store import MemoryObjectStore
from skylarktack.coordination.fakes._store import StoreFaults

__all__ = [
    'FixedConfiguration',
    'LocalPeerHub',
    'LocalPeerNetwork',
    'ManualClock',
    'MemoryEngines',
    'MemoryMetrics',
    'MemoryMoveCodec',
    'MemoryObjectStore',
    'MoveInstance',
    'MoveWorld',
    'MoveWorldShape',
    'StoreFaults',
    'StoreLink',
]
