"""State layer: frozen data classes, typed errors and in-memory tables."""

from typing import TYPE_CHECKING

from skylarktack.state._lazy import lazy_exports

if TYPE_CHECKING:
    from skylarktack.state._addresses import Address
    from skylarktack.state._calls import DispatchFault
    from skylarktack.state._calls import ServiceCall
    from skylarktack.state._calls import ServiceResponse
    from skylarktack.state._claims import ClaimKey
    from skylarktack.state._claims import ClaimPhase
    from skylarktack.state._claims import ClaimRecord
    from skylarktack.state._claims import ClaimSegment
    from skylarktack.state._claims import SealedSegment
    from skylarktack.state._configurations import AppliedChange
    from skylarktack.state._configurations import ConfigurationChange
    from skylarktack.state._configurations import ConfigurationFetch
    from skylarktack.state._configurations import ConfigurationOffer
    from skylarktack.state._configurations import ConfigurationRecord
    from skylarktack.state._configurations import ConfigurationResponse
    from skylarktack.state._configurations import InstanceStatus
    from skylarktack.state._configurations import StatusRequest
    from skylarktack.state._delivered import DIGEST_BYTES
    from skylarktack.state._delivered import DeliveredCursor
    from skylarktack.state._delivered import DeliveredText
    from skylarktack.state._documents import ActiveConfiguration
    from skylarktack.state._documents import CallerLossPolicy
    from skylarktack.state._documents import ConfigurationDocument
    from skylarktack.state._documents import ConfigurationPosition
    from skylarktack.state._documents import Limits
    from skylarktack.state._documents import Move
    from skylarktack.state._documents import Organisation
    from skylarktack.state._documents import Route
    from skylarktack.state._documents import RouteKind
    from skylarktack.state._documents import Version
    from skylarktack.state._errors import Finding
    from skylarktack.state._errors import Refusal
    from skylarktack.state._errors import RefusalCode
    from skylarktack.state._errors import RunState
    from skylarktack.state._generation_record import GenerationRecord
    from skylarktack.state._generation_record import InitialGenerationState
    from skylarktack.state._generation_record import ResumeCheck
    from skylarktack.state._generation_table import GenerationT
    from skylarktack.state._generation_table import GenerationTable
    from skylarktack.state._generation_table import HeldGeneration
    from skylarktack.state._generations import AttemptRecord
    from skylarktack.state._generations import AttemptRequest
    from skylarktack.state._generations import GenerationRequest
    from skylarktack.state._generations import Keepalive
    from skylarktack.state._generations import ResumeToken
    from skylarktack.state._generations import StreamEnd
    from skylarktack.state._generations import StreamError
    from skylarktack.state._generations import StreamEvent
    from skylarktack.state._generations import StreamStart
    from skylarktack.state._generations import TokenEvent
    from skylarktack.state._members import Member
    from skylarktack.state._members import MemberState
    from skylarktack.state._members import MemberTable
    from skylarktack.state._members import supersedes
    from skylarktack.state._moves import EvidenceReport
    from skylarktack.state._moves import EvidenceRow
    from skylarktack.state._moves import LatencySums
    from skylarktack.state._moves import MoveLease
    from skylarktack.state._moves import MoveNotice
    from skylarktack.state._moves import MovePhase
    from skylarktack.state._moves import MoveRecord
    from skylarktack.state._moves import MoveSettings
    from skylarktack.state._moves import MoveStep
    from skylarktack.state._moves import MoveStop
    from skylarktack.state._moves import MoveVerdict
    from skylarktack.state._names import FailureDomain
    from skylarktack.state._names import InstanceName
    from skylarktack.state._names import OrganisationName
    from skylarktack.state._names import RequestId
    from skylarktack.state._names import RouteName
    from skylarktack.state._names import TargetName
    from skylarktack.state._names import VersionName
    from skylarktack.state._prefixes import PREFIX_BLOCK_CHARS
    from skylarktack.state._prefixes import prefix_hashes
    from skylarktack.state._settings import CallerSettings
    from skylarktack.state._settings import ClaimSettings
    from skylarktack.state._settings import GenerationSettings
    from skylarktack.state._settings import InstanceSettings
    from skylarktack.state._settings import LookupSettings
    from skylarktack.state._settings import PeerSettings
    from skylarktack.state._settings import RetrySettings
    from skylarktack.state._settings import StopSettings
    from skylarktack.state._settings import StoreSettings
    from skylarktack.state._store import StoredObject
    from skylarktack.state._store import StoreFault
    from skylarktack.state._store import StoreFaultKind
    from skylarktack.state._store import WatchBatch
    from skylarktack.state._targets import ListedInstance
    from skylarktack.state._targets import OutcomeKind
    from skylarktack.state._targets import PlatformList
    from skylarktack.state._targets import Target
    from skylarktack.state._targets import TargetKind
    from skylarktack.state._targets import TargetOutcome
    from skylarktack.state._traffic_settings import LimitSettings
    from skylarktack.state._traffic_settings import RoutingSettings

__all__ = [
    'lazy_exports',
    'ActiveConfiguration',
    'Address',
    'AppliedChange',
    'AttemptRecord',
    'CallerLossPolicy',
    'CallerSettings',
    'ClaimKey',
    'ClaimPhase',
    'ClaimRecord',
    'ClaimSegment',
    'ClaimSettings',
    'ConfigurationResponse',
    'ConfigurationChange',
    'ConfigurationDocument',
    'ConfigurationFetch',
    'ConfigurationOffer',
    'ConfigurationPosition',
    'ConfigurationRecord',
    'DIGEST_BYTES',
    'DeliveredCursor',
    'DeliveredText',
    'DispatchFault',
    'AttemptRequest',
    'EvidenceReport',
    'EvidenceRow',
    'FailureDomain',
    'Finding',
    'GenerationRecord',
    'GenerationRequest',
    'GenerationSettings',
    'GenerationTable',
    'GenerationT',
    'HeldGeneration',
    'InstanceName',
    'InstanceSettings',
    'InstanceStatus',
    'Keepalive',
    'LatencySums',
    'LimitSettings',
    'Limits',
    'ListedInstance',
    'LookupSettings',
    'Member',
    'MemberState',
    'MemberTable',
    'Move',
    'MoveLease',
    'MoveNotice',
    'MovePhase',
    'MoveRecord',
    'MoveSettings',
    'MoveStep',
    'MoveStop',
    'MoveVerdict',
    'Organisation',
    'OrganisationName',
    'OutcomeKind',
    'PREFIX_BLOCK_CHARS',
    'PeerSettings',
    'ServiceCall',
    'PlatformList',
    'InitialGenerationState',
    'Refusal',
    'RefusalCode',
    'RequestId',
    'ResumeCheck',
    'ResumeToken',
    'RetrySettings',
    'Route',
    'RouteKind',
    'RouteName',
    'RoutingSettings',
    'RunState',
    'SealedSegment',
    'ServiceResponse',
    'StatusRequest',
    'StoreFault',
    'StoreFaultKind',
    'StopSettings',
    'StoreSettings',
    'StoredObject',
    'StreamEnd',
    'StreamError',
    'StreamEvent',
    'StreamStart',
    'Target',
    'TargetKind',
    'TargetName',
    'TargetOutcome',
    'TokenEvent',
    'Version',
    'VersionName',
    'WatchBatch',
    'prefix_hashes',
    'supersedes',
]

_MODULE_BY_NAME = {
    'DispatchFault': '_calls',
    'ServiceCall': '_calls',
    'ServiceResponse': '_calls',
    'ClaimKey': '_claims',
    'ClaimPhase': '_claims',
    'ClaimRecord': '_claims',
    'ClaimSegment': '_claims',
    'SealedSegment': '_claims',
    'AppliedChange': '_configurations',
    'ConfigurationResponse': '_configurations',
    'ConfigurationChange': '_configurations',
    'ConfigurationFetch': '_configurations',
    'ConfigurationOffer': '_configurations',
    'ConfigurationRecord': '_configurations',
    'InstanceStatus': '_configurations',
    'StatusRequest': '_configurations',
    'DIGEST_BYTES': '_delivered',
    'DeliveredCursor': '_delivered',
    'DeliveredText': '_delivered',
    'ActiveConfiguration': '_documents',
    'CallerLossPolicy': '_documents',
    'ConfigurationDocument': '_documents',
    'ConfigurationPosition': '_documents',
    'Limits': '_documents',
    'Move': '_documents',
    'Organisation': '_documents',
    'Route': '_documents',
    'RouteKind': '_documents',
    'Version': '_documents',
    'Finding': '_errors',
    'Refusal': '_errors',
    'RefusalCode': '_errors',
    'RunState': '_errors',
    'GenerationRecord': '_generation_record',
    'InitialGenerationState': '_generation_record',
    'ResumeCheck': '_generation_record',
    'GenerationTable': '_generation_table',
    'GenerationT': '_generation_table',
    'HeldGeneration': '_generation_table',
    'AttemptRecord': '_generations',
    'AttemptRequest': '_generations',
    'GenerationRequest': '_generations',
    'Keepalive': '_generations',
    'ResumeToken': '_generations',
    'StreamEnd': '_generations',
    'StreamError': '_generations',
    'StreamEvent': '_generations',
    'StreamStart': '_generations',
    'TokenEvent': '_generations',
    'Member': '_members',
    'MemberState': '_members',
    'MemberTable': '_members',
    'supersedes': '_members',
    'EvidenceReport': '_moves',
    'EvidenceRow': '_moves',
    'LatencySums': '_moves',
    'MoveLease': '_moves',
    'MoveNotice': '_moves',
    'MovePhase': '_moves',
    'MoveRecord': '_moves',
    'MoveSettings': '_moves',
    'MoveStep': '_moves',
    'MoveStop': '_moves',
    'MoveVerdict': '_moves',
    'FailureDomain': '_names',
    'InstanceName': '_names',
    'OrganisationName': '_names',
    'RequestId': '_names',
    'RouteName': '_names',
    'TargetName': '_names',
    'VersionName': '_names',
    'PREFIX_BLOCK_CHARS': '_prefixes',
    'prefix_hashes': '_prefixes',
    'CallerSettings': '_settings',
    'ClaimSettings': '_settings',
    'GenerationSettings': '_settings',
    'InstanceSettings': '_settings',
    'LookupSettings': '_settings',
    'PeerSettings': '_settings',
    'RetrySettings': '_settings',
    'StopSettings': '_settings',
    'StoreSettings': '_settings',
    'StoredObject': '_store',
    'StoreFault': '_store',
    'StoreFaultKind': '_store',
    'WatchBatch': '_store',
    'Address': '_addresses',
    'ListedInstance': '_targets',
    'OutcomeKind': '_targets',
    'PlatformList': '_targets',
    'Target': '_targets',
    'TargetKind': '_targets',
    'TargetOutcome': '_targets',
    'LimitSettings': '_traffic_settings',
    'RoutingSettings': '_traffic_settings',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
