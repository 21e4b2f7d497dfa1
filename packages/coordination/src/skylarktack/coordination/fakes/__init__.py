"""Replacements of the ports in memory, for tests and examples."""

from skylarktack.coordination.fakes._clock import ManualClock
from skylarktack.coordination.fakes._engines import OUTAGE_S
from skylarktack.coordination.fakes._engines import STEP_S
from skylarktack.coordination.fakes._engines import EngineFault
from skylarktack.coordination.fakes._engines import EngineFaultKind
from skylarktack.coordination.fakes._engines import FaultyEngines
from skylarktack.coordination.fakes._fleet import HOPS_PER_STEP
from skylarktack.coordination.fakes._fleet import MemberFleet
from skylarktack.coordination.fakes._links import MemoryLinkHub
from skylarktack.coordination.fakes._links import MemoryLinkNetwork
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
from skylarktack.coordination.fakes._selector import PlainSelector
from skylarktack.coordination.fakes._stepping_clock import SteppingClock
from skylarktack.coordination.fakes._store import MemoryObjectStore
from skylarktack.coordination.fakes._store import StoreFaults

__all__ = [
    'EngineFault',
    'EngineFaultKind',
    'FaultyEngines',
    'FixedConfiguration',
    'HOPS_PER_STEP',
    'LocalPeerHub',
    'LocalPeerNetwork',
    'ManualClock',
    'MemberFleet',
    'MemoryEngines',
    'MemoryLinkHub',
    'MemoryLinkNetwork',
    'MemoryMetrics',
    'MemoryMoveCodec',
    'MemoryObjectStore',
    'MoveInstance',
    'MoveWorld',
    'MoveWorldShape',
    'OUTAGE_S',
    'PlainSelector',
    'STEP_S',
    'SteppingClock',
    'StoreFaults',
    'StoreLink',
]
