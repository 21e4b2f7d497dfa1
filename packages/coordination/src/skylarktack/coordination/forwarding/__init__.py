"""Forwarding of requests to targets: routes, attempts, streams, beliefs."""

from skylarktack.coordination.forwarding._beliefs import ConfigurationBelief
from skylarktack.coordination.forwarding._beliefs import ConfigurationHolder
from skylarktack.coordination.forwarding._beliefs import MoveBelief
from skylarktack.coordination.forwarding._beliefs import TargetBelief
from skylarktack.coordination.forwarding._budget import RepeatLimits
from skylarktack.coordination.forwarding._budget import RetryBudget
from skylarktack.coordination.forwarding._calls import CallForwarder
from skylarktack.coordination.forwarding._choice import EnginePair
from skylarktack.coordination.forwarding._choice import subject_of
from skylarktack.coordination.forwarding._events import ConfigurationInForce
from skylarktack.coordination.forwarding._events import DatagramMalformed
from skylarktack.coordination.forwarding._events import EntryMalformed
from skylarktack.coordination.forwarding._events import EventLog
from skylarktack.coordination.forwarding._events import HistoryLost
from skylarktack.coordination.forwarding._events import InstanceNotListed
from skylarktack.coordination.forwarding._events import InstanceStarted
from skylarktack.coordination.forwarding._events import InstanceStopped
from skylarktack.coordination.forwarding._events import InstanceStopping
from skylarktack.coordination.forwarding._events import LinesDropped
from skylarktack.coordination.forwarding._events import LogEvent
from skylarktack.coordination.forwarding._events import MoveNotRecorded
from skylarktack.coordination.forwarding._events import MoveRecorded
from skylarktack.coordination.forwarding._events import MoveShifting
from skylarktack.coordination.forwarding._events import MoveStopped
from skylarktack.coordination.forwarding._events import PeerKnown
from skylarktack.coordination.forwarding._events import ReadinessChanged
from skylarktack.coordination.forwarding._events import RequestFailed
from skylarktack.coordination.forwarding._events import RequestLate
from skylarktack.coordination.forwarding._events import RequestServed
from skylarktack.coordination.forwarding._events import RoleChanged
from skylarktack.coordination.forwarding._events import SettingsRead
from skylarktack.coordination.forwarding._events import StoreLost
from skylarktack.coordination.forwarding._events import StoreRegained
from skylarktack.coordination.forwarding._events import TargetGone
from skylarktack.coordination.forwarding._events import TargetKnown
from skylarktack.coordination.forwarding._events import TargetLeaving
from skylarktack.coordination.forwarding._events import TargetMisdirected
from skylarktack.coordination.forwarding._events import TargetPassedOver
from skylarktack.coordination.forwarding._events import TargetRumoured
from skylarktack.coordination.forwarding._exposure import ExposureLimits
from skylarktack.coordination.forwarding._fleet import FleetView
from skylarktack.coordination.forwarding._fleet import LossListener
from skylarktack.coordination.forwarding._fleet_tasks import FleetLink
from skylarktack.coordination.forwarding._fleet_tasks import FleetMember
from skylarktack.coordination.forwarding._fleet_tasks import FleetReporter
from skylarktack.coordination.forwarding._fleet_tasks import PeerRegistry
from skylarktack.coordination.forwarding._fleet_tasks import spread_groups
from skylarktack.coordination.forwarding._following import Changes
from skylarktack.coordination.forwarding._following import Follower
from skylarktack.coordination.forwarding._following import FollowSettings
from skylarktack.coordination.forwarding._following import KindBelief
from skylarktack.coordination.forwarding._following import KindReader
from skylarktack.coordination.forwarding._following import Listing
from skylarktack.coordination.forwarding._following import StoreFault
from skylarktack.coordination.forwarding._following import StoreFaultKind
from skylarktack.coordination.forwarding._gateway import Gateway
from skylarktack.coordination.forwarding._gateway import GatewayParts
from skylarktack.coordination.forwarding._gateway import RequestObserver
from skylarktack.coordination.forwarding._gateway import RequestReport
from skylarktack.coordination.forwarding._move_driver import MoveDriver
from skylarktack.coordination.forwarding._move_driver import MoveWriter
from skylarktack.coordination.forwarding._move_evidence import MoveLayout
from skylarktack.coordination.forwarding._moves import MoveTable
from skylarktack.coordination.forwarding._outcomes import CallerLeft
from skylarktack.coordination.forwarding._outcomes import CallOutcome
from skylarktack.coordination.forwarding._outcomes import RequestNotes
from skylarktack.coordination.forwarding._outcomes import RequestStep
from skylarktack.coordination.forwarding._outcomes import RunState
from skylarktack.coordination.forwarding._outcomes import StreamBroken
from skylarktack.coordination.forwarding._outcomes import StreamDone
from skylarktack.coordination.forwarding._outcomes import StreamOutcome
from skylarktack.coordination.forwarding._ports import AnswerEnd
from skylarktack.coordination.forwarding._ports import AnswerEvent
from skylarktack.coordination.forwarding._ports import BodyPart
from skylarktack.coordination.forwarding._ports import Caller
from skylarktack.coordination.forwarding._ports import EventSplitter
from skylarktack.coordination.forwarding._ports import Exchange
from skylarktack.coordination.forwarding._ports import ExchangeFault
from skylarktack.coordination.forwarding._ports import FaultKind
from skylarktack.coordination.forwarding._ports import MessageCodec
from skylarktack.coordination.forwarding._ports import Ready
from skylarktack.coordination.forwarding._ports import SplitEvents
from skylarktack.coordination.forwarding._ports import StoreAnswer
from skylarktack.coordination.forwarding._ports import StoreCalls
from skylarktack.coordination.forwarding._ports import TargetClient
from skylarktack.coordination.forwarding._routes import RouteTable
from skylarktack.coordination.forwarding._routes import choose_service
from skylarktack.coordination.forwarding._run_places import RunPlace
from skylarktack.coordination.forwarding._sharing import StoreRole
from skylarktack.coordination.forwarding._sharing import StoreSharing
from skylarktack.coordination.forwarding._store_health import StoreHealth
from skylarktack.coordination.forwarding._stream_parts import AttemptEnd
from skylarktack.coordination.forwarding._stream_parts import Final
from skylarktack.coordination.forwarding._stream_parts import Lost
from skylarktack.coordination.forwarding._stream_parts import NotRun
from skylarktack.coordination.forwarding._stream_parts import StreamParts
from skylarktack.coordination.forwarding._stream_parts import StreamProgress
from skylarktack.coordination.forwarding._streams import StreamForwarder
from skylarktack.coordination.forwarding._targets import TargetTable
from skylarktack.coordination.forwarding._version_rules import ANY_VERSION
from skylarktack.coordination.forwarding._version_rules import VersionRule
from skylarktack.coordination.forwarding._work import Work

__all__ = [
    'ANY_VERSION',
    'ExposureLimits',
    'MoveBelief',
    'MoveDriver',
    'MoveNotRecorded',
    'MoveRecorded',
    'MoveShifting',
    'MoveStopped',
    'MoveLayout',
    'MoveTable',
    'MoveWriter',
    'VersionRule',
    'ConfigurationInForce',
    'DatagramMalformed',
    'EntryMalformed',
    'EventLog',
    'HistoryLost',
    'InstanceNotListed',
    'InstanceStarted',
    'InstanceStopped',
    'InstanceStopping',
    'LinesDropped',
    'LogEvent',
    'PeerKnown',
    'ReadinessChanged',
    'RequestFailed',
    'RequestLate',
    'RequestServed',
    'RoleChanged',
    'SettingsRead',
    'StoreLost',
    'StoreRegained',
    'TargetGone',
    'TargetKnown',
    'TargetLeaving',
    'TargetMisdirected',
    'TargetPassedOver',
    'TargetRumoured',
    'AnswerEnd',
    'AnswerEvent',
    'AttemptEnd',
    'BodyPart',
    'CallForwarder',
    'Caller',
    'CallOutcome',
    'CallerLeft',
    'Changes',
    'ConfigurationBelief',
    'ConfigurationHolder',
    'EnginePair',
    'EventSplitter',
    'Exchange',
    'ExchangeFault',
    'FaultKind',
    'Final',
    'FleetLink',
    'FleetMember',
    'FleetReporter',
    'FleetView',
    'FollowSettings',
    'Follower',
    'Gateway',
    'GatewayParts',
    'KindBelief',
    'KindReader',
    'Listing',
    'LossListener',
    'Lost',
    'MessageCodec',
    'NotRun',
    'PeerRegistry',
    'Ready',
    'RepeatLimits',
    'RequestNotes',
    'RequestObserver',
    'RequestReport',
    'RequestStep',
    'RetryBudget',
    'RouteTable',
    'RunPlace',
    'RunState',
    'SplitEvents',
    'StoreAnswer',
    'StoreCalls',
    'StoreFault',
    'StoreFaultKind',
    'StoreHealth',
    'StoreRole',
    'StoreSharing',
    'StreamBroken',
    'StreamDone',
    'StreamForwarder',
    'StreamOutcome',
    'StreamParts',
    'StreamProgress',
    'TargetBelief',
    'TargetClient',
    'TargetTable',
    'Work',
    'choose_service',
    'spread_groups',
    'subject_of',
]
