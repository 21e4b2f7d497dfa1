"""What the parts of one stream share."""

import dataclasses

from skylarktack.coordination.forwarding import _budget
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class StreamDependencies:
    """What the forwarding of streams is made of."""

    #: Source of time.
    clock: Clock

    #: Known targets.
    targets: _targets.TargetTable

    #: Sends requests.
    client: _ports.TargetClient

    #: Runs of the fleet.
    fleet: _fleet.FleetView

    #: Budget of repeats.
    budget: _budget.RetryBudget

    #: Makes a splitter for the bytes of one stream.
    new_splitter: type[_ports.EventSplitter]


@dataclasses.dataclass
class StreamProgress:
    """What the caller has received so far; changes with each event."""

    #: Id of the last event that the caller has, or None.
    last_event_id: int | None

    #: Whether the head of the answer was sent.
    has_started: bool = False

    #: Monotonic time of the last events that were passed on, or None.
    passed_on_at_s: float | None = None

    #: Whether an engine was left that answered probes but made no event.
    has_left_hanging: bool = False

    #: Last failure that a target itself answered, or None.
    failure: data.FrontResponse | None = None

    #: Number of such failures.
    failure_count: int = 0


@dataclasses.dataclass(frozen=True)
class StreamFinished:
    """The whole stream has ended."""

    #: How.
    outcome: _outcomes.StreamOutcome


@dataclasses.dataclass(frozen=True)
class AttemptNotExecuted:
    """The engine did not run the request."""

    #: Cause, for logs.
    detail: str

    #: Whether the request reached the engine.
    has_arrived: bool


@dataclasses.dataclass(frozen=True)
class AttemptLost:
    """The engine stopped working on the run."""

    #: Cause, for logs.
    detail: str

    #: Whether another engine may keep a copy of the run.
    has_copy: bool


AttemptEnd = StreamFinished | AttemptNotExecuted | AttemptLost
