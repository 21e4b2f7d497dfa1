"""Adapter for the users' platform: its names, formats and store calls.

Only this package knows them. It translates between them and the types of the
system, and makes no decisions about requests, targets or moves. A move is a
planned rollout of a service from one version to another.
"""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.platform._configuration import decode_configuration
    from skylarktack.platform._entries import decode_target
    from skylarktack.platform._fields import MalformedError
    from skylarktack.platform._front_address import PATH_VARIABLE
    from skylarktack.platform._front_address import FrontAddress
    from skylarktack.platform._front_address import find_front_address
    from skylarktack.platform._instances import StorePeerRegistry
    from skylarktack.platform._manifests import KeyHider
    from skylarktack.platform._manifests import attempt_findings
    from skylarktack.platform._manifests import has_manifest_fields
    from skylarktack.platform._manifests import manifest_findings
    from skylarktack.platform._messages import PlatformMessageCodec
    from skylarktack.platform._moves import MoveReader
    from skylarktack.platform._moves import StoreMoveWriter
    from skylarktack.platform._quarantines import StoreQuarantines
    from skylarktack.platform._settings import decode_settings
    from skylarktack.platform._store import ConfigurationReader
    from skylarktack.platform._store import TargetReader
    from skylarktack.platform._store_calls import TrackedStoreCalls
    from skylarktack.platform._version_trials import StoreVersionTrials

__all__ = [
    'ConfigurationReader',
    'FrontAddress',
    'KeyHider',
    'MalformedError',
    'MoveReader',
    'PATH_VARIABLE',
    'PlatformMessageCodec',
    'StoreMoveWriter',
    'StorePeerRegistry',
    'StoreQuarantines',
    'StoreVersionTrials',
    'TargetReader',
    'TrackedStoreCalls',
    'attempt_findings',
    'decode_configuration',
    'decode_settings',
    'decode_target',
    'find_front_address',
    'has_manifest_fields',
    'manifest_findings',
]

# The front socket is opened before the other modules are imported.
_MODULE_BY_NAME = {
    'decode_configuration': '_configuration',
    'decode_target': '_entries',
    'MalformedError': '_fields',
    'StorePeerRegistry': '_instances',
    'PlatformMessageCodec': '_messages',
    'MoveReader': '_moves',
    'StoreMoveWriter': '_moves',
    'attempt_findings': '_manifests',
    'has_manifest_fields': '_manifests',
    'KeyHider': '_manifests',
    'manifest_findings': '_manifests',
    'PATH_VARIABLE': '_front_address',
    'FrontAddress': '_front_address',
    'find_front_address': '_front_address',
    'StoreQuarantines': '_quarantines',
    'StoreVersionTrials': '_version_trials',
    'decode_settings': '_settings',
    'ConfigurationReader': '_store',
    'TargetReader': '_store',
    'TrackedStoreCalls': '_store_calls',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
