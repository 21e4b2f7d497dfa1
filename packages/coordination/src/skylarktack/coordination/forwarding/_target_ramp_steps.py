"""One ramp: how the allowance of a target rises and falls, and its end."""

import dataclasses
import enum
import math

from skylarktack.coordination.forwarding import _target_ramp_ranks
from skylarktack.state import forwarding as data

#: Time without responses of the target after which twice as many instances may
#: send to it: those that rank first may have no requests.
GROWTH_PERIOD_S = 0.3

#: Longest such time. Responses of overloaded targets take long, and what
#: waits there could go to the new ones.
MAX_GROWTH_PERIOD_S = 1.0

#: A ramp ends when the target has given nothing but sound responses for this
#: time, whatever its allowance is.
STEADY_S = 3.0

#: A ramp ends at this age, counted from the last failure if there was one: a
#: target that nobody sends to gives no responses.
MAX_AGE_S = 10.0

#: Share of an engine's slots at which its allowance starts. Its first sign of
#: health comes after a whole prefill, so an allowance that starts at one
#: would take seconds to rise, while the engines of the other domains do the
#: work of a lost one. A quarter of the slots is less than the KV cache holds
#: where it holds a third of the slots or more.
ENGINE_START_SHARE = 0.25

#: Largest exponent of two that is computed; more would exceed all slots.
_MAX_DOUBLING_COUNT = 20


class RampCause(enum.Enum):
    """Why a target is ramped up."""

    #: A new name, or a later start of a known one. A crash is seen as this.
    LISTED = 'new'

    #: Its entry came back after it had expired; it did not start anew.
    RELISTED = 'back in the list'

    EJECTION = 'back after an ejection'
    PAUSE = 'back after a pause'


class RampEnd(enum.Enum):
    """Why a ramp ended."""

    ALLOWANCE = 'allowance reached the slots'
    STEADY = 'sound responses only'
    AGE = 'age'
    EXCLUDED = 'excluded again'
    REMOVED = 'removed'


@dataclasses.dataclass(frozen=True)
class Ramp:
    """The state of one ramp at one instance."""

    target: data.ListedTarget

    cause: RampCause

    #: Place of this instance among those that may send to the target.
    rank: _target_ramp_ranks.Rank

    #: Monotonic time from which the age counts.
    began_at_s: float

    #: Time from which reports of peers count; earlier ones may tell of the
    #: time before the target was excluded.
    peers_count_from_s: float

    #: Requests at a time that the fleet may have at the target.
    allowance: int

    #: Times of the last response of any kind, setback and failure.
    heard_at_s: float
    setback_at_s: float = -math.inf
    failed_at_s: float = -math.inf

    #: Sound responses since the last setback.
    sound_count: int = 0

    def with_sound(self, count: int, now_s: float) -> 'Ramp':
        """Return the ramp after a number of sound responses."""
        doublings = min(count, _MAX_DOUBLING_COUNT)
        return dataclasses.replace(
            self,
            allowance=min(
                slot_count(self.target), self.allowance << doublings
            ),
            heard_at_s=now_s,
            sound_count=self.sound_count + count,
        )

    def with_setback(self, now_s: float, is_failure: bool = False) -> 'Ramp':
        """Return the ramp after a refusal, a failure or a slow response."""
        return dataclasses.replace(
            self,
            allowance=max(1, self.allowance // 2),
            heard_at_s=now_s,
            setback_at_s=now_s,
            failed_at_s=now_s if is_failure else self.failed_at_s,
            sound_count=0,
        )

    def admitted_count(self, now_s: float, usual_s: float) -> int:
        """Return the requests at a time that the fleet may have there now.

        With no response the number doubles each period, up to the slots. A
        period is no shorter than a usual response, since none can come
        earlier. As no more than the slots are filled, nothing has to wait at
        the target where reports of peers are seconds old.
        """
        period_s = min(max(GROWTH_PERIOD_S, usual_s), MAX_GROWTH_PERIOD_S)
        doublings = int(max(0.0, now_s - self.heard_at_s) / period_s)
        count = self.allowance << min(doublings, _MAX_DOUBLING_COUNT)
        return min(slot_count(self.target), count)

    def own_limit(self, now_s: float, usual_s: float) -> int:
        """Return how many of these this instance may have.

        The instances that rank first have one more than the others.
        """
        share, extra_count = divmod(
            self.admitted_count(now_s, usual_s), self.rank.instance_count
        )
        return share + (self.rank.position < extra_count)

    def end(self, now_s: float) -> RampEnd | None:
        """Return why the ramp has ended, or None if it goes on."""
        if self.sound_count and self.allowance >= slot_count(self.target):
            return RampEnd.ALLOWANCE
        sound_since_s = max(self.began_at_s, self.setback_at_s)
        if self.sound_count and now_s - sound_since_s >= STEADY_S:
            return RampEnd.STEADY
        if now_s - max(self.began_at_s, self.failed_at_s) >= MAX_AGE_S:
            return RampEnd.AGE
        return None


def slot_count(target: data.ListedTarget) -> int:
    """Return the slots of a target, at least 1."""
    return max(1, target.slot_count)


def first_allowance(target: data.ListedTarget) -> int:
    """Return the requests at a time with which a ramp begins.

    Engines are often ejected for a pause between events while they work, so
    an ejection does not lower their share: the rest would be overloaded.
    """
    if not target.models:
        return 1
    return max(1, int(ENGINE_START_SHARE * target.slot_count))
