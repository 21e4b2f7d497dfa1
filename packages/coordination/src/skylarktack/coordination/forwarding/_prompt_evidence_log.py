"""Evidence about prompt parts, and what reports tell of it."""

import collections
from collections.abc import Sequence
import math
from typing import TypeVar

from skylarktack.coordination.forwarding import _prompt_losses
from skylarktack.state import forwarding as data

#: Bounds of the memory; what is oldest is forgotten first.
MAX_LOSS_COUNT = 128
MAX_OUTPUT_COUNT = 4096

#: Bounds of a report: losses, outputs, and the parts of all its losses. The
#: oldest losses are left out, but never all.
MAX_REPORTED_COUNT = 8
MAX_REPORTED_PART_COUNT = 64

#: Time for which full reports repeat evidence, since a datagram may be lost,
#: and within which losses of one engine with the same parts are one loss.
REPEAT_S = 30.0

_K = TypeVar('_K')
_V = TypeVar('_V')


class PromptEvidenceLog:
    """Losses and outputs that this instance saw or that peers reported.

    Times are monotonic. The caller serialises all calls.
    """

    def __init__(self, window_s: float) -> None:
        """Create an empty log.

        :param window_s: age from which a loss is forgotten.
        """
        self._window_s = window_s
        #: Losses of all instances; the value tells whether this one saw it.
        self._losses: dict[_prompt_losses.Loss, bool] = {}
        #: When a run with a part last produced output.
        self.output_at_s: dict[str, float] = {}
        #: The newest of these times that was reported by any instance.
        self._reported_at_s: dict[str, float] = {}
        #: Losses and parts that the next report has.
        self._new_losses: collections.deque[_prompt_losses.Loss] = (
            collections.deque(maxlen=MAX_REPORTED_COUNT)
        )
        self._new_outputs: dict[str, None] = {}

    @property
    def losses(self) -> tuple[_prompt_losses.Loss, ...]:
        """Return the losses of all instances."""
        return tuple(self._losses)

    @property
    def has_new_outputs(self) -> bool:
        """Return whether outputs wait for the next report."""
        return bool(self._new_outputs)

    def record_loss(self, loss: _prompt_losses.Loss) -> None:
        """Add a loss that this instance saw, and report it."""
        self._add_loss(loss, loss.at_s, is_own=True)
        self._new_losses.append(loss)

    def apply_loss(self, loss: _prompt_losses.Loss, now_s: float) -> bool:
        """Add a reported loss; return False if it is known or too old."""
        return self._add_loss(loss, now_s, is_own=False)

    def put_output(self, part_id: str, at_s: float) -> None:
        """Record that a run with a part produced output."""
        known_s = self.output_at_s.pop(part_id, -math.inf)
        self.output_at_s[part_id] = max(known_s, at_s)
        for forgotten in drop_oldest(self.output_at_s, MAX_OUTPUT_COUNT):
            self._reported_at_s.pop(forgotten, None)
            self._new_outputs.pop(forgotten, None)

    def discount_losses(self, part_id: str, now_s: float) -> None:
        """Stop counting earlier losses with a part, here and at the peers.

        Recorded as an output, which reports carry.
        """
        self.put_output(part_id, now_s)
        self.report_output(part_id)

    def apply_output(self, part_id: str, at_s: float) -> None:
        """Record an output that another instance reported."""
        self.put_output(part_id, at_s)
        self._put_reported(part_id, at_s)

    def report_output(self, part_id: str) -> None:
        """Put the output of a part into the next report."""
        self._new_outputs[part_id] = None

    def offer_output(self, part_id: str) -> None:
        """Report an earlier output of a part unless another one did."""
        if part_id not in self.output_at_s:
            return
        if part_id not in self._reported_at_s:
            self._new_outputs[part_id] = None

    def is_output_awaited(self, part_id: str, now_s: float) -> bool:
        """Return whether a loss with the part is newer than its reports."""
        reported_s = self._reported_at_s.get(part_id, -math.inf)
        for loss in self._losses:
            if part_id in loss.part_ids and reported_s <= loss.at_s <= now_s:
                return True
        return False

    def take_losses(
        self, is_full: bool, now_s: float
    ) -> tuple[data.PromptLoss, ...]:
        """Return the losses of a report.

        :param is_full: whether recent losses are repeated.
        """
        losses = list(self._new_losses)
        self._new_losses.clear()
        if is_full:
            losses = self._recent_own_losses(now_s)
        return _reported_losses(losses, now_s)

    def take_outputs(
        self, is_full: bool, now_s: float
    ) -> tuple[data.PromptOutput, ...]:
        """Return the outputs of a report.

        :param is_full: whether recent outputs are repeated.
        """
        part_ids = list(self._new_outputs)
        self._new_outputs.clear()
        if is_full:
            part_ids = [*self._recent_outputs(part_ids, now_s), *part_ids]
        outputs = []
        for part_id in part_ids[-MAX_REPORTED_COUNT:]:
            at_s = self.output_at_s.get(part_id)
            if at_s is None:
                continue
            self._put_reported(part_id, at_s)
            outputs.append(data.PromptOutput(part_id, age_ms(now_s, at_s)))
        return tuple(outputs)

    def _add_loss(
        self, loss: _prompt_losses.Loss, now_s: float, is_own: bool
    ) -> bool:
        oldest_s = now_s - self._window_s
        for known in list(self._losses):
            if known.at_s < oldest_s:
                del self._losses[known]
                continue
            if known.engine != loss.engine or known.part_ids != loss.part_ids:
                continue
            if abs(known.at_s - loss.at_s) < REPEAT_S:
                return False
        if loss.at_s < oldest_s:
            return False
        self._losses[loss] = is_own
        drop_oldest(self._losses, MAX_LOSS_COUNT)
        return True

    def _put_reported(self, part_id: str, at_s: float) -> None:
        known_s = self._reported_at_s.get(part_id, -math.inf)
        self._reported_at_s[part_id] = max(known_s, at_s)

    def _recent_own_losses(self, now_s: float) -> list[_prompt_losses.Loss]:
        recent = []
        for loss, is_own in self._losses.items():
            if is_own and now_s - loss.at_s < REPEAT_S:
                recent.append(loss)
        return recent

    def _recent_outputs(
        self, excluded: Sequence[str], now_s: float
    ) -> list[str]:
        recent = []
        for part_id, at_s in self._reported_at_s.items():
            if now_s - at_s < REPEAT_S and part_id not in excluded:
                recent.append(part_id)
        return recent


def drop_oldest(entries: dict[_K, _V], limit_count: int) -> list[_K]:
    """Remove the first entries beyond a limit; return their keys."""
    dropped = []
    while len(entries) > limit_count:
        key = next(iter(entries))
        del entries[key]
        dropped.append(key)
    return dropped


def age_ms(now_s: float, at_s: float) -> int:
    """Return the time since a moment, 0 if it is in the future."""
    return max(0, round(1000 * (now_s - at_s)))


def _reported_losses(
    losses: Sequence[_prompt_losses.Loss], now_s: float
) -> tuple[data.PromptLoss, ...]:
    """Return the newest losses, as many as a report may have."""
    reported: list[data.PromptLoss] = []
    part_count = 0
    for loss in reversed(losses[-MAX_REPORTED_COUNT:]):
        part_count += len(loss.part_ids)
        if reported and part_count > MAX_REPORTED_PART_COUNT:
            break
        reported.append(
            data.PromptLoss(
                loss.engine, loss.part_ids, age_ms(now_s, loss.at_s)
            )
        )
    return tuple(reported)
