"""Generations that arrive whole."""

from skylarktack.coordination.generation._results import Completed
from skylarktack.coordination.generation._results import DeliveredToken
from skylarktack.coordination.generation._results import Delivery
from skylarktack.coordination.generation._results import Failed
from skylarktack.coordination.generation._results import GenerationStep
from skylarktack.coordination.generation._runner import GenerationParts
from skylarktack.coordination.generation._runner import GenerationRunner

__all__ = [
    'Completed',
    'DeliveredToken',
    'Delivery',
    'Failed',
    'GenerationParts',
    'GenerationRunner',
    'GenerationStep',
]
