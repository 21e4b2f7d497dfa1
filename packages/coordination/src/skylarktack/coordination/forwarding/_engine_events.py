"""Log events of the policy that chooses engines."""

import dataclasses

from skylarktack.coordination.forwarding import _events


@dataclasses.dataclass(frozen=True)
class EngineForecastChanged(_events.LogEvent):
    """The engines of a service are chosen by another policy from now on."""

    part = 'engine'
    message = 'engine policy changed'

    service: str

    #: Whether engines are chosen by predicted times, or else by counts.
    is_forecast: bool

    #: What called for the change.
    cause: str
