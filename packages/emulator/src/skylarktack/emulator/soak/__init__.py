"""A fault soak: real instances, faults from outside, promises checked."""

from skylarktack.emulator.soak._callers import CallRecord
from skylarktack.emulator.soak._checkers import Evidence
from skylarktack.emulator.soak._checkers import Promise
from skylarktack.emulator.soak._checkers import UnknownTime
from skylarktack.emulator.soak._checkers import check_all
from skylarktack.emulator.soak._regressions import REGRESSIONS
from skylarktack.emulator.soak._regressions import Regression
from skylarktack.emulator.soak._run import SoakResult
from skylarktack.emulator.soak._run import run_seed
from skylarktack.emulator.soak._schedule import CHANGE_KINDS
from skylarktack.emulator.soak._schedule import FLEET_KINDS
from skylarktack.emulator.soak._schedule import LOAD_KINDS
from skylarktack.emulator.soak._schedule import RESTORE_KINDS
from skylarktack.emulator.soak._schedule import SIGNAL_KINDS
from skylarktack.emulator.soak._schedule import Injection
from skylarktack.emulator.soak._schedule import InjectionKind
from skylarktack.emulator.soak._schedule import SoakShape
from skylarktack.emulator.soak._schedule import draw_schedule

__all__ = [
    'CHANGE_KINDS',
    'FLEET_KINDS',
    'LOAD_KINDS',
    'RESTORE_KINDS',
    'SIGNAL_KINDS',
    'REGRESSIONS',
    'CallRecord',
    'Evidence',
    'Injection',
    'InjectionKind',
    'Promise',
    'Regression',
    'SoakResult',
    'SoakShape',
    'UnknownTime',
    'check_all',
    'draw_schedule',
    'run_seed',
]
