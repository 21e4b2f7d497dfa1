"""Allocation of deployment-wide limits to instances, with loans between them.

Each listed instance has an equal base share of a limit, which needs no
messages. An instance with spare capacity first lowers its own allowance and
then lends to instances that request more; a borrower first lowers its own
allowance and then returns. The allowances therefore never add up to more than
the limit, whichever messages are lost. The limit can be exceeded only while
instances have different lists: by k/n of the limit for k instances that some
of n do not see yet, and by the loans of a failed lender until they expire at
its borrowers.
"""

from collections.abc import Sequence
import dataclasses
import math
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.limits import _entries
from skylarktack.coordination.limits import _members
from skylarktack.coordination.limits import _scopes
from skylarktack.coordination.limits import _usage

#: Minimum time between two rounds of lending.
ROUND_INTERVAL_S = 0.2

#: Interval at which grants and returns are repeated, since they may be lost.
REPEAT_INTERVAL_S = 2.0

#: Minimum time between two loan requests for one limit; lenders take about as
#: long to respond.
REQUEST_INTERVAL_S = 0.9

#: Age after which a loan request of another instance expires.
REQUEST_TTL_S = 4.0

#: Maximum number of borrowers that one lender serves in a round.
MAX_BORROWER_COUNT = 2

#: Time after which the state of an unused scope is dropped.
IDLE_TTL_S = 30.0


class ShareAllocator:
    """Allocates this instance's share of each limit to its requests.

    Thread-safe. Lends unused capacity to other instances and borrows theirs.
    """

    def __init__(
        self,
        name: state.InstanceName,
        settings: state.LimitSettings,
        index: _scopes.LimitIndex,
        clock: ports.Clock,
    ) -> None:
        self._name = name
        self._settings = settings
        self._index = index
        self._clock = clock
        self._lock = threading.RLock()
        self._members = _members.ShareMembers(name, settings)
        self._usages: dict[_scopes.Scope, _usage.ScopeUsage] = {}
        self._loan_requests: dict[
            _scopes.Scope, dict[state.InstanceName, tuple[float, float]]
        ] = {}
        self._log = _entries.EntryLog(settings)
        self._serial = 0
        self._last_round_s = -math.inf
        self._last_repeat_s = -math.inf

    def update_instances(self, names: Sequence[state.InstanceName]) -> None:
        """Apply the platform's list of instances."""
        with self._lock:
            self._members.update(names, self._clock.monotonic_s())
            counted = self._members.counted
            for usage in self._usages.values():
                for name in set(usage.lent) - counted:
                    del usage.lent[name]
                for name in list(usage.borrowed):
                    if not self._members.is_listed(name):
                        del usage.borrowed[name]

    def record_arrival(self, scopes: Sequence[_scopes.Scope]) -> None:
        """Record an arriving request in the recent demand of its scopes."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for scope in scopes:
                self._usage_of(scope, now_s).add_arrival(now_s)

    def add_waiting(
        self, scopes: Sequence[_scopes.Scope], change: int
    ) -> None:
        """Add ``change`` to the number of waiting requests of each scope."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for scope in scopes:
                self._usage_of(scope, now_s).waiting_count += change

    def try_start(
        self, scopes: Sequence[_scopes.Scope]
    ) -> _scopes.Scope | None:
        """Take a slot or token of every scope, or of none of them.

        :returns: the first scope without room, or None on success.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            burst = self._settings.rate_burst_s
            for scope in scopes:
                allowance = self._allowance(scope, now_s)
                usage = self._usage_of(scope, now_s)
                if not usage.may_start(allowance, now_s, burst):
                    return scope
            for scope in scopes:
                self._usage_of(scope, now_s).start(now_s)
            return None

    def finish(self, scopes: Sequence[_scopes.Scope]) -> None:
        """Release the slots of a finished request."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for scope in scopes:
                self._usage_of(scope, now_s).finish(now_s)

    def allowance(self, scope: _scopes.Scope) -> float:
        """Return the slots or rate of a scope that this instance may use."""
        with self._lock:
            return self._allowance(scope, self._clock.monotonic_s())

    def running_count(self, scope: _scopes.Scope) -> int:
        """Return the number of requests that hold a slot of a scope."""
        with self._lock:
            usage = self._usages.get(scope)
            return usage.running_count if usage is not None else 0

    def tracked_count(self) -> int:
        """Return the number of scopes in use, for metrics."""
        with self._lock:
            return len(self._usages)

    def token_delay_s(self, scopes: Sequence[_scopes.Scope]) -> float | None:
        """Return the time until all rates have a token, None without rates."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            longest: float | None = None
            for scope in scopes:
                delay_s = self._usage_of(scope, now_s).token_delay_s(
                    self._allowance(scope, now_s)
                )
                if delay_s is not None:
                    longest = max(longest or 0.0, delay_s)
            return longest

    def outgoing(
        self, arrival: int
    ) -> tuple[tuple[int, _scopes.LoanEntry], ...]:
        """Run a round of lending if due; return entries to send.

        :param arrival: arrival number of the last entry already sent.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            if now_s - self._last_round_s >= ROUND_INTERVAL_S:
                self._last_round_s = now_s
                self._run_round(now_s)
            return self._log.entries_after(arrival, now_s)

    def receive(self, entries: Sequence[_scopes.LoanEntry]) -> None:
        """Apply loan entries of other instances."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for entry in entries:
                if entry.source == self._name:
                    continue
                if not self._log.add(entry, now_s):
                    continue
                if entry.kind is _scopes.LoanEntryKind.REQUEST:
                    self._loan_requests.setdefault(entry.scope, {})[
                        entry.source
                    ] = (
                        entry.amount,
                        now_s - entry.age_ms / 1000,
                    )
                    continue
                if entry.destination == self._name:
                    self._apply(entry, now_s)

    def _apply(self, entry: _scopes.LoanEntry, now_s: float) -> None:
        usage = self._usage_of(entry.scope, now_s)
        if entry.kind is _scopes.LoanEntryKind.RETURN:
            lent = usage.lent.get(entry.source)
            if lent is None or lent.serial != entry.serial:
                return
            if entry.amount < lent.amount:
                self._grant(entry.scope, usage, entry.source, entry.amount)
            return
        current = usage.borrowed.get(entry.source)
        if entry.kind is _scopes.LoanEntryKind.RECALL:
            if current is not None and current.serial == entry.serial:
                usage.borrowed[entry.source] = dataclasses.replace(
                    current, recalled=entry.amount
                )
            return
        if not self._members.is_listed(entry.source):
            return
        if current is not None and entry.serial == current.serial:
            usage.borrowed[entry.source] = dataclasses.replace(
                current, last_grant_s=now_s
            )
        if current is None or entry.serial > current.serial:
            usage.borrowed[entry.source] = _usage.BorrowedLoan(
                entry.serial, entry.amount, entry.amount, now_s
            )

    def _run_round(self, now_s: float) -> None:
        repeat = now_s - self._last_repeat_s >= REPEAT_INTERVAL_S
        if repeat:
            self._last_repeat_s = now_s
        for scope, usage in list(self._usages.items()):
            if usage.is_idle(now_s, IDLE_TTL_S):
                del self._usages[scope]
                continue
            self._request_loan(scope, usage, now_s)
            self._return_loans(scope, usage, now_s)
            self._recall_loans(scope, usage, now_s)
            if repeat:
                self._repeat_entries(scope, usage, now_s)
        for scope, loan_requests in list(self._loan_requests.items()):
            for name, (_, created_s) in list(loan_requests.items()):
                if now_s - created_s > REQUEST_TTL_S:
                    del loan_requests[name]
            if not loan_requests:
                del self._loan_requests[scope]
                continue
            self._lend(scope, loan_requests, now_s)

    def _request_loan(
        self, scope: _scopes.Scope, usage: _usage.ScopeUsage, now_s: float
    ) -> None:
        if now_s - usage.requested_s < REQUEST_INTERVAL_S:
            return
        padded_demand = usage.demand_with_headroom(now_s)
        allowance = self._allowance(scope, now_s)
        if padded_demand <= allowance:
            return
        usage.requested_s = now_s
        limit = self._index.limit(scope) or 0.0
        requested = min(limit, padded_demand) - allowance
        if requested > 0:
            self._publish(
                _scopes.LoanEntryKind.REQUEST,
                scope,
                state.InstanceName(''),
                requested,
                0,
            )

    def _lend(
        self,
        scope: _scopes.Scope,
        loan_requests: dict[state.InstanceName, tuple[float, float]],
        now_s: float,
    ) -> None:
        usage = self._usage_of(scope, now_s)
        base_share = self._base_share(scope, now_s)
        lent = sum(loan.amount for loan in usage.lent.values())
        spare = base_share - lent - usage.demand_with_headroom(now_s)
        # Each lender serves few borrowers, and different lenders serve
        # different ones: grants to all would number as many as pairs of
        # instances.
        ordered = sorted(
            loan_requests,
            key=lambda name: _members.pair_hash(self._name, name),
        )
        selected = ordered[:MAX_BORROWER_COUNT]
        lender_count = max(1, len(self._members.counted) - len(loan_requests))
        # Other lenders respond to the same requests. Each lends twice its
        # fraction, to make up for lenders without spare capacity.
        fraction = (
            2 * len(loan_requests) / max(1, lender_count * len(selected))
        )
        for name in selected:
            amount, _ = loan_requests[name]
            if not self._members.is_listed(name):
                continue
            grant_amount = min(spare, amount * min(1.0, fraction))
            if scope.resource is _scopes.Resource.CONCURRENCY:
                grant_amount = float(
                    min(math.floor(spare), math.ceil(grant_amount))
                )
            if grant_amount < 0.01:
                continue
            spare -= grant_amount
            current = usage.lent.get(name)
            before = current.amount if current is not None else 0.0
            self._grant(scope, usage, name, before + grant_amount)
            # Each request is served only once by this lender.
            del loan_requests[name]

    def _return_loans(
        self, scope: _scopes.Scope, usage: _usage.ScopeUsage, now_s: float
    ) -> None:
        idle_s = self._settings.loan_ttl_ms / 1000
        allowance = self._allowance(scope, now_s)
        excess = allowance - usage.demand_with_headroom(now_s)
        free = allowance - usage.running_count
        for lender, current in sorted(usage.borrowed.items()):
            if current.remaining <= 0:
                if now_s - current.last_grant_s > idle_s:
                    del usage.borrowed[lender]
                continue
            returned = min(current.remaining, max(0.0, excess))
            recalled = max(0.0, current.remaining - current.recalled)
            returned = max(returned, min(recalled, max(0.0, free)))
            if scope.resource is _scopes.Resource.CONCURRENCY:
                returned = float(math.floor(returned))
            if returned < 0.01:
                continue
            excess -= returned
            free -= returned
            remaining = current.remaining - returned
            # The allowance is lowered before the lender is notified, so
            # that the amount is never in use on both instances.
            usage.borrowed[lender] = dataclasses.replace(
                current, remaining=remaining
            )
            self._publish(
                _scopes.LoanEntryKind.RETURN,
                scope,
                lender,
                remaining,
                current.serial,
            )

    def _recall_loans(
        self, scope: _scopes.Scope, usage: _usage.ScopeUsage, now_s: float
    ) -> None:
        lent = sum(loan.amount for loan in usage.lent.values())
        if lent <= 0:
            return
        base_share = self._base_share(scope, now_s)
        shortfall = min(base_share, usage.demand(now_s)) - max(
            0.0, base_share - lent
        )
        if shortfall <= 0:
            return
        for borrower, loan in sorted(usage.lent.items()):
            remaining = loan.amount * max(0.0, 1 - shortfall / lent)
            self._publish(
                _scopes.LoanEntryKind.RECALL,
                scope,
                borrower,
                float(math.floor(remaining)),
                loan.serial,
            )

    def _repeat_entries(
        self, scope: _scopes.Scope, usage: _usage.ScopeUsage, now_s: float
    ) -> None:
        for borrower, loan in usage.lent.items():
            self._publish(
                _scopes.LoanEntryKind.GRANT,
                scope,
                borrower,
                loan.amount,
                loan.serial,
            )
        for lender, current in usage.borrowed.items():
            if current.remaining < current.granted:
                self._publish(
                    _scopes.LoanEntryKind.RETURN,
                    scope,
                    lender,
                    current.remaining,
                    current.serial,
                )

    def _grant(
        self,
        scope: _scopes.Scope,
        usage: _usage.ScopeUsage,
        borrower: state.InstanceName,
        amount: float,
    ) -> None:
        self._serial += 1
        usage.lent[borrower] = _usage.LentLoan(self._serial, amount)
        if amount <= 0:
            del usage.lent[borrower]
        self._publish(
            _scopes.LoanEntryKind.GRANT, scope, borrower, amount, self._serial
        )

    def _publish(
        self,
        kind: _scopes.LoanEntryKind,
        scope: _scopes.Scope,
        destination: state.InstanceName,
        amount: float,
        serial: int,
    ) -> None:
        entry = _scopes.LoanEntry(
            kind, scope, self._name, destination, amount, serial, 0
        )
        self._log.add(entry, self._clock.monotonic_s())

    def _usage_of(
        self, scope: _scopes.Scope, now_s: float
    ) -> _usage.ScopeUsage:
        usage = self._usages.get(scope)
        if usage is None:
            usage = _usage.ScopeUsage(scope, now_s)
            self._usages[scope] = usage
        return usage

    def _base_share(self, scope: _scopes.Scope, now_s: float) -> float:
        limit = self._index.limit(scope)
        if limit is None:
            return 0.0
        return self._members.base_share(scope, limit, now_s)

    def _allowance(self, scope: _scopes.Scope, now_s: float) -> float:
        if self._index.limit(scope) is None:
            # The limit was removed while requests were waiting.
            return math.inf
        return self._usage_of(scope, now_s).allowance(
            self._base_share(scope, now_s), now_s, self._settings
        )
