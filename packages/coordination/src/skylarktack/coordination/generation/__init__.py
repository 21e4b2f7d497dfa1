"""Generations that arrive whole."""

from skylarktack.coordination.generation._attempt import AttemptEnd
from skylarktack.coordination.generation._cancels import AttemptCanceller
from skylarktack.coordination.generation._feed import GenerationFeed
from skylarktack.coordination.generation._feed import GenerationPump
from skylarktack.coordination.generation._messages import CancelGeneration
from skylarktack.coordination.generation._messages import GenerationCancelled
from skylarktack.coordination.generation._messages import GenerationPart
from skylarktack.coordination.generation._messages import ReadGeneration
from skylarktack.coordination.generation._parts import GenerationParts
from skylarktack.coordination.generation._request_ids import mint_request_id
from skylarktack.coordination.generation._request_ids import minting_instance
from skylarktack.coordination.generation._results import Completed
from skylarktack.coordination.generation._results import DeliveredToken
from skylarktack.coordination.generation._results import Delivery
from skylarktack.coordination.generation._results import Failed
from skylarktack.coordination.generation._results import GenerationStep
from skylarktack.coordination.generation._results import HandedOver
from skylarktack.coordination.generation._results import Idle
from skylarktack.coordination.generation._results import Restarted
from skylarktack.coordination.generation._runner import GenerationRunner
from skylarktack.coordination.generation._service import DrainReport
from skylarktack.coordination.generation._service import GenerationService
from skylarktack.coordination.generation._service import RouteFinder
from skylarktack.coordination.generation._silence import SilenceBound

__all__ = [
    'AttemptCanceller',
    'AttemptEnd',
    'CancelGeneration',
    'Completed',
    'DeliveredToken',
    'Delivery',
    'DrainReport',
    'Failed',
    'GenerationCancelled',
    'GenerationFeed',
    'GenerationPart',
    'GenerationParts',
    'GenerationPump',
    'GenerationRunner',
    'GenerationService',
    'GenerationStep',
    'HandedOver',
    'Idle',
    'ReadGeneration',
    'Restarted',
    'RouteFinder',
    'SilenceBound',
    'mint_request_id',
    'minting_instance',
]
