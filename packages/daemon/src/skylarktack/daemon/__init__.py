"""Process of an entry instance, binary ``skylarktackd``."""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.daemon._instance import Instance
    from skylarktack.daemon._main import EXIT_INVALID_SETTINGS
    from skylarktack.daemon._main import main
    from skylarktack.daemon._main import run
    from skylarktack.daemon._peers import Peers
    from skylarktack.daemon._signals import STOP_SIGNALS
    from skylarktack.daemon._signals import ProcessSignals

__all__ = [
    'EXIT_INVALID_SETTINGS',
    'Instance',
    'Peers',
    'ProcessSignals',
    'STOP_SIGNALS',
    'main',
    'run',
]

_MODULE_BY_NAME = {
    'EXIT_INVALID_SETTINGS': '_main',
    'Instance': '_instance',
    'Peers': '_peers',
    'ProcessSignals': '_signals',
    'STOP_SIGNALS': '_signals',
    'main': '_main',
    'run': '_main',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
