"""Ports of the coordination layer.

``Protocol`` types for the systems outside the layer and for dependencies
between its components.
"""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.coordination.ports._claims import SegmentCodec
    from skylarktack.coordination.ports._clock import Clock
    from skylarktack.coordination.ports._clock import SystemClock
    from skylarktack.coordination.ports._decisions import Admission
    from skylarktack.coordination.ports._decisions import ConfigurationSource
    from skylarktack.coordination.ports._decisions import Metrics
    from skylarktack.coordination.ports._decisions import OutcomeObserver
    from skylarktack.coordination.ports._decisions import Permit
    from skylarktack.coordination.ports._decisions import Readiness
    from skylarktack.coordination.ports._decisions import RetryBudget
    from skylarktack.coordination.ports._decisions import SelectionRequest
    from skylarktack.coordination.ports._decisions import TargetSelector
    from skylarktack.coordination.ports._decisions import VersionSelector
    from skylarktack.coordination.ports._engines import CacheEvent
    from skylarktack.coordination.ports._engines import EngineClient
    from skylarktack.coordination.ports._engines import EngineLoad
    from skylarktack.coordination.ports._engines import StreamFault
    from skylarktack.coordination.ports._engines import StreamFaultKind
    from skylarktack.coordination.ports._engines import StreamRead
    from skylarktack.coordination.ports._engines import TargetCommand
    from skylarktack.coordination.ports._engines import TargetCommandKind
    from skylarktack.coordination.ports._engines import TokenStream
    from skylarktack.coordination.ports._peers import GossipTopic
    from skylarktack.coordination.ports._peers import NeighbourNetwork
    from skylarktack.coordination.ports._peers import PeerFault
    from skylarktack.coordination.ports._peers import PeerFaultKind
    from skylarktack.coordination.ports._peers import PeerHandler
    from skylarktack.coordination.ports._peers import PeerNetwork
    from skylarktack.coordination.ports._services import LookupClient
    from skylarktack.coordination.ports._services import PendingCall
    from skylarktack.coordination.ports._services import ServiceClient
    from skylarktack.coordination.ports._services import TargetHealth
    from skylarktack.coordination.ports._store import ObjectStore
    from skylarktack.coordination.ports._tasks import TaskSupervisor

__all__ = [
    'Admission',
    'CacheEvent',
    'Clock',
    'ConfigurationSource',
    'EngineClient',
    'EngineLoad',
    'GossipTopic',
    'LookupClient',
    'Metrics',
    'NeighbourNetwork',
    'ObjectStore',
    'OutcomeObserver',
    'PeerFault',
    'PeerFaultKind',
    'PeerHandler',
    'PeerNetwork',
    'PendingCall',
    'Permit',
    'Readiness',
    'RetryBudget',
    'SegmentCodec',
    'SelectionRequest',
    'ServiceClient',
    'StreamFault',
    'StreamFaultKind',
    'StreamRead',
    'SystemClock',
    'TargetHealth',
    'TargetCommand',
    'TargetCommandKind',
    'TargetSelector',
    'TaskSupervisor',
    'TokenStream',
    'VersionSelector',
]

_MODULE_BY_NAME = {
    'SegmentCodec': '_claims',
    'Clock': '_clock',
    'SystemClock': '_clock',
    'Admission': '_decisions',
    'ConfigurationSource': '_decisions',
    'Metrics': '_decisions',
    'OutcomeObserver': '_decisions',
    'Permit': '_decisions',
    'Readiness': '_decisions',
    'RetryBudget': '_decisions',
    'SelectionRequest': '_decisions',
    'TargetSelector': '_decisions',
    'VersionSelector': '_decisions',
    'CacheEvent': '_engines',
    'EngineClient': '_engines',
    'EngineLoad': '_engines',
    'StreamFault': '_engines',
    'StreamFaultKind': '_engines',
    'StreamRead': '_engines',
    'TargetCommand': '_engines',
    'TargetCommandKind': '_engines',
    'TokenStream': '_engines',
    'GossipTopic': '_peers',
    'NeighbourNetwork': '_peers',
    'PeerFault': '_peers',
    'PeerFaultKind': '_peers',
    'PeerHandler': '_peers',
    'PeerNetwork': '_peers',
    'LookupClient': '_services',
    'PendingCall': '_services',
    'ServiceClient': '_services',
    'TargetHealth': '_services',
    'ObjectStore': '_store',
    'TaskSupervisor': '_tasks',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
