"""Generations that arrive whole."""

from skylarktack.coordination.generation._attempt import AttemptEnd
from skylarktack.coordination.generation._cancels import AttemptCanceller
from skylarktack.coordination.generation._feed import GenerationPump
from skylarktack.coordination.generation._feed import GenerationSubscription
from skylarktack.coordination.generation._messages import (
    CancelGenerationRequest,
)
from skylarktack.coordination.generation._messages import (
    CancelGenerationResponse,
)
from skylarktack.coordination.generation._messages import ReadGenerationRequest
from skylarktack.coordination.generation._messages import (
    ReadGenerationResponse,
)
from skylarktack.coordination.generation._parts import GenerationDependencies
from skylarktack.coordination.generation._request_ids import create_request_id
from skylarktack.coordination.generation._request_ids import minting_instance
from skylarktack.coordination.generation._results import Completed
from skylarktack.coordination.generation._results import DeliveredToken
from skylarktack.coordination.generation._results import Failed
from skylarktack.coordination.generation._results import GenerationEvent
from skylarktack.coordination.generation._results import HandedOver
from skylarktack.coordination.generation._results import Idle
from skylarktack.coordination.generation._results import Restarted
from skylarktack.coordination.generation._results import TokenBatch
from skylarktack.coordination.generation._runner import GenerationRunner
from skylarktack.coordination.generation._service import DrainReport
from skylarktack.coordination.generation._service import GenerationService
from skylarktack.coordination.generation._service import RouteFinder
from skylarktack.coordination.generation._silence import SilenceBound

__all__ = [
    'AttemptCanceller',
    'AttemptEnd',
    'CancelGenerationRequest',
    'Completed',
    'DeliveredToken',
    'TokenBatch',
    'DrainReport',
    'Failed',
    'CancelGenerationResponse',
    'GenerationSubscription',
    'ReadGenerationResponse',
    'GenerationDependencies',
    'GenerationPump',
    'GenerationRunner',
    'GenerationService',
    'GenerationEvent',
    'HandedOver',
    'Idle',
    'ReadGenerationRequest',
    'Restarted',
    'RouteFinder',
    'SilenceBound',
    'create_request_id',
    'minting_instance',
]
