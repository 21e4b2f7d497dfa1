"""Usage, demand and loans of one shared limit on one instance."""

import dataclasses
import math

from skylarktack import state
from skylarktack.coordination.limits import _scopes

#: Time constant with which recent demand decays (to about a third).
DEMAND_DECAY_S = 2.0

#: Factor above recent demand that is kept free or requested.
HEADROOM = 1.1

#: Demand below this rate counts as zero.
RATE_FLOOR = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class LentLoan:
    """Loan of a part of this instance's share to another instance."""

    #: Serial number, increased with each change of the amount.
    serial: int

    #: Slots, or requests per second.
    amount: float


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowedLoan:
    """Loan of a part of another instance's share to this instance."""

    #: Serial number given by the lender.
    serial: int

    #: Slots or requests per second still borrowed, after returns.
    remaining: float

    #: Amount granted under the serial number.
    granted: float

    #: Monotonic time of the latest grant received from the lender.
    last_grant_s: float

    #: Amount to which the lender asks to reduce the loan; infinity if it
    #: has not recalled any of it.
    recalled: float = math.inf


class ScopeUsage:
    """Requests, recent demand and loans of one scope.

    Not thread-safe; used under the lock of the share allocator.
    """

    def __init__(self, scope: _scopes.Scope, now_s: float) -> None:
        self._is_rate = scope.resource is _scopes.Resource.RATE
        self.running_count = 0
        self.waiting_count = 0
        self.lent: dict[state.InstanceName, LentLoan] = {}
        self.borrowed: dict[state.InstanceName, BorrowedLoan] = {}
        self.last_used_s = now_s
        self.requested_s = -math.inf
        self._demand = 0.0
        self._demand_s = now_s
        self._tokens = 0.0
        self._refilled_s = now_s

    def allowance(
        self, base: float, now_s: float, settings: state.LimitSettings
    ) -> float:
        """Return the slots or rate that this instance may use now.

        :param base: share of this instance before loans.
        """
        own_share = base
        for loan in self.lent.values():
            own_share -= loan.amount
        allowed = max(0.0, own_share)
        for borrowed_loan in self.borrowed.values():
            # Loans from an unreachable lender are not used. The lender still
            # counts them as lent, so the limit is not exceeded.
            if (
                now_s - borrowed_loan.last_grant_s
                <= settings.loan_ttl_ms / 1000
            ):
                allowed += borrowed_loan.remaining
        return allowed

    def add_arrival(self, now_s: float) -> None:
        """Record the arrival of a request in the recent demand."""
        self.last_used_s = now_s
        if self._is_rate:
            # Exponentially decaying window: the weighted number of arrivals
            # divided by the time constant is the mean rate.
            self._demand = self.demand(now_s) + 1 / DEMAND_DECAY_S
            self._demand_s = now_s
            return
        self._raise_demand(now_s, self.running_count + self.waiting_count + 1)

    def demand(self, now_s: float) -> float:
        """Return the recent demand in slots or requests per second."""
        decayed = self._demand * math.exp(
            (self._demand_s - now_s) / DEMAND_DECAY_S
        )
        if self._is_rate:
            return decayed
        return max(decayed, float(self.running_count + self.waiting_count))

    def demand_with_headroom(self, now_s: float) -> float:
        """Return the recent demand with headroom, which is not lent."""
        padded_demand = self.demand(now_s) * HEADROOM
        if self._is_rate:
            return padded_demand if padded_demand > RATE_FLOOR else 0.0
        # Rounds up only above 0.6, so that decayed demand of about half a
        # slot does not reserve a slot.
        return float(max(0, math.ceil(padded_demand - 0.6)))

    def may_start(
        self, allowance: float, now_s: float, burst_s: float
    ) -> bool:
        """Return whether there is room for one more request."""
        if not self._is_rate:
            return self.running_count + 1 <= allowance + 1e-9
        self._refill(allowance, now_s, burst_s)
        return self._tokens >= 1 - 1e-9

    def start(self, now_s: float) -> None:
        """Take one slot or one token."""
        self.last_used_s = now_s
        if self._is_rate:
            self._tokens -= 1
            return
        self.running_count += 1
        self._raise_demand(now_s, self.running_count + self.waiting_count)

    def finish(self, now_s: float) -> None:
        """Release one slot; tokens of a rate are not returned."""
        self.last_used_s = now_s
        if not self._is_rate:
            self.running_count -= 1

    def token_delay_s(self, allowance: float) -> float | None:
        """Return the time until the next token, None if not a rate."""
        if not self._is_rate:
            return None
        return max(0.0, 1 - self._tokens) / max(allowance, 1e-3)

    def is_idle(self, now_s: float, idle_s: float) -> bool:
        """Return whether the state is unused and can be dropped."""
        if self.running_count or self.waiting_count:
            return False
        if self.lent or self.borrowed:
            return False
        return now_s - self.last_used_s > idle_s

    def _raise_demand(self, now_s: float, count: int) -> None:
        self._demand = max(self.demand(now_s), float(count))
        self._demand_s = now_s

    def _refill(self, allowance: float, now_s: float, burst_s: float) -> None:
        # A bucket smaller than one token would never admit a request.
        capacity = max(1.0, allowance * burst_s)
        earned = (now_s - self._refilled_s) * allowance
        self._tokens = min(capacity, self._tokens + max(0.0, earned))
        self._refilled_s = now_s
