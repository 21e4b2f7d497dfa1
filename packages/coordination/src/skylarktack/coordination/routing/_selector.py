"""Target selection for each attempt, with feedback from outcomes."""

from collections.abc import Sequence
import random
import threading

from expression import Error
from expression import Ok
from expression import Result
import structlog

from skylarktack import state
from skylarktack.coordination import limits
from skylarktack.coordination import ports
from skylarktack.coordination.routing import _policies
from skylarktack.coordination.routing import _prefixes
from skylarktack.coordination.routing import _records
from skylarktack.coordination.routing import _table
from skylarktack.coordination.routing import _watch

_LOG = structlog.get_logger(part='routing')

#: Retry-After delay sent to the caller when no target is available.
RETRY_AFTER_MS = 1000


def make_policy(
    settings: state.RoutingSettings,
    prefixes: _prefixes.PrefixIndex,
    rng: random.Random,
) -> _policies.SelectionPolicy:
    """Return the policy named in the settings.

    :raises ValueError: if there is no policy of that name.
    """
    name = settings.policy
    if name == 'cost':
        return _policies.CostPolicy(rng, prefixes, settings)
    if name == 'rendezvous':
        return _policies.RendezvousPolicy(rng)
    if name == 'two_choices':
        return _policies.TwoChoicesPolicy(rng)
    if name == 'round_robin':
        return _policies.RoundRobinPolicy(rng)
    if name == 'random':
        return _policies.RandomPolicy(rng)
    raise ValueError(f'unknown routing policy {name!r}')


class TableSelector:
    """Selects targets from the target table with the configured policy."""

    def __init__(
        self,
        settings: state.RoutingSettings,
        table: _table.TargetTable,
        prefixes: _prefixes.PrefixIndex,
        notices: _watch.LeavingNotices | None = None,
        seed: int | None = None,
    ) -> None:
        self._settings = settings
        self._table = table
        self._prefixes = prefixes
        self._notices = notices
        self._lock = threading.Lock()
        self._policy = make_policy(settings, prefixes, random.Random(seed))
        self._concurrency_limits = limits.AdaptiveLimits(settings)

    def assign(
        self, request: ports.SelectionRequest
    ) -> Result[state.Target, state.Refusal]:
        """Select a target and count the request as in flight on it."""
        hashes: Sequence[str] = ()
        if self._policy.uses_prefixes and request.prompt:
            hashes = state.prefix_hashes(request.prompt)
        # Selection and counting are atomic; otherwise two concurrent requests
        # could both take the last free slot.
        with self._lock:
            pool = _RequestPool(self._table, self._concurrency_limits, request)
            selected = self._policy.choose(hashes, pool)
            if selected is None:
                return Error(_refusal(pool))
            self._table.increment_in_flight(selected.target.name)
        if hashes:
            self._prefixes.record_assignment(selected.target.name, hashes)
        return Ok(selected.target)

    def release(self, target: state.TargetName) -> None:
        """Decrement the in-flight count of the target."""
        self._table.decrement_in_flight(target)

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a listed target by name, including leaving ones."""
        return self._table.target(name)

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Update table, limits and prefix index with an attempt's outcome."""
        if outcome.kind is state.OutcomeKind.LEAVING:
            if self._table.mark_leaving(outcome.target) and self._notices:
                self._notices.announce(outcome.target)
            return
        if self._table.record_outcome(outcome.target, outcome.kind):
            _LOG.warning('target ejected', target=outcome.target)
        self._concurrency_limits.observe(
            outcome, self._table.in_flight_count(outcome.target)
        )
        if outcome.kind is state.OutcomeKind.CONNECTION_LOST:
            # The engine may have restarted with an empty cache.
            self._prefixes.forget(outcome.target)

    def forget(self, targets: Sequence[state.TargetName]) -> None:
        """Drop all state of targets removed from the platform list."""
        self._concurrency_limits.forget(targets)
        for name in targets:
            self._prefixes.forget(name)


class _RequestPool:
    """Subset of targets as seen by one request."""

    def __init__(
        self,
        table: _table.TargetTable,
        concurrency_limits: limits.AdaptiveLimits,
        request: ports.SelectionRequest,
    ) -> None:
        self._table = table
        self._concurrency_limits = concurrency_limits
        self._request = request
        used = table.used(request.version)
        self.names = used.names
        self.rendezvous_hashes = used.rendezvous_hashes
        self.limit_reached = False

    def candidate(self, name: state.TargetName) -> _records.Candidate | None:
        """Return a target if it is eligible for the request, else None."""
        if name in self._request.excluded:
            return None
        eligible = self._table.candidate(name, self._request.avoided_domain)
        if (
            eligible is None
            or self._request.version not in eligible.target.versions
        ):
            return None
        is_full = eligible.in_flight_count >= self._concurrency_limits.limit(
            name
        )
        if is_full and not self._request.continues:
            self.limit_reached = True
            return None
        return eligible


def _refusal(pool: _RequestPool) -> state.Refusal:
    if pool.limit_reached:
        return state.Refusal(
            code=state.RefusalCode.LIMIT_REACHED,
            message='All targets of the version are at their limit.',
            run=state.RunState.NOT_RUN,
            retry_after_ms=RETRY_AFTER_MS,
        )
    return state.Refusal(
        code=state.RefusalCode.NO_TARGET,
        message='No live target serves the version.',
        run=state.RunState.NOT_RUN,
        retry_after_ms=RETRY_AFTER_MS,
    )
