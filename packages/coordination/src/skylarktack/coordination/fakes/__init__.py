"""In-memory implementations of the ports, for tests and benchmarks."""

from skylarktack.coordination.fakes._calls import BookingResult
from skylarktack.coordination.fakes._calls import CallInstance
from skylarktack.coordination.fakes._calls import CallSimulation
from skylarktack.coordination.fakes._calls import CallSimulationShape
from skylarktack.coordination.fakes._calls import Response
from skylarktack.coordination.fakes._calls import booking_fault
from skylarktack.coordination.fakes._calls import plain_call
from skylarktack.coordination.fakes._clock import ManualClock
from skylarktack.coordination.fakes._codec import PickledSegmentCodec
from skylarktack.coordination.fakes._codecs import PlainDigestCodec
from skylarktack.coordination.fakes._codecs import PlainLoanCodec
from skylarktack.coordination.fakes._engines import OUTAGE_S
from skylarktack.coordination.fakes._engines import STEP_S
from skylarktack.coordination.fakes._engines import EngineFault
from skylarktack.coordination.fakes._engines import EngineFaultKind
from skylarktack.coordination.fakes._engines import FaultyEngines
from skylarktack.coordination.fakes._faulted_bookings import FaultedSummary
from skylarktack.coordination.fakes._faulted_bookings import (
    run_faulted_bookings,
)
from skylarktack.coordination.fakes._fleet import HOPS_PER_STEP
from skylarktack.coordination.fakes._fleet import MemberFleet
from skylarktack.coordination.fakes._forwarding import RecordingLog
from skylarktack.coordination.fakes._forwarding import ScriptedCaller
from skylarktack.coordination.fakes._forwarding import ScriptedEvent
from skylarktack.coordination.fakes._forwarding import ScriptedExchange
from skylarktack.coordination.fakes._forwarding import ScriptedTargetClient
from skylarktack.coordination.fakes._forwarding import SentRequest
from skylarktack.coordination.fakes._links import MemoryLinkHub
from skylarktack.coordination.fakes._links import MemoryLinkNetwork
from skylarktack.coordination.fakes._metrics import MemoryMetrics
from skylarktack.coordination.fakes._moves import FixedConfiguration
from skylarktack.coordination.fakes._moves import MemoryEngines
from skylarktack.coordination.fakes._moves import MemoryMoveCodec
from skylarktack.coordination.fakes._moves import MoveInstance
from skylarktack.coordination.fakes._moves import MoveSimulation
from skylarktack.coordination.fakes._moves import MoveSimulationShape
from skylarktack.coordination.fakes._moves import StoreLink
from skylarktack.coordination.fakes._peers import LocalPeerHub
from skylarktack.coordination.fakes._peers import LocalPeerNetwork
from skylarktack.coordination.fakes._selector import PlainSelector
from skylarktack.coordination.fakes._services import MemoryServices
from skylarktack.coordination.fakes._services import ServiceMisbehaviour
from skylarktack.coordination.fakes._stepping_clock import SteppingClock
from skylarktack.coordination.fakes._steps import CallStep
from skylarktack.coordination.fakes._steps import InstanceDied
from skylarktack.coordination.fakes._steps import StepAction
from skylarktack.coordination.fakes._steps import StepGate
from skylarktack.coordination.fakes._store import MemoryObjectStore
from skylarktack.coordination.fakes._store import StoreFaults
from skylarktack.coordination.fakes._suspensions import ScriptedSuspensions
from skylarktack.coordination.fakes._tasks import DirectTaskRunner

__all__ = [
    'RecordingLog',
    'ScriptedCaller',
    'ScriptedEvent',
    'ScriptedSuspensions',
    'ScriptedExchange',
    'ScriptedTargetClient',
    'SentRequest',
    'BookingResult',
    'CallInstance',
    'CallStep',
    'CallSimulation',
    'CallSimulationShape',
    'DirectTaskRunner',
    'EngineFault',
    'EngineFaultKind',
    'FaultedSummary',
    'FaultyEngines',
    'FixedConfiguration',
    'HOPS_PER_STEP',
    'InstanceDied',
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
    'MemoryServices',
    'MoveInstance',
    'MoveSimulation',
    'MoveSimulationShape',
    'OUTAGE_S',
    'PickledSegmentCodec',
    'PlainDigestCodec',
    'PlainLoanCodec',
    'PlainSelector',
    'Response',
    'STEP_S',
    'ServiceMisbehaviour',
    'StepAction',
    'StepGate',
    'SteppingClock',
    'StoreFaults',
    'StoreLink',
    'booking_fault',
    'plain_call',
    'run_faulted_bookings',
]
