"""Types that the forwarding of a stream and its relays share."""

import dataclasses
from typing import Protocol

from skylarktack.coordination.forwarding import _budget
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _outcomes
from skylarktack.coordination.forwarding import _ports
from skylarktack.coordination.forwarding import _prompt_quarantine
from skylarktack.coordination.forwarding import _supervision
from skylarktack.coordination.forwarding import _targets
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data


@dataclasses.dataclass(frozen=True)
class StreamDependencies:
    """Dependencies of the stream forwarder."""

    clock: Clock

    targets: _targets.TargetTable

    client: _ports.TargetClient

    #: Announces the runs of this instance to the fleet.
    fleet: _fleet.FleetView

    budget: _budget.RetryBudget

    #: Refuses requests with prompt parts that crash engines.
    quarantine: _prompt_quarantine.PromptQuarantine

    #: Creates a splitter for the bytes that one engine sends.
    new_splitter: type[_ports.EventSplitter]

    #: Records errors of copies and run reports, which no stream depends on.
    errors: _supervision.ErrorRecorder


@dataclasses.dataclass
class StreamProgress:
    """Progress of a stream over all engines; the relays update it."""

    #: Id of the last event that was sent to the caller, or that the caller
    #: named in its request; None if there is none.
    last_event_id: int | None

    #: Whether the head of the response was sent to the caller.
    has_started: bool = False

    #: Monotonic time at which events were last sent to the caller, or None.
    last_sent_at_s: float | None = None

    #: Whether the stream was moved away from an engine that answered probes
    #: but produced no first event, or only one that was overdue.
    has_abandoned_hung_engine: bool = False

    #: Last response in which an engine reported its own failure, or None.
    failure: data.FrontResponse | None = None

    #: Number of non-stream responses of engines that executed the request.
    failure_count: int = 0


class FailoverReservation(Protocol):
    """Secures that a run can go on at another engine."""

    def reserve(
        self, engine: data.ListedTarget, copy: data.RunCopy | None
    ) -> str | None:
        """Reserve what the next send needs, or return what is missing.

        :param engine: engine that the run would leave.
        :param copy: copy from which the run would go on, or None.
        """
        ...

    def reserve_move(self, engine: data.ListedTarget) -> str | None:
        """Reserve a send for a run that leaves an engine that works.

        See :meth:`reserve`. The engine may go on with the run, so it counts
        towards the targets that the route allows.
        """
        ...


@dataclasses.dataclass(frozen=True)
class StreamFinished:
    """The attempt ended the whole stream."""

    outcome: _outcomes.StreamOutcome


@dataclasses.dataclass(frozen=True)
class AttemptNotExecuted:
    """The engine did not execute the request."""

    #: Cause, for the log.
    detail: str

    #: Whether the request reached the engine.
    has_arrived: bool


@dataclasses.dataclass(frozen=True)
class AttemptLost:
    """The engine failed, and another one has to continue the stream."""

    #: Cause, for the log.
    detail: str

    #: Copy from which another engine can go on with the run, or None.
    copy: data.RunCopy | None

    #: Whether the connection was lost before the engine produced output.
    is_lost_before_output: bool = False


AttemptEnd = StreamFinished | AttemptNotExecuted | AttemptLost
