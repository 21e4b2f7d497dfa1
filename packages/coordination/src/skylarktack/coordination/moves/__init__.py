"""Planned moves between versions."""

from typing import TYPE_CHECKING

from skylarktack.state import lazy_exports

if TYPE_CHECKING:
    from skylarktack.coordination.moves._chooser import MoveVersionChooser
    from skylarktack.coordination.moves._chooser import RouteVersionChooser
    from skylarktack.coordination.moves._chooser import request_fraction
    from skylarktack.coordination.moves._codec import KEY_PREFIX
    from skylarktack.coordination.moves._codec import MoveCodec
    from skylarktack.coordination.moves._codec import key_of
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
    from skylarktack.coordination.moves._part import REPORT_HEAD_BYTES
    from skylarktack.coordination.moves._part import REPORT_ROW_BYTES
    from skylarktack.coordination.moves._part import MovesOutside
    from skylarktack.coordination.moves._part import MovesPart
    from skylarktack.coordination.moves._planning import Situation
    from skylarktack.coordination.moves._planning import decide
    from skylarktack.coordination.moves._session import DriverParts
    from skylarktack.coordination.moves._session import MoveSession
    from skylarktack.coordination.moves._session import SessionState
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
    'MoveSession',
    'MoveTable',
    'MoveVersionChooser',
    'MovesOutside',
    'MovesPart',
    'REPORT_BYTES_PER_S',
    'REPORT_HEAD_BYTES',
    'REPORT_ROW_BYTES',
    'RouteVersionChooser',
    'SequentialJudge',
    'SessionState',
    'Situation',
    'TargetDirectory',
    'ThresholdJudge',
    'add_rows',
    'decide',
    'key_of',
    'latency_sums',
    'request_fraction',
]

_MODULE_BY_NAME = {
    'MoveVersionChooser': '_chooser',
    'request_fraction': '_chooser',
    'RouteVersionChooser': '_chooser',
    'KEY_PREFIX': '_codec',
    'key_of': '_codec',
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
    'REPORT_HEAD_BYTES': '_part',
    'REPORT_ROW_BYTES': '_part',
    'MovesOutside': '_part',
    'MovesPart': '_part',
    'decide': '_planning',
    'Situation': '_planning',
    'DriverParts': '_session',
    'MoveSession': '_session',
    'SessionState': '_session',
    'KnownMove': '_table',
    'MoveTable': '_table',
}

__getattr__ = lazy_exports(__name__, _MODULE_BY_NAME)
