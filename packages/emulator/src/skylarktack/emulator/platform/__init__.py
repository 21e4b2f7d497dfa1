"""Stand-ins of the users' platform: store, targets, instances, callers."""

from skylarktack.emulator.platform._caller import CallerConnection
from skylarktack.emulator.platform._caller import call
from skylarktack.emulator.platform._caller import new_attempt_id
from skylarktack.emulator.platform._caller import read_stream
from skylarktack.emulator.platform._deployment import INSTANCE_MODULE
from skylarktack.emulator.platform._deployment import ISOLATING_FLAGS
from skylarktack.emulator.platform._deployment import PlatformDeployment
from skylarktack.emulator.platform._deployment import PlatformInstance
from skylarktack.emulator.platform._deployment import address_in_line
from skylarktack.emulator.platform._exchange import Answer
from skylarktack.emulator.platform._exchange import Attempt
from skylarktack.emulator.platform._exchange import Exchange
from skylarktack.emulator.platform._kept_connection import KeptConnection
from skylarktack.emulator.platform._manifest import HOST
from skylarktack.emulator.platform._manifest import KEY
from skylarktack.emulator.platform._manifest import manifest
from skylarktack.emulator.platform._proxy import FaultProxy
from skylarktack.emulator.platform._proxy import ProxyMode
from skylarktack.emulator.platform._reserved_ports import ReservedPort
from skylarktack.emulator.platform._store import PlatformStore
from skylarktack.emulator.platform._store import StoreAnswer
from skylarktack.emulator.platform._store import StoreCopy
from skylarktack.emulator.platform._store import StoreMode
from skylarktack.emulator.platform._target import PlatformTarget
from skylarktack.emulator.platform._target import Run
from skylarktack.emulator.platform._target import TargetBehaviour
from skylarktack.emulator.platform._target import event_text

__all__ = [
    'HOST',
    'address_in_line',
    'INSTANCE_MODULE',
    'ISOLATING_FLAGS',
    'KEY',
    'Answer',
    'Attempt',
    'CallerConnection',
    'Exchange',
    'FaultProxy',
    'KeptConnection',
    'PlatformDeployment',
    'PlatformInstance',
    'PlatformStore',
    'PlatformTarget',
    'ProxyMode',
    'ReservedPort',
    'Run',
    'StoreAnswer',
    'StoreCopy',
    'StoreMode',
    'TargetBehaviour',
    'call',
    'event_text',
    'manifest',
    'new_attempt_id',
    'read_stream',
]
