"""Data of the forwarding frontend: configuration, targets and requests."""

from skylarktack.state._addresses import Address
from skylarktack.state.forwarding._body_memory import body_limit_bytes
from skylarktack.state.forwarding._body_memory import needed_memory_bytes
from skylarktack.state.forwarding._body_memory import request_limit_bytes
from skylarktack.state.forwarding._configuration import EngineCapacity
from skylarktack.state.forwarding._configuration import ForwardingConfiguration
from skylarktack.state.forwarding._configuration import ForwardingRoute
from skylarktack.state.forwarding._configuration import FrontLimits
from skylarktack.state.forwarding._configuration import OrganisationKeys
from skylarktack.state.forwarding._configuration import RequestKind
from skylarktack.state.forwarding._configuration import ServiceDescription
from skylarktack.state.forwarding._configuration import WeightedService
from skylarktack.state.forwarding._fleet import BroadcastMessage
from skylarktack.state.forwarding._fleet import ConfirmedKind
from skylarktack.state.forwarding._fleet import FleetMessage
from skylarktack.state.forwarding._fleet import InstanceReport
from skylarktack.state.forwarding._fleet import ListedPeer
from skylarktack.state.forwarding._fleet import RetryCounts
from skylarktack.state.forwarding._fleet import RunStatus
from skylarktack.state.forwarding._fleet import StoreChange
from skylarktack.state.forwarding._fleet import WatchHeartbeat
from skylarktack.state.forwarding._moves import LatencyHistogram
from skylarktack.state.forwarding._moves import MoveChange
from skylarktack.state.forwarding._moves import MoveCounts
from skylarktack.state.forwarding._moves import MoveOrder
from skylarktack.state.forwarding._moves import MoveReport
from skylarktack.state.forwarding._moves import MoveScope
from skylarktack.state.forwarding._moves import RouteEvidence
from skylarktack.state.forwarding._observations import ServiceDemand
from skylarktack.state.forwarding._observations import TargetObservation
from skylarktack.state.forwarding._prompt_evidence import PromptEvidence
from skylarktack.state.forwarding._prompt_evidence import PromptLoss
from skylarktack.state.forwarding._prompt_evidence import PromptOutput
from skylarktack.state.forwarding._prompt_evidence import QuarantinedPart
from skylarktack.state.forwarding._prompt_evidence import StoredQuarantine
from skylarktack.state.forwarding._requests import OK_STATUS
from skylarktack.state.forwarding._requests import CopyOrder
from skylarktack.state.forwarding._requests import DispatchContext
from skylarktack.state.forwarding._requests import FrontRequest
from skylarktack.state.forwarding._requests import FrontResponse
from skylarktack.state.forwarding._requests import Headers
from skylarktack.state.forwarding._requests import PromptPart
from skylarktack.state.forwarding._requests import Refusal
from skylarktack.state.forwarding._requests import RefusalReason
from skylarktack.state.forwarding._requests import RequestHead
from skylarktack.state.forwarding._requests import RequestMessage
from skylarktack.state.forwarding._requests import ResponseHead
from skylarktack.state.forwarding._requests import RunCopy
from skylarktack.state.forwarding._settings import ForwardingSettings
from skylarktack.state.forwarding._settings import RampMode
from skylarktack.state.forwarding._store_position import StorePosition
from skylarktack.state.forwarding._targets import LeavingTarget
from skylarktack.state.forwarding._targets import ListedTarget
from skylarktack.state.forwarding._targets import TargetChange
from skylarktack.state.forwarding._targets import TargetLoad
from skylarktack.state.forwarding._targets import TargetReport
from skylarktack.state.forwarding._version_trials import VersionTrial

__all__ = [
    'ServiceDemand',
    'TargetObservation',
    'ConfirmedKind',
    'Address',
    'ResponseHead',
    'RunCopy',
    'OK_STATUS',
    'RequestMessage',
    'CopyOrder',
    'DispatchContext',
    'EngineCapacity',
    'FleetMessage',
    'InstanceReport',
    'ForwardingConfiguration',
    'ForwardingRoute',
    'ForwardingSettings',
    'RampMode',
    'FrontResponse',
    'FrontLimits',
    'FrontRequest',
    'Headers',
    'OrganisationKeys',
    'ListedPeer',
    'LatencyHistogram',
    'LeavingTarget',
    'ListedTarget',
    'MoveChange',
    'MoveCounts',
    'MoveOrder',
    'MoveReport',
    'MoveScope',
    'PromptEvidence',
    'PromptLoss',
    'PromptOutput',
    'PromptPart',
    'QuarantinedPart',
    'Refusal',
    'RefusalReason',
    'RequestHead',
    'RetryCounts',
    'RequestKind',
    'RouteEvidence',
    'RunStatus',
    'ServiceDescription',
    'BroadcastMessage',
    'WatchHeartbeat',
    'StoreChange',
    'StorePosition',
    'StoredQuarantine',
    'VersionTrial',
    'TargetChange',
    'TargetLoad',
    'TargetReport',
    'WeightedService',
    'body_limit_bytes',
    'needed_memory_bytes',
    'request_limit_bytes',
]
