"""Finds the prompt part under which engines crashed, if there is one.

A part may crash each engine that begins to generate after it, whatever else
the prompt holds. All runs of such an engine are lost with it, and the prompt
has other parts that many requests share, so one loss is evidence against many
parts. The part that most losses have in common is their cause, and explains
what else was lost with these engines.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class EvidenceLimits:
    """How much evidence makes a prompt part the cause of losses."""

    #: Number of separate moments at which an engine that had not crashed under
    #: the part before crashed under it.
    min_moment_count: int = 3

    #: The same for a part with which some run has produced output: it needs
    #: more evidence, since engines have run it without a crash.
    min_moment_count_after_output: int = 5

    #: Losses are one moment while each follows the one before within the gap,
    #: up to the length. A failure domain or all engines crash together, and a
    #: popular part is lost at each of them.
    moment_gap_s: float = 0.1
    moment_length_s: float = 0.3

    #: Age from which a loss no longer counts.
    window_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Loss:
    """A run that had not yet produced output when its engine crashed."""

    engine: str

    #: Shared parts of the run's prompt, in order.
    part_ids: tuple[str, ...]

    #: Monotonic time.
    at_s: float


@dataclasses.dataclass(frozen=True)
class Cause:
    """A prompt part under which engines crashed."""

    part_id: str

    #: Number of separate moments at which an engine crashed.
    moment_count: int


def find_causes(
    losses: Sequence[Loss],
    output_at_s: Mapping[str, float],
    limits: EvidenceLimits,
) -> tuple[Cause, ...]:
    """Return the parts that explain the losses, the strongest first.

    :param losses: recent losses of all instances.
    :param output_at_s: for each part with which a run has produced output,
        the time at which the last one did. Earlier losses do not count.
    """
    causes: list[Cause] = []
    unexplained = list(losses)
    while True:
        cause = _strongest_cause(unexplained, output_at_s, limits)
        if cause is None:
            return tuple(causes)
        causes.append(cause)
        losses_of_cause = [
            loss for loss in unexplained if cause.part_id in loss.part_ids
        ]
        unexplained = [
            loss
            for loss in unexplained
            if not _is_explained(loss, losses_of_cause, limits.moment_length_s)
        ]


def is_sufficient(
    part_id: str,
    losses: Sequence[Loss],
    output_at_s: Mapping[str, float],
    limits: EvidenceLimits,
) -> bool:
    """Return whether the losses suffice if they have no other cause."""
    of_part = [loss for loss in losses if part_id in loss.part_ids]
    return _count_if_sufficient(part_id, of_part, output_at_s, limits) > 0


def _strongest_cause(
    losses: Sequence[Loss],
    output_at_s: Mapping[str, float],
    limits: EvidenceLimits,
) -> Cause | None:
    """Return the part that most losses have in common, if they suffice.

    Among equals, a part without any output goes first, then the one that is
    later in its prompts: earlier parts are shared more widely.
    """
    losses_by_part: dict[str, list[Loss]] = {}
    position_by_part: dict[str, int] = {}
    for loss in losses:
        for position, part_id in enumerate(loss.part_ids):
            losses_by_part.setdefault(part_id, []).append(loss)
            position_by_part[part_id] = position
    best: Cause | None = None
    best_rank = (0, False, 0)
    for part_id, of_part in losses_by_part.items():
        count = _count_if_sufficient(part_id, of_part, output_at_s, limits)
        if not count:
            continue
        position = position_by_part[part_id]
        rank = (count, part_id not in output_at_s, position)
        if rank > best_rank:
            best = Cause(part_id, count)
            best_rank = rank
    return best


def _count_if_sufficient(
    part_id: str,
    of_part: Sequence[Loss],
    output_at_s: Mapping[str, float],
    limits: EvidenceLimits,
) -> int:
    """Return the number of moments, or 0 if they are too few.

    :param of_part: losses of runs with the part.
    """
    required = limits.min_moment_count
    if part_id in output_at_s:
        required = limits.min_moment_count_after_output
    counts_from_s = output_at_s.get(part_id, -math.inf)
    count = _moment_count(of_part, counts_from_s, limits)
    return count if count >= required else 0


def _moment_count(
    losses: Sequence[Loss], counts_from_s: float, limits: EvidenceLimits
) -> int:
    """Return at how many moments another engine crashed."""
    first_by_engine: dict[str, float] = {}
    for loss in losses:
        if loss.at_s <= counts_from_s:
            continue
        known_s = first_by_engine.get(loss.engine, math.inf)
        first_by_engine[loss.engine] = min(known_s, loss.at_s)
    count = 0
    began_at_s = previous_s = -math.inf
    for at_s in sorted(first_by_engine.values()):
        is_same_moment = (
            at_s < previous_s + limits.moment_gap_s
            and at_s < began_at_s + limits.moment_length_s
        )
        previous_s = at_s
        if is_same_moment:
            continue
        count += 1
        began_at_s = at_s
    return count


def _is_explained(
    loss: Loss, losses_of_cause: Sequence[Loss], moment_s: float
) -> bool:
    """Return whether the run was lost with an engine that a cause crashed."""
    for other in losses_of_cause:
        if loss.engine != other.engine:
            continue
        if abs(loss.at_s - other.at_s) < moment_s:
            return True
    return False
