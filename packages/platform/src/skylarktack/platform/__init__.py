"""Adapter for the users' platform: its names, formats and store calls.

Only this package knows them. It translates between them and the types of the
system, and makes no decisions about requests, targets or moves. A move is a
planned rollout of a service from one version to another.
"""

from skylarktack.platform._configuration import decode_configuration
from skylarktack.platform._entries import decode_target
from skylarktack.platform._fields import MalformedError
from skylarktack.platform._instances import StorePeerRegistry
from skylarktack.platform._messages import PlatformMessageCodec
from skylarktack.platform._moves import MoveReader
from skylarktack.platform._moves import StoreMoveWriter
from skylarktack.platform._settings import PATH_VARIABLE
from skylarktack.platform._settings import decode_settings
from skylarktack.platform._store import ConfigurationReader
from skylarktack.platform._store import TargetReader

__all__ = [
    'ConfigurationReader',
    'MalformedError',
    'MoveReader',
    'PATH_VARIABLE',
    'PlatformMessageCodec',
    'StoreMoveWriter',
    'StorePeerRegistry',
    'TargetReader',
    'decode_configuration',
    'decode_settings',
    'decode_target',
]
