"""Quarantined prompt parts, the settings, and what is decided on requests."""

import dataclasses

from skylarktack.coordination.forwarding import _prompt_losses
from skylarktack.state import forwarding as data

#: Parts of a prompt beyond these, and parts with longer identifiers, are not
#: observed.
MAX_PART_COUNT = 32
MAX_PART_ID_CHARS = 64


@dataclasses.dataclass(frozen=True)
class QuarantineSettings:
    """When a prompt part is quarantined, and for how long."""

    limits: _prompt_losses.EvidenceLimits = dataclasses.field(
        default_factory=_prompt_losses.EvidenceLimits
    )

    #: Time for which an engine sends events of a run until the run is evidence
    #: that its parts crash no engine.
    output_s: float = 0.5

    #: Share of the requests from which a part is never quarantined: refusing
    #: nearly all requests would be an outage, and the engines are at fault.
    max_request_share: float = 0.9

    #: Length of the first quarantine; each probe run doubles it.
    quarantine_s: float = 60.0

    #: Maximum number of probe runs of the fleet. After them the quarantine
    #: lasts until no request has named the part for ``idle_s``.
    max_probe_count: int = 3
    idle_s: float = 600.0

    #: Time that an instance leaves to each one of a lower rank to send the
    #: probe run first.
    probe_stagger_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """A quarantined prompt part."""

    part_id: str

    #: Monotonic times of its beginning and of its end.
    began_at_s: float
    until_s: float

    #: Probe runs of the fleet so far.
    probe_count: int = 0


@dataclasses.dataclass(frozen=True)
class QuarantineRefusal:
    """Why a request is not sent to an engine."""

    part_id: str

    #: Time until the part may be tried again.
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class PromptAdmission:
    """Whether a new request may be sent to an engine."""

    #: None for a request that may be sent.
    refusal: QuarantineRefusal | None

    #: Whether the request is the probe of a quarantined part.
    is_probe: bool = False


def observed_parts(request: data.FrontRequest) -> tuple[str, ...]:
    """Return the parts of a prompt that other requests may share.

    The last part belongs to the request or to its session.
    """
    part_ids: dict[str, None] = {}
    for part in request.prompt_parts[:-1]:
        if len(part.part_id) <= MAX_PART_ID_CHARS:
            part_ids[part.part_id] = None
    return tuple(part_ids)[:MAX_PART_COUNT]
