"""Outcomes of forwarded requests, and the trace that explains them."""

import dataclasses

from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed the connection before the response was complete."""


@dataclasses.dataclass(frozen=True)
class StreamCompleted:
    """The whole stream was delivered."""


@dataclasses.dataclass(frozen=True)
class StreamInterrupted:
    """A started stream that cannot be finished; the caller may resume it."""

    #: Cause, for the log.
    detail: str


@dataclasses.dataclass(frozen=True)
class CutByExit:
    """The process exits before the request has ended."""


CallOutcome = data.FrontResponse | data.Refusal | CallerDisconnected
StreamOutcome = (
    data.FrontResponse
    | data.Refusal
    | CallerDisconnected
    | StreamCompleted
    | StreamInterrupted
)

#: Outcomes that are reported; no handler returns the last.
RequestOutcome = StreamOutcome | CutByExit


@dataclasses.dataclass(frozen=True)
class RequestStep:
    """One decision about a request."""

    #: Time since the request was read.
    at_ms: float

    #: Name of the decision.
    step: str

    #: Values on which the decision was based.
    inputs: dict[str, object]


class RequestTrace:
    """Collects the decisions about one request until it ends."""

    def __init__(self, started_at_s: float) -> None:
        self.started_at_s = started_at_s
        self.steps: list[RequestStep] = []
        #: Whether a target may have received the request.
        self.has_sent = False

    def record(self, now_s: float, step: str, **inputs: object) -> None:
        """Append a decision with the values on which it was based."""
        at_ms = round((now_s - self.started_at_s) * 1000, 1)
        self.steps.append(RequestStep(at_ms, step, inputs))

    def record_send(self, now_s: float, **inputs: object) -> None:
        """Record that the request is sent to a target now."""
        self.has_sent = True
        self.record(now_s, 'send', **inputs)
