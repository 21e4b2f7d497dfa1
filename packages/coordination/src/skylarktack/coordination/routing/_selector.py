"""Choice of a target for each attempt, and what its outcome teaches."""

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
from skylarktack.coordination.routing import _evidence
from skylarktack.coordination.routing import _policies
from skylarktack.coordination.routing import _prefixes
from skylarktack.coordination.routing import _table
from skylarktack.coordination.routing import _watch

_LOG = structlog.get_logger(part='routing')

#: Delay after which a caller may try again when no target has room.
RETRY_AFTER_MS = 1000


def make_policy(
    settings: state.RoutingSettings,
    prefixes: _prefixes.PrefixIndex,
    source: random.Random,
) -> _policies.SelectionPolicy:
    """Return the policy that the settings name.

    :raises ValueError: if the name is unknown.
    """
    name = settings.policy
    if name == 'cost':
        return _policies.CostPolicy(source, prefixes, settings)
    if name == 'rendezvous':
        return _policies.RendezvousPolicy(source)
    if name == 'two_choices':
        return _policies.TwoChoicesPolicy(source)
    if name == 'round_robin':
        return _policies.RoundRobinPolicy(source)
    if name == 'random':
        return _policies.RandomPolicy(source)
    raise ValueError(f'unknown routing policy {name!r}')


class TableSelector:
    """Chooses targets by a policy over the target table."""

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
        self._adaptive = limits.AdaptiveLimits(settings)

    def assign(
        self, request: ports.SelectionRequest
    ) -> Result[state.Target, state.Refusal]:
        """Choose a target and count the request as in flight there."""
        hashes: Sequence[str] = ()
        if self._policy.uses_prefixes and request.prompt:
            hashes = state.prefix_hashes(request.prompt)
        # Choosing and counting are one step, or two requests at once would
        # both take the last place.
        with self._lock:
            pool = _Pool(self._table, self._adaptive, request)
            chosen = self._policy.choose(hashes, pool)
            if chosen is None:
                return Error(_refusal(pool))
            self._table.begin(chosen.target.name)
        if hashes:
            self._prefixes.assigned(chosen.target.name, hashes)
        return Ok(chosen.target)

    def release(self, target: state.TargetName) -> None:
        """Count one request less in flight on the target."""
        self._table.finish(target)

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a known target by name, leaving ones included."""
        return self._table.target(name)

    def observe(self, outcome: state.TargetOutcome) -> None:
        """Take one outcome in."""
        if outcome.kind is state.OutcomeKind.LEAVING:
            if self._table.mark_leaving(outcome.target) and self._notices:
                self._notices.announce(outcome.target)
            return
        if self._table.observe(outcome.target, outcome.kind):
            _LOG.warning('target ejected', target=outcome.target)
        self._adaptive.observe(
            outcome, self._table.in_flight_count(outcome.target)
        )
        if outcome.kind is state.OutcomeKind.CONNECTION_LOST:
            # The engine may have restarted with an empty cache.
            self._prefixes.forget(outcome.target)

    def forget(self, targets: Sequence[state.TargetName]) -> None:
        """Drop what is known of targets that left the list."""
        self._adaptive.forget(targets)
        for name in targets:
            self._prefixes.forget(name)


class _Pool:
    """The used targets, seen by one request."""

    def __init__(
        self,
        table: _table.TargetTable,
        adaptive: limits.AdaptiveLimits,
        request: ports.SelectionRequest,
    ) -> None:
        self._table = table
        self._adaptive = adaptive
        self._request = request
        used = table.used(request.version)
        self.names = used.names
        self.mixes = used.mixes
        self.full = False

    def candidate(self, name: state.TargetName) -> _evidence.Candidate | None:
        """Return a target if it may get the request."""
        if name in self._request.excluded:
            return None
        found = self._table.candidate(name, self._request.avoided_domain)
        if found is None or self._request.version not in found.target.versions:
            return None
        is_full = found.in_flight_count >= self._adaptive.limit(name)
        if is_full and not self._request.continues:
            self.full = True
            return None
        return found


def _refusal(pool: _Pool) -> state.Refusal:
    if pool.full:
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
