"""State of one shared limit on one instance."""

import dataclasses
import math

from skylarktack import state
from skylarktack.coordination.limits import _scopes

#: Time in which a recent need falls to about a third.
NEED_DECAY_S = 2.0

#: Room above the recent need that is kept or asked for.
HEADROOM = 1.1

#: Rates below this count as none.
RATE_FLOOR = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """A part of this instance's share that another one may use."""

    #: Serial number of the loan.
    serial: int

    #: Slots, or requests a second.
    amount: float


@dataclasses.dataclass(frozen=True, slots=True)
class Borrowed:
    """A part of another instance's share that this one may use."""

    #: Serial number of the loan.
    serial: int

    #: Slots, or requests a second, less what was given back.
    kept: float

    #: Amount granted under the serial number.
    granted: float

    #: Monotonic time at which the lender was last heard.
    heard_s: float

    #: Amount down to which the lender asks for it back.
    recalled: float = math.inf


class Ledger:
    """Requests, recent need and loans of one scope.

    Owned by the share book and used under its lock.
    """

    def __init__(self, scope: _scopes.Scope, now_s: float) -> None:
        self._is_rate = scope.resource is _scopes.Resource.RATE
        self.running_count = 0
        self.waiting_count = 0
        self.lent: dict[state.InstanceName, Lent] = {}
        self.borrowed: dict[state.InstanceName, Borrowed] = {}
        self.used_s = now_s
        self.wanted_s = -math.inf
        self._need = 0.0
        self._need_s = now_s
        self._tokens = 0.0
        self._refilled_s = now_s

    def allowance(
        self, base: float, now_s: float, settings: state.LimitSettings
    ) -> float:
        """Return what this instance may use at present."""
        own = base
        for loan in self.lent.values():
            own -= loan.amount
        allowed = max(0.0, own)
        for held in self.borrowed.values():
            # A lender that is not heard may be cut off; it goes on counting
            # the loan as lent, so nothing is exceeded.
            if now_s - held.heard_s <= settings.loan_ttl_ms / 1000:
                allowed += held.kept
        return allowed

    def request(self, now_s: float) -> None:
        """Count one arrival."""
        self.used_s = now_s
        if self._is_rate:
            # An exponential window: the sum of arrivals over its length is
            # the mean rate.
            self._need = self.need(now_s) + 1 / NEED_DECAY_S
            self._need_s = now_s
            return
        self._raise_need(now_s, self.running_count + self.waiting_count + 1)

    def need(self, now_s: float) -> float:
        """Return the recent need: slots, or requests a second."""
        decayed = self._need * math.exp((self._need_s - now_s) / NEED_DECAY_S)
        if self._is_rate:
            return decayed
        return max(decayed, float(self.running_count + self.waiting_count))

    def kept_need(self, now_s: float) -> float:
        """Return what is kept for the recent need, with some room."""
        wanted = self.need(now_s) * HEADROOM
        if self._is_rate:
            return wanted if wanted > RATE_FLOOR else 0.0
        # Half a slot of decayed need keeps no slot.
        return float(max(0, math.ceil(wanted - 0.6)))

    def may_start(self, allowance: float, now_s: float, burst: float) -> bool:
        """Return whether one more request fits."""
        if not self._is_rate:
            return self.running_count + 1 <= allowance + 1e-9
        self._refill(allowance, now_s, burst)
        return self._tokens >= 1 - 1e-9

    def start(self, now_s: float) -> None:
        """Take one slot or token."""
        self.used_s = now_s
        if self._is_rate:
            self._tokens -= 1
            return
        self.running_count += 1
        self._raise_need(now_s, self.running_count + self.waiting_count)

    def finish(self, now_s: float) -> None:
        """Give one slot back; tokens stay used."""
        self.used_s = now_s
        if not self._is_rate:
            self.running_count -= 1

    def token_delay_s(self, allowance: float) -> float | None:
        """Return the time until the next token, or None for slots."""
        if not self._is_rate:
            return None
        return max(0.0, 1 - self._tokens) / max(allowance, 1e-3)

    def is_idle(self, now_s: float, idle_s: float) -> bool:
        """Return whether nothing is lost when the ledger is dropped."""
        if self.running_count or self.waiting_count:
            return False
        if self.lent or self.borrowed:
            return False
        return now_s - self.used_s > idle_s

    def _raise_need(self, now_s: float, count: int) -> None:
        self._need = max(self.need(now_s), float(count))
        self._need_s = now_s

    def _refill(self, allowance: float, now_s: float, burst: float) -> None:
        # A bucket smaller than one token would admit nothing.
        most = max(1.0, allowance * burst)
        earned = (now_s - self._refilled_s) * allowance
        self._tokens = min(most, self._tokens + max(0.0, earned))
        self._refilled_s = now_s
