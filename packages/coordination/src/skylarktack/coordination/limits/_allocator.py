"""Shares of limits that hold over the whole deployment.

Each listed instance owns an equal part of a limit without any message. An
instance with spare lowers its own part first and then lends to those that
want more; the borrower lowers its use first and then gives back. At any
moment the parts add up to at most the limit, whatever messages are lost.
Only differing lists of instances can exceed it: by k/n of the limit for k
instances that some of n do not see yet, and by what a lost lender had lent
until the loan runs out at its borrowers.
"""

from collections.abc import Sequence
import dataclasses
import math
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.limits import _entries
from skylarktack.coordination.limits import _ledger
from skylarktack.coordination.limits import _members
from skylarktack.coordination.limits import _scopes

#: Shortest time between two rounds of lending.
STEP_S = 0.2

#: Time between repetitions of a grant or a return, which may get lost.
REPEAT_S = 2.0

#: Time between two wants for one limit; lenders need about as long to answer.
WANT_REPEAT_S = 0.9

#: Age beyond which a want of another instance counts no more.
WANT_AGE_S = 4.0

#: Most instances that one lender answers in a round.
BORROWER_COUNT = 2

#: Time after which an unused ledger is dropped.
IDLE_S = 30.0


class ShareAllocator:
    """Owner of this instance's shares and of the requests that use them."""

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
        self._ledgers: dict[_scopes.Scope, _ledger.Ledger] = {}
        self._wants: dict[
            _scopes.Scope, dict[state.InstanceName, tuple[float, float]]
        ] = {}
        self._log = _entries.EntryLog(settings)
        self._serial = 0
        self._stepped_s = -math.inf
        self._repeated_s = -math.inf

    def update_instances(self, names: Sequence[state.InstanceName]) -> None:
        """Take in the platform's list of instances."""
        with self._lock:
            self._members.update(names, self._clock.monotonic_s())
            counted = self._members.counted
            for ledger in self._ledgers.values():
                for name in set(ledger.lent) - counted:
                    del ledger.lent[name]
                for name in list(ledger.borrowed):
                    if not self._members.is_listed(name):
                        del ledger.borrowed[name]

    def arrive(self, scopes: Sequence[_scopes.Scope]) -> None:
        """Count an arriving request, which makes up the recent need."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for scope in scopes:
                self._ledger(scope, now_s).request(now_s)

    def add_waiting(
        self, scopes: Sequence[_scopes.Scope], change: int
    ) -> None:
        """Change the number of waiting requests."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for scope in scopes:
                self._ledger(scope, now_s).waiting_count += change

    def try_start(
        self, scopes: Sequence[_scopes.Scope]
    ) -> _scopes.Scope | None:
        """Take a slot or token of each scope, or of none.

        :returns: the scope that has no room, or None after success.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            burst = self._settings.rate_burst_s
            for scope in scopes:
                allowance = self._allowance(scope, now_s)
                ledger = self._ledger(scope, now_s)
                if not ledger.may_start(allowance, now_s, burst):
                    return scope
            for scope in scopes:
                self._ledger(scope, now_s).start(now_s)
            return None

    def finish(self, scopes: Sequence[_scopes.Scope]) -> None:
        """Give the slots of a finished request back."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for scope in scopes:
                self._ledger(scope, now_s).finish(now_s)

    def allowance(self, scope: _scopes.Scope) -> float:
        """Return what this instance may use of a scope at present."""
        with self._lock:
            return self._allowance(scope, self._clock.monotonic_s())

    def running_count(self, scope: _scopes.Scope) -> int:
        """Return the requests that hold a slot of a scope."""
        with self._lock:
            ledger = self._ledgers.get(scope)
            return ledger.running_count if ledger is not None else 0

    def tracked_count(self) -> int:
        """Return the number of scopes with state."""
        with self._lock:
            return len(self._ledgers)

    def token_delay_s(self, scopes: Sequence[_scopes.Scope]) -> float | None:
        """Return the time until a rate has room, or None without rates."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            longest: float | None = None
            for scope in scopes:
                delay_s = self._ledger(scope, now_s).token_delay_s(
                    self._allowance(scope, now_s)
                )
                if delay_s is not None:
                    longest = max(longest or 0.0, delay_s)
            return longest

    def outgoing(
        self, arrival: int
    ) -> tuple[tuple[int, _scopes.LoanEntry], ...]:
        """Lend, ask and give back; return entries after an arrival number."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            if now_s - self._stepped_s >= STEP_S:
                self._stepped_s = now_s
                self._step(now_s)
            return self._log.after(arrival, now_s)

    def receive(self, entries: Sequence[_scopes.LoanEntry]) -> None:
        """Take in entries of other instances."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for entry in entries:
                if entry.source == self._name:
                    continue
                if not self._log.put(entry, now_s):
                    continue
                if entry.kind is _scopes.LoanEntryKind.WANT:
                    self._wants.setdefault(entry.scope, {})[entry.source] = (
                        entry.amount,
                        now_s - entry.age_ms / 1000,
                    )
                    continue
                if entry.destination == self._name:
                    self._take(entry, now_s)

    def _take(self, entry: _scopes.LoanEntry, now_s: float) -> None:
        ledger = self._ledger(entry.scope, now_s)
        if entry.kind is _scopes.LoanEntryKind.RETURN:
            lent = ledger.lent.get(entry.source)
            if lent is None or lent.serial != entry.serial:
                return
            if entry.amount < lent.amount:
                self._grant(entry.scope, ledger, entry.source, entry.amount)
            return
        held = ledger.borrowed.get(entry.source)
        if entry.kind is _scopes.LoanEntryKind.RECALL:
            if held is not None and held.serial == entry.serial:
                ledger.borrowed[entry.source] = dataclasses.replace(
                    held, recalled=entry.amount
                )
            return
        if not self._members.is_listed(entry.source):
            return
        if held is not None and entry.serial == held.serial:
            ledger.borrowed[entry.source] = dataclasses.replace(
                held, heard_s=now_s
            )
        if held is None or entry.serial > held.serial:
            ledger.borrowed[entry.source] = _ledger.Borrowed(
                entry.serial, entry.amount, entry.amount, now_s
            )

    def _step(self, now_s: float) -> None:
        repeat = now_s - self._repeated_s >= REPEAT_S
        if repeat:
            self._repeated_s = now_s
        for scope, ledger in list(self._ledgers.items()):
            if ledger.is_idle(now_s, IDLE_S):
                del self._ledgers[scope]
                continue
            self._want(scope, ledger, now_s)
            self._give_back(scope, ledger, now_s)
            self._recall(scope, ledger, now_s)
            if repeat:
                self._repeat(scope, ledger, now_s)
        for scope, wants in list(self._wants.items()):
            for name, (_, origin_s) in list(wants.items()):
                if now_s - origin_s > WANT_AGE_S:
                    del wants[name]
            if not wants:
                del self._wants[scope]
                continue
            self._lend(scope, wants, now_s)

    def _want(
        self, scope: _scopes.Scope, ledger: _ledger.Ledger, now_s: float
    ) -> None:
        if now_s - ledger.wanted_s < WANT_REPEAT_S:
            return
        wanted = ledger.kept_need(now_s)
        allowance = self._allowance(scope, now_s)
        if wanted <= allowance:
            return
        ledger.wanted_s = now_s
        limit = self._index.limit(scope) or 0.0
        more = min(limit, wanted) - allowance
        if more > 0:
            self._say(
                _scopes.LoanEntryKind.WANT,
                scope,
                state.InstanceName(''),
                more,
                0,
            )

    def _lend(
        self,
        scope: _scopes.Scope,
        wants: dict[state.InstanceName, tuple[float, float]],
        now_s: float,
    ) -> None:
        ledger = self._ledger(scope, now_s)
        base = self._base(scope, now_s)
        lent = sum(loan.amount for loan in ledger.lent.values())
        spare = base - lent - ledger.kept_need(now_s)
        # Few borrowers for each lender, different ones for different
        # lenders: grants to all would be as many as pairs of instances.
        order = sorted(
            wants, key=lambda name: _members.pair_hash(self._name, name)
        )
        chosen = order[:BORROWER_COUNT]
        lenders = max(1, len(self._members.counted) - len(wants))
        # Other lenders answer the same wants; each gives twice its part, so
        # that some without spare do no harm.
        part = 2 * len(wants) / max(1, lenders * len(chosen))
        for name in chosen:
            amount, _ = wants[name]
            if not self._members.is_listed(name):
                continue
            given = min(spare, amount * min(1.0, part))
            if scope.resource is _scopes.Resource.CONCURRENCY:
                given = float(min(math.floor(spare), math.ceil(given)))
            if given < 0.01:
                continue
            spare -= given
            held = ledger.lent.get(name)
            before = held.amount if held is not None else 0.0
            self._grant(scope, ledger, name, before + given)
            # The same want is answered once.
            del wants[name]

    def _give_back(
        self, scope: _scopes.Scope, ledger: _ledger.Ledger, now_s: float
    ) -> None:
        idle_s = self._settings.loan_ttl_ms / 1000
        allowance = self._allowance(scope, now_s)
        excess = allowance - ledger.kept_need(now_s)
        free = allowance - ledger.running_count
        for lender, held in sorted(ledger.borrowed.items()):
            if held.kept <= 0:
                if now_s - held.heard_s > idle_s:
                    del ledger.borrowed[lender]
                continue
            back = min(held.kept, max(0.0, excess))
            recalled = max(0.0, held.kept - held.recalled)
            back = max(back, min(recalled, max(0.0, free)))
            if scope.resource is _scopes.Resource.CONCURRENCY:
                back = float(math.floor(back))
            if back < 0.01:
                continue
            excess -= back
            free -= back
            kept = held.kept - back
            # The own use is lowered before the lender hears of it.
            ledger.borrowed[lender] = dataclasses.replace(held, kept=kept)
            self._say(
                _scopes.LoanEntryKind.RETURN, scope, lender, kept, held.serial
            )

    def _recall(
        self, scope: _scopes.Scope, ledger: _ledger.Ledger, now_s: float
    ) -> None:
        lent = sum(loan.amount for loan in ledger.lent.values())
        if lent <= 0:
            return
        base = self._base(scope, now_s)
        missing = min(base, ledger.need(now_s)) - max(0.0, base - lent)
        if missing <= 0:
            return
        for borrower, loan in sorted(ledger.lent.items()):
            kept = loan.amount * max(0.0, 1 - missing / lent)
            self._say(
                _scopes.LoanEntryKind.RECALL,
                scope,
                borrower,
                float(math.floor(kept)),
                loan.serial,
            )

    def _repeat(
        self, scope: _scopes.Scope, ledger: _ledger.Ledger, now_s: float
    ) -> None:
        for borrower, loan in ledger.lent.items():
            self._say(
                _scopes.LoanEntryKind.GRANT,
                scope,
                borrower,
                loan.amount,
                loan.serial,
            )
        for lender, held in ledger.borrowed.items():
            if held.kept < held.granted:
                self._say(
                    _scopes.LoanEntryKind.RETURN,
                    scope,
                    lender,
                    held.kept,
                    held.serial,
                )

    def _grant(
        self,
        scope: _scopes.Scope,
        ledger: _ledger.Ledger,
        borrower: state.InstanceName,
        amount: float,
    ) -> None:
        self._serial += 1
        ledger.lent[borrower] = _ledger.Lent(self._serial, amount)
        if amount <= 0:
            del ledger.lent[borrower]
        self._say(
            _scopes.LoanEntryKind.GRANT, scope, borrower, amount, self._serial
        )

    def _say(
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
        self._log.put(entry, self._clock.monotonic_s())

    def _ledger(self, scope: _scopes.Scope, now_s: float) -> _ledger.Ledger:
        ledger = self._ledgers.get(scope)
        if ledger is None:
            ledger = _ledger.Ledger(scope, now_s)
            self._ledgers[scope] = ledger
        return ledger

    def _base(self, scope: _scopes.Scope, now_s: float) -> float:
        limit = self._index.limit(scope)
        if limit is None:
            return 0.0
        return self._members.base(scope, limit, now_s)

    def _allowance(self, scope: _scopes.Scope, now_s: float) -> float:
        if self._index.limit(scope) is None:
            # The limit was lifted while requests waited.
            return math.inf
        return self._ledger(scope, now_s).allowance(
            self._base(scope, now_s), now_s, self._settings
        )
