"""What instances tell each other about targets and about demand."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TargetObservation:
    """What one instance has seen of a target since its last report.

    Counts and samples are those since the last report that named the target,
    so that a receiver may add them up.
    """

    target: str

    #: Start of the target to which the figures belong, in milliseconds since
    #: the epoch; None if it is unknown.
    started_at_ms: int | None

    #: Mean unit time of the samples, in microseconds: the service time of a
    #: call, or the time between two events of an engine. 0 without samples.
    unit_time_us: int = 0
    sample_count: int = 0

    #: Newest load that the target reported, and its age; the age is None if
    #: no load is known.
    running_count: int = 0
    waiting_count: int = 0
    load_age_ms: int | None = None

    #: Responses, and failures among or beside them.
    answered_count: int = 0
    failed_count: int = 0


@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """Requests of one organisation for a service at one instance."""

    service: str

    #: Empty for requests without a key.
    organisation: str

    #: Requests, admitted or not, that arrived within the window.
    request_count: int

    window_ms: int
