"""How forwarded requests end, and the notes that explain it."""

import dataclasses
import enum

from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed the connection before the end."""


@dataclasses.dataclass(frozen=True)
class StreamCompleted:
    """A stream was delivered up to its end."""


@dataclasses.dataclass(frozen=True)
class StreamInterrupted:
    """A stream was begun and cannot be finished; the caller resumes it."""

    #: Cause, for logs.
    detail: str


CallOutcome = data.FrontResponse | data.Refusal | CallerDisconnected
StreamOutcome = (
    data.FrontResponse
    | data.Refusal
    | CallerDisconnected
    | StreamCompleted
    | StreamInterrupted
)


class ExecutionState(enum.Enum):
    """What is known about whether a request has run."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


@dataclasses.dataclass(frozen=True)
class RequestStep:
    """One decision about a request."""

    #: Time since the request was read.
    at_ms: float

    #: What was decided.
    step: str

    #: What decided it.
    inputs: dict[str, object]


class RequestTrace:
    """Collects the decisions about one request until it ends."""

    def __init__(self, started_at_s: float) -> None:
        self.started_at_s = started_at_s
        self.steps: list[RequestStep] = []

    def record(self, now_s: float, step: str, **inputs: object) -> None:
        """Add a decision with the inputs that decided it."""
        at_ms = round((now_s - self.started_at_s) * 1000, 1)
        self.steps.append(RequestStep(at_ms, step, inputs))
