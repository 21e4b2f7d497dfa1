"""Planned moves of routes from one version to another.

A move is a planned rollout: it loads the new version onto the targets, shifts
the route's requests to it in stages while its outcomes are compared with those
of the old version, and then completes or rolls back. One instance at a time
drives a move, under a lease in the object store.
"""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.coordination.moves._chooser import MoveVersionChooser
    from skylarktack.coordination.moves._chooser import RouteVersionChooser
    from skylarktack.coordination.moves._chooser import request_fraction
    from skylarktack.coordination.moves._codec import KEY_PREFIX
    from skylarktack.coordination.moves._codec import MoveCodec
    from skylarktack.coordination.moves._codec import record_key
    from skylarktack.coordination.moves._coordinator import REPORT_BYTES_PER_S
    from skylarktack.coordination.moves._coordinator import REPORT_HEADER_BYTES
    from skylarktack.coordination.moves._coordinator import REPORT_ROW_BYTES
    from skylarktack.coordination.moves._coordinator import MoveCoordinator
    from skylarktack.coordination.moves._coordinator import MoveDependencies
    from skylarktack.coordination.moves._driver import DriverDependencies
    from skylarktack.coordination.moves._driver import DriverState
    from skylarktack.coordination.moves._driver import LeasedMoveDriver
    from skylarktack.coordination.moves._evidence import EvidenceCollector
    from skylarktack.coordination.moves._evidence import EvidenceReports
    from skylarktack.coordination.moves._judging import Judge
    from skylarktack.coordination.moves._judging import Judgement
    from skylarktack.coordination.moves._judging import SequentialJudge
    from skylarktack.coordination.moves._judging import ThresholdJudge
    from skylarktack.coordination.moves._judging import add_rows
    from skylarktack.coordination.moves._latencies import latency_sums
    from skylarktack.coordination.moves._loading import FIRST_WAVE_COUNT
    from skylarktack.coordination.moves._loading import LoadProgress
    from skylarktack.coordination.moves._loading import TargetDirectory
    from skylarktack.coordination.moves._planning import DecisionInputs
    from skylarktack.coordination.moves._planning import decide
    from skylarktack.coordination.moves._table import CachedMove
    from skylarktack.coordination.moves._table import MoveTable

__all__ = [
    'CachedMove',
    'DecisionInputs',
    'DriverDependencies',
    'DriverState',
    'EvidenceCollector',
    'EvidenceReports',
    'FIRST_WAVE_COUNT',
    'Judge',
    'Judgement',
    'KEY_PREFIX',
    'LeasedMoveDriver',
    'LoadProgress',
    'MoveCodec',
    'MoveCoordinator',
    'MoveDependencies',
    'MoveTable',
    'MoveVersionChooser',
    'REPORT_BYTES_PER_S',
    'REPORT_HEADER_BYTES',
    'REPORT_ROW_BYTES',
    'RouteVersionChooser',
    'SequentialJudge',
    'TargetDirectory',
    'ThresholdJudge',
    'add_rows',
    'decide',
    'latency_sums',
    'record_key',
    'request_fraction',
]

_MODULE_BY_NAME = {
    'MoveVersionChooser': '_chooser',
    'request_fraction': '_chooser',
    'RouteVersionChooser': '_chooser',
    'KEY_PREFIX': '_codec',
    'record_key': '_codec',
    'MoveCodec': '_codec',
    'EvidenceReports': '_evidence',
    'EvidenceCollector': '_evidence',
    'latency_sums': '_latencies',
    'add_rows': '_judging',
    'Judge': '_judging',
    'Judgement': '_judging',
    'SequentialJudge': '_judging',
    'ThresholdJudge': '_judging',
    'FIRST_WAVE_COUNT': '_loading',
    'LoadProgress': '_loading',
    'TargetDirectory': '_loading',
    'REPORT_BYTES_PER_S': '_coordinator',
    'REPORT_HEADER_BYTES': '_coordinator',
    'REPORT_ROW_BYTES': '_coordinator',
    'MoveDependencies': '_coordinator',
    'MoveCoordinator': '_coordinator',
    'decide': '_planning',
    'DecisionInputs': '_planning',
    'DriverDependencies': '_driver',
    'LeasedMoveDriver': '_driver',
    'DriverState': '_driver',
    'CachedMove': '_table',
    'MoveTable': '_table',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
