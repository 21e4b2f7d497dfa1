"""Planned moves between versions."""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.coordination.moves._chooser import MoveVersionChooser
    from skylarktack.coordination.moves._chooser import RouteVersionChooser
    from skylarktack.coordination.moves._chooser import request_fraction
    from skylarktack.coordination.moves._codec import KEY_PREFIX
    from skylarktack.coordination.moves._codec import MoveCodec
    from skylarktack.coordination.moves._codec import record_key
    from skylarktack.coordination.moves._evidence import EvidenceBook
    from skylarktack.coordination.moves._evidence import EvidenceCollector
    from skylarktack.coordination.moves._evidence import latency_sums
    from skylarktack.coordination.moves._judging import Judge
    from skylarktack.coordination.moves._judging import Judgement
    from skylarktack.coordination.moves._judging import SequentialJudge
    from skylarktack.coordination.moves._judging import ThresholdJudge
    from skylarktack.coordination.moves._judging import add_rows
    from skylarktack.coordination.moves._loading import FIRST_WAVE_COUNT
    from skylarktack.coordination.moves._loading import LoadProgress
    from skylarktack.coordination.moves._loading import TargetDirectory
    from skylarktack.coordination.moves._part import REPORT_BYTES_PER_S
    from skylarktack.coordination.moves._part import REPORT_HEADER_BYTES
    from skylarktack.coordination.moves._part import REPORT_ROW_BYTES
    from skylarktack.coordination.moves._part import MoveCoordinator
    from skylarktack.coordination.moves._part import MoveDependencies
    from skylarktack.coordination.moves._planning import Situation
    from skylarktack.coordination.moves._planning import decide
    from skylarktack.coordination.moves._session import DriverParts
    from skylarktack.coordination.moves._session import DriverState
    from skylarktack.coordination.moves._session import LeasedMoveDriver
    from skylarktack.coordination.moves._table import KnownMove
    from skylarktack.coordination.moves._table import MoveTable

__all__ = [
    'DriverParts',
    'EvidenceBook',
    'EvidenceCollector',
    'FIRST_WAVE_COUNT',
    'Judge',
    'Judgement',
    'KEY_PREFIX',
    'KnownMove',
    'LoadProgress',
    'MoveCodec',
    'LeasedMoveDriver',
    'MoveTable',
    'MoveVersionChooser',
    'MoveDependencies',
    'MoveCoordinator',
    'REPORT_BYTES_PER_S',
    'REPORT_HEADER_BYTES',
    'REPORT_ROW_BYTES',
    'RouteVersionChooser',
    'SequentialJudge',
    'DriverState',
    'Situation',
    'TargetDirectory',
    'ThresholdJudge',
    'add_rows',
    'decide',
    'record_key',
    'latency_sums',
    'request_fraction',
]

_MODULE_BY_NAME = {
    'MoveVersionChooser': '_chooser',
    'request_fraction': '_chooser',
    'RouteVersionChooser': '_chooser',
    'KEY_PREFIX': '_codec',
    'record_key': '_codec',
    'MoveCodec': '_codec',
    'EvidenceBook': '_evidence',
    'EvidenceCollector': '_evidence',
    'latency_sums': '_evidence',
    'add_rows': '_judging',
    'Judge': '_judging',
    'Judgement': '_judging',
    'SequentialJudge': '_judging',
    'ThresholdJudge': '_judging',
    'FIRST_WAVE_COUNT': '_loading',
    'LoadProgress': '_loading',
    'TargetDirectory': '_loading',
    'REPORT_BYTES_PER_S': '_part',
    'REPORT_HEADER_BYTES': '_part',
    'REPORT_ROW_BYTES': '_part',
    'MoveDependencies': '_part',
    'MoveCoordinator': '_part',
    'decide': '_planning',
    'Situation': '_planning',
    'DriverParts': '_session',
    'LeasedMoveDriver': '_session',
    'DriverState': '_session',
    'KnownMove': '_table',
    'MoveTable': '_table',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
