"""Log events of the choice of targets for calls."""

import dataclasses

from skylarktack.coordination.forwarding import _events

#: Names of the decisions that are counted for the metrics.
NO_ROOM = 'no_room'
TRIAL = 'trial'
UNRESPONSIVE = 'unresponsive'
LOAD_UNUSABLE = 'load_unusable'
CALL_DECISIONS = (NO_ROOM, TRIAL, UNRESPONSIVE, LOAD_UNUSABLE)


@dataclasses.dataclass(frozen=True)
class TargetUnresponsive(_events.LogEvent):
    """A target has not answered a call for much longer than usual."""

    part = 'target'
    message = 'unresponsive'

    target: str

    #: Time since the call was sent.
    waited_ms: int

    #: Whether peers were notified: no instance had an answer since another
    #: call failed or was overdue as well.
    is_certain: bool


@dataclasses.dataclass(frozen=True)
class TargetResponsive(_events.LogEvent):
    """A target that was taken for unresponsive answers again."""

    part = 'target'
    message = 'responsive again'

    target: str


@dataclasses.dataclass(frozen=True)
class TargetLoadUnusable(_events.LogEvent):
    """A target's load header has a figure that cannot be used."""

    part = 'target'
    message = 'load header is unusable'

    target: str

    #: Start of the header's value.
    value: str

    #: Unusable headers since the start of the instance, some of which were
    #: not logged.
    count: int
