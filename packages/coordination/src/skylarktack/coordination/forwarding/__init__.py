"""Forwarding of requests to targets: routes, attempts, streams, beliefs."""

from skylarktack.coordination.forwarding._beliefs import ConfigurationBelief
from skylarktack.coordination.forwarding._beliefs import ConfigurationHolder
from skylarktack.coordination.forwarding._beliefs import TargetBelief
from skylarktack.coordination.forwarding._budget import RetryBudget
from skylarktack.coordination.forwarding._calls import CallForwarder
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
from skylarktack.coordination.forwarding._ports import BeliefLog
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
from skylarktack.coordination.forwarding._streams import StreamForwarder
from skylarktack.coordination.forwarding._streams import StreamParts
from skylarktack.coordination.forwarding._targets import EnginePair
from skylarktack.coordination.forwarding._targets import TargetTable
from skylarktack.coordination.forwarding._work import Work

__all__ = [
    'AnswerEnd',
    'AnswerEvent',
    'BeliefLog',
    'BodyPart',
    'CallForwarder',
    'CallOutcome',
    'Caller',
    'CallerLeft',
    'Changes',
    'ConfigurationBelief',
    'ConfigurationHolder',
    'EnginePair',
    'EventSplitter',
    'Exchange',
    'ExchangeFault',
    'MessageCodec',
    'StoreAnswer',
    'StoreCalls',
    'FaultKind',
    'FollowSettings',
    'Follower',
    'Gateway',
    'GatewayParts',
    'KindBelief',
    'KindReader',
    'Listing',
    'Ready',
    'RequestNotes',
    'RequestObserver',
    'RequestReport',
    'RequestStep',
    'RetryBudget',
    'RouteTable',
    'RunState',
    'SplitEvents',
    'StoreFault',
    'StoreFaultKind',
    'StreamBroken',
    'StreamDone',
    'StreamForwarder',
    'StreamOutcome',
    'StreamParts',
    'TargetBelief',
    'TargetClient',
    'TargetTable',
    'Work',
    'choose_service',
]
