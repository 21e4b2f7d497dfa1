"""Generations that survive the loss of engines and instances."""

from skylarktack.coordination.generation._attempt import AttemptEnd
from skylarktack.coordination.generation._cancels import AttemptCanceller
from skylarktack.coordination.generation._dependencies import (
    GenerationDependencies,
)
from skylarktack.coordination.generation._events import Completed
from skylarktack.coordination.generation._events import DeliveredToken
from skylarktack.coordination.generation._events import Failed
from skylarktack.coordination.generation._events import GenerationEvent
from skylarktack.coordination.generation._events import HandedOver
from skylarktack.coordination.generation._events import Idle
from skylarktack.coordination.generation._events import Restarted
from skylarktack.coordination.generation._events import TokenBatch
from skylarktack.coordination.generation._inactivity import InactivityTimeout
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
from skylarktack.coordination.generation._request_ids import create_request_id
from skylarktack.coordination.generation._request_ids import issuing_instance
from skylarktack.coordination.generation._runner import GenerationRunner
from skylarktack.coordination.generation._service import DrainReport
from skylarktack.coordination.generation._service import GenerationService
from skylarktack.coordination.generation._service import RouteFinder
from skylarktack.coordination.generation._subscription import (
    GenerationSubscription,
)
from skylarktack.coordination.generation._subscription import SharedGeneration

__all__ = [
    'AttemptCanceller',
    'AttemptEnd',
    'CancelGenerationRequest',
    'CancelGenerationResponse',
    'Completed',
    'DeliveredToken',
    'DrainReport',
    'Failed',
    'GenerationDependencies',
    'GenerationEvent',
    'GenerationRunner',
    'GenerationService',
    'GenerationSubscription',
    'HandedOver',
    'Idle',
    'InactivityTimeout',
    'ReadGenerationRequest',
    'ReadGenerationResponse',
    'Restarted',
    'RouteFinder',
    'SharedGeneration',
    'TokenBatch',
    'create_request_id',
    'issuing_instance',
]
