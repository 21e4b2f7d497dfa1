"""Log events about the slow start of targets."""

import dataclasses

from skylarktack.coordination.forwarding import _events


@dataclasses.dataclass(frozen=True)
class TargetRampStarted(_events.LogEvent):
    """A target that is new or back gets few requests at first."""

    part = 'target'
    message = 'target ramp started'

    target: str
    service: str

    #: Value of ``RampCause``.
    cause: str

    #: Requests at a time that the fleet may have there.
    allowance: int

    #: Instances that go before this one at the target, of all instances.
    rank: int
    instances: int


@dataclasses.dataclass(frozen=True)
class TargetRampEnded(_events.LogEvent):
    """A target gets requests like any other again."""

    part = 'target'
    message = 'target ramp ended'

    target: str
    service: str

    #: Value of ``RampEnd``.
    cause: str

    after_ms: int

    #: Last allowance, and sound responses since the last setback.
    allowance: int
    sound_responses: int


@dataclasses.dataclass(frozen=True)
class RampObservationDropped(_events.LogEvent):
    """A peer reported figures of a target that cannot be; logged once."""

    part = 'fleet'
    message = 'absurd figures of a target dropped; later ones are not logged'

    target: str

    #: The figures as they were received.
    figures: str
