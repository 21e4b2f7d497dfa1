"""The operators' command line, binary ``skylarktack``."""

from skylarktack.cli._main import EXIT_INVALID
from skylarktack.cli._main import Commands
from skylarktack.cli._main import main

__all__ = ['EXIT_INVALID', 'Commands', 'main']
