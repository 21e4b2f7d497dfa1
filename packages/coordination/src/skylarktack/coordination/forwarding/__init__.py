"""Forwarding of requests to targets: routes, attempts, streams, caches."""

from skylarktack.coordination.forwarding._accounting import RequestAccounts
from skylarktack.coordination.forwarding._accounting import RequestCount
from skylarktack.coordination.forwarding._accounting import RequestResult
from skylarktack.coordination.forwarding._accounting import is_late
from skylarktack.coordination.forwarding._admitted_request import (
    AdmittedRequest,
)
from skylarktack.coordination.forwarding._bounds import Bound
from skylarktack.coordination.forwarding._bounds import BoundReached
from skylarktack.coordination.forwarding._bounds import BoundRecorder
from skylarktack.coordination.forwarding._budget import RetryBudget
from skylarktack.coordination.forwarding._budget import RetryLimits
from skylarktack.coordination.forwarding._calls import CallForwarder
from skylarktack.coordination.forwarding._engine_selection import EnginePair
from skylarktack.coordination.forwarding._engine_selection import (
    affinity_key_of,
)
from skylarktack.coordination.forwarding._events import BodyLimitExceedsMemory
from skylarktack.coordination.forwarding._events import ConfigurationApplied
from skylarktack.coordination.forwarding._events import DatagramMalformed
from skylarktack.coordination.forwarding._events import EventLog
from skylarktack.coordination.forwarding._events import FrontLimitsChanged
from skylarktack.coordination.forwarding._events import InstanceNotRegistered
from skylarktack.coordination.forwarding._events import InstanceStarted
from skylarktack.coordination.forwarding._events import InstanceStopped
from skylarktack.coordination.forwarding._events import InstanceStopping
from skylarktack.coordination.forwarding._events import LogEvent
from skylarktack.coordination.forwarding._events import LogLinesDropped
from skylarktack.coordination.forwarding._events import PeerDiscovered
from skylarktack.coordination.forwarding._events import ProcessSuspended
from skylarktack.coordination.forwarding._events import PromptPartProbed
from skylarktack.coordination.forwarding._events import PromptPartQuarantined
from skylarktack.coordination.forwarding._events import PromptPartReleased
from skylarktack.coordination.forwarding._events import ReadinessChanged
from skylarktack.coordination.forwarding._events import SettingsReloaded
from skylarktack.coordination.forwarding._events import SignalReceived
from skylarktack.coordination.forwarding._events import TargetAdded
from skylarktack.coordination.forwarding._events import TargetDraining
from skylarktack.coordination.forwarding._events import TargetEjected
from skylarktack.coordination.forwarding._events import TargetLeaving
from skylarktack.coordination.forwarding._events import TargetMisdirected
from skylarktack.coordination.forwarding._events import TargetPaused
from skylarktack.coordination.forwarding._events import TargetRemoved
from skylarktack.coordination.forwarding._events import TargetSuspected
from skylarktack.coordination.forwarding._events import UnexpectedError
from skylarktack.coordination.forwarding._exposure import ExposureLimits
from skylarktack.coordination.forwarding._exposure import trial_share
from skylarktack.coordination.forwarding._fleet import FleetView
from skylarktack.coordination.forwarding._fleet_ports import (
    PromptEvidenceExchange,
)
from skylarktack.coordination.forwarding._fleet_ports import (
    TargetFailureListener,
)
from skylarktack.coordination.forwarding._fleet_tasks import FleetLink
from skylarktack.coordination.forwarding._fleet_tasks import FleetReporter
from skylarktack.coordination.forwarding._fleet_tasks import PeerDiscovery
from skylarktack.coordination.forwarding._fleet_tasks import PeerRegistry
from skylarktack.coordination.forwarding._fleet_tasks import broadcast_groups
from skylarktack.coordination.forwarding._front_limits import FrontLimitHistory
from skylarktack.coordination.forwarding._gateway import Gateway
from skylarktack.coordination.forwarding._gateway import GatewayDependencies
from skylarktack.coordination.forwarding._gateway import RequestObserver
from skylarktack.coordination.forwarding._gateway import RequestReport
from skylarktack.coordination.forwarding._move_driver import MoveDriver
from skylarktack.coordination.forwarding._move_driver import MoveWriter
from skylarktack.coordination.forwarding._move_events import MoveJudged
from skylarktack.coordination.forwarding._move_events import MoveNotRecorded
from skylarktack.coordination.forwarding._move_events import MoveRecorded
from skylarktack.coordination.forwarding._move_events import MoveShifting
from skylarktack.coordination.forwarding._move_events import MoveStopped
from skylarktack.coordination.forwarding._move_evidence import (
    AggregationTopology,
)
from skylarktack.coordination.forwarding._moves import MoveTable
from skylarktack.coordination.forwarding._outcomes import CallerDisconnected
from skylarktack.coordination.forwarding._outcomes import CallOutcome
from skylarktack.coordination.forwarding._outcomes import CutByExit
from skylarktack.coordination.forwarding._outcomes import RequestOutcome
from skylarktack.coordination.forwarding._outcomes import RequestStep
from skylarktack.coordination.forwarding._outcomes import RequestTrace
from skylarktack.coordination.forwarding._outcomes import StreamCompleted
from skylarktack.coordination.forwarding._outcomes import StreamInterrupted
from skylarktack.coordination.forwarding._outcomes import StreamOutcome
from skylarktack.coordination.forwarding._ports import BodyChunk
from skylarktack.coordination.forwarding._ports import Caller
from skylarktack.coordination.forwarding._ports import EventSplitter
from skylarktack.coordination.forwarding._ports import Exchange
from skylarktack.coordination.forwarding._ports import ExchangeFault
from skylarktack.coordination.forwarding._ports import FaultKind
from skylarktack.coordination.forwarding._ports import MessageCodec
from skylarktack.coordination.forwarding._ports import ResponseEnd
from skylarktack.coordination.forwarding._ports import ResponseEvent
from skylarktack.coordination.forwarding._ports import SplitEvents
from skylarktack.coordination.forwarding._ports import StoreClient
from skylarktack.coordination.forwarding._ports import StoreResponse
from skylarktack.coordination.forwarding._ports import StreamEvent
from skylarktack.coordination.forwarding._ports import TargetClient
from skylarktack.coordination.forwarding._ports import WaitResult
from skylarktack.coordination.forwarding._prompt_quarantine import (
    PromptQuarantine,
)
from skylarktack.coordination.forwarding._quarantine_keeper import (
    QuarantineKeeper,
)
from skylarktack.coordination.forwarding._quarantine_keeper import (
    QuarantineStore,
)
from skylarktack.coordination.forwarding._quarantine_records import (
    QuarantineSettings,
)
from skylarktack.coordination.forwarding._request_events import RequestFailed
from skylarktack.coordination.forwarding._request_events import RequestLate
from skylarktack.coordination.forwarding._request_events import RequestsCounted
from skylarktack.coordination.forwarding._request_events import RequestServed
from skylarktack.coordination.forwarding._route_trials import RouteTrial
from skylarktack.coordination.forwarding._route_trials import failing_route
from skylarktack.coordination.forwarding._route_trials import route_trials
from skylarktack.coordination.forwarding._routes import RouteTable
from skylarktack.coordination.forwarding._routes import choose_service
from skylarktack.coordination.forwarding._run_placements import RunPlacement
from skylarktack.coordination.forwarding._service_admission import (
    ServiceAdmission,
)
from skylarktack.coordination.forwarding._shared_watch import SharedWatch
from skylarktack.coordination.forwarding._shared_watch import WatchRole
from skylarktack.coordination.forwarding._store_era import StoreEra
from skylarktack.coordination.forwarding._store_events import (
    StoreEntryMalformed,
)
from skylarktack.coordination.forwarding._store_events import StoreRecovered
from skylarktack.coordination.forwarding._store_events import StoreRestored
from skylarktack.coordination.forwarding._store_events import StoreUnavailable
from skylarktack.coordination.forwarding._store_events import (
    WatchRevisionCompacted,
)
from skylarktack.coordination.forwarding._store_events import WatchRoleChanged
from skylarktack.coordination.forwarding._store_events import WatchUnreadable
from skylarktack.coordination.forwarding._store_health import StoreHealth
from skylarktack.coordination.forwarding._store_outage import CallFailure
from skylarktack.coordination.forwarding._store_outage import OutageTracker
from skylarktack.coordination.forwarding._store_watcher import StoreWatcher
from skylarktack.coordination.forwarding._stream_attempts import AttemptEnd
from skylarktack.coordination.forwarding._stream_attempts import AttemptLost
from skylarktack.coordination.forwarding._stream_attempts import (
    AttemptNotExecuted,
)
from skylarktack.coordination.forwarding._stream_attempts import (
    StreamDependencies,
)
from skylarktack.coordination.forwarding._stream_attempts import StreamFinished
from skylarktack.coordination.forwarding._stream_attempts import StreamProgress
from skylarktack.coordination.forwarding._streams import StreamForwarder
from skylarktack.coordination.forwarding._supervision import REQUEST_REPORT
from skylarktack.coordination.forwarding._supervision import ErrorRecorder
from skylarktack.coordination.forwarding._supervision import Supervisor
from skylarktack.coordination.forwarding._suspensions import SuspensionMonitor
from skylarktack.coordination.forwarding._suspensions import Suspensions
from skylarktack.coordination.forwarding._target_ramp import RampCounts
from skylarktack.coordination.forwarding._target_ramp import TargetRamps
from skylarktack.coordination.forwarding._targets import TargetTable
from skylarktack.coordination.forwarding._trial_keeper import TrialKeeper
from skylarktack.coordination.forwarding._trial_keeper import TrialStore
from skylarktack.coordination.forwarding._version_rules import ANY_VERSION
from skylarktack.coordination.forwarding._version_rules import VersionRule
from skylarktack.coordination.forwarding._version_trials import VersionTrials
from skylarktack.coordination.forwarding._watch_handlers import (
    ConfigurationHolder,
)
from skylarktack.coordination.forwarding._watch_handlers import (
    ConfigurationWatchHandler,
)
from skylarktack.coordination.forwarding._watch_handlers import (
    MoveWatchHandler,
)
from skylarktack.coordination.forwarding._watch_handlers import (
    TargetWatchHandler,
)
from skylarktack.coordination.forwarding._watch_ports import Changes
from skylarktack.coordination.forwarding._watch_ports import Listing
from skylarktack.coordination.forwarding._watch_ports import StoreFault
from skylarktack.coordination.forwarding._watch_ports import StoreFaultKind
from skylarktack.coordination.forwarding._watch_ports import WatchHandler
from skylarktack.coordination.forwarding._watch_ports import WatchSettings
from skylarktack.coordination.forwarding._watch_ports import WatchSource

__all__ = [
    'BodyLimitExceedsMemory',
    'Bound',
    'BoundReached',
    'BoundRecorder',
    'ANY_VERSION',
    'ExposureLimits',
    'trial_share',
    'RouteTrial',
    'failing_route',
    'route_trials',
    'FrontLimitHistory',
    'FrontLimitsChanged',
    'MoveWatchHandler',
    'MoveDriver',
    'MoveJudged',
    'MoveNotRecorded',
    'MoveRecorded',
    'MoveShifting',
    'MoveStopped',
    'AggregationTopology',
    'MoveTable',
    'MoveWriter',
    'TrialKeeper',
    'TrialStore',
    'VersionRule',
    'VersionTrials',
    'ConfigurationApplied',
    'DatagramMalformed',
    'StoreEntryMalformed',
    'EventLog',
    'WatchRevisionCompacted',
    'InstanceNotRegistered',
    'InstanceStarted',
    'InstanceStopped',
    'InstanceStopping',
    'LogLinesDropped',
    'LogEvent',
    'PeerDiscovered',
    'ProcessSuspended',
    'PromptPartProbed',
    'PromptPartQuarantined',
    'PromptPartReleased',
    'ReadinessChanged',
    'RequestFailed',
    'RequestLate',
    'RequestServed',
    'WatchRoleChanged',
    'WatchUnreadable',
    'SettingsReloaded',
    'StoreUnavailable',
    'StoreRecovered',
    'TargetRemoved',
    'TargetAdded',
    'TargetDraining',
    'TargetMisdirected',
    'TargetEjected',
    'TargetSuspected',
    'ResponseEnd',
    'ResponseEvent',
    'AttemptEnd',
    'BodyChunk',
    'CallForwarder',
    'Caller',
    'CallOutcome',
    'CallerDisconnected',
    'Changes',
    'ConfigurationWatchHandler',
    'ConfigurationHolder',
    'EnginePair',
    'EventSplitter',
    'Exchange',
    'ExchangeFault',
    'FaultKind',
    'StreamFinished',
    'FleetLink',
    'PeerDiscovery',
    'FleetReporter',
    'FleetView',
    'WatchSettings',
    'StoreWatcher',
    'Gateway',
    'GatewayDependencies',
    'WatchHandler',
    'WatchSource',
    'Listing',
    'TargetFailureListener',
    'AttemptLost',
    'MessageCodec',
    'AttemptNotExecuted',
    'PeerRegistry',
    'WaitResult',
    'RetryLimits',
    'RequestTrace',
    'RequestObserver',
    'REQUEST_REPORT',
    'RequestReport',
    'RequestStep',
    'PromptEvidenceExchange',
    'PromptQuarantine',
    'QuarantineKeeper',
    'QuarantineSettings',
    'QuarantineStore',
    'RetryBudget',
    'RouteTable',
    'RunPlacement',
    'SplitEvents',
    'StoreResponse',
    'StoreClient',
    'StoreFault',
    'StoreFaultKind',
    'StoreEra',
    'StoreRestored',
    'StoreHealth',
    'CallFailure',
    'OutageTracker',
    'WatchRole',
    'ServiceAdmission',
    'SharedWatch',
    'StreamEvent',
    'StreamInterrupted',
    'StreamCompleted',
    'StreamForwarder',
    'StreamOutcome',
    'StreamDependencies',
    'StreamProgress',
    'TargetWatchHandler',
    'TargetClient',
    'RampCounts',
    'TargetRamps',
    'TargetTable',
    'RequestAccounts',
    'RequestCount',
    'RequestResult',
    'RequestsCounted',
    'RequestOutcome',
    'CutByExit',
    'SignalReceived',
    'is_late',
    'TargetLeaving',
    'TargetPaused',
    'UnexpectedError',
    'ErrorRecorder',
    'Supervisor',
    'SuspensionMonitor',
    'Suspensions',
    'AdmittedRequest',
    'choose_service',
    'broadcast_groups',
    'affinity_key_of',
]
