"""Command line for operators, binary ``skylarktack``."""

from skylarktack.cli._commands import EXIT_FAILED
from skylarktack.cli._commands import EXIT_INVALID
from skylarktack.cli._commands import Commands
from skylarktack.cli._commands import check_text
from skylarktack.cli._main import main

__all__ = ['EXIT_FAILED', 'EXIT_INVALID', 'Commands', 'check_text', 'main']
