"""The entry instance, binary ``skylarktackd``."""

from skylarktack.daemon._instance import Instance
from skylarktack.daemon._main import EXIT_INVALID_SETTINGS
from skylarktack.daemon._main import main
from skylarktack.daemon._main import run
from skylarktack.daemon._peers import Peers

__all__ = [
    'EXIT_INVALID_SETTINGS',
    'Instance',
    'Peers',
    'main',
    'run',
]
