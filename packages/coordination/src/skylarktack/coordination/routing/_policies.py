"""Policies that select a target from the subset of an instance."""

from collections.abc import Sequence
import random
from typing import Protocol

from skylarktack import state
from skylarktack.coordination.routing import _prefixes
from skylarktack.coordination.routing import _records

#: Utilisation, relative to the mean, above which rendezvous hashing skips a
#: target.
RENDEZVOUS_LOAD_BOUND = 1.25

#: Prompt blocks that the affinity key of rendezvous hashing covers. A single
#: block is often a greeting shared by all prompts.
RENDEZVOUS_BLOCK_COUNT = 4

#: Maximum number of targets holding a prefix that the cost policy considers.
MAX_HOLDER_COUNT = 4

_MASK_32 = 0xFFFF_FFFF


class CandidatePool(Protocol):
    """Subset of targets of one version, as seen by one request."""

    @property
    def names(self) -> Sequence[state.TargetName]:
        """Names of all targets of the subset, including ineligible ones."""
        ...

    @property
    def rendezvous_hashes(self) -> Sequence[int]:
        """32-bit hashes of the names, in the same order."""
        ...

    def candidate(self, name: state.TargetName) -> _records.Candidate | None:
        """Return a target if it is eligible for the request, else None."""
        ...


class SelectionPolicy(Protocol):
    """Selects a target for a prompt."""

    @property
    def uses_prefixes(self) -> bool:
        """Whether the policy needs the prefix hashes of the prompt."""
        ...

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _records.Candidate | None:
        """Return the target to use, or None if no target is eligible.

        :param hashes: prefix hashes of the prompt, shortest prefix first.
        """
        ...


def eligible_candidates(
    pool: CandidatePool, names: Sequence[state.TargetName]
) -> list[_records.Candidate]:
    """Return the eligible ones of the named targets, in the same order."""
    candidates: list[_records.Candidate] = []
    for name in names:
        candidate = pool.candidate(name)
        if candidate is not None:
            candidates.append(candidate)
    return candidates


def sample_candidates(
    pool: CandidatePool, count: int, rng: random.Random
) -> list[_records.Candidate]:
    """Return up to ``count`` eligible targets, chosen at random."""
    names = pool.names
    candidates = eligible_candidates(
        pool, rng.sample(names, min(len(names), count))
    )
    if candidates:
        return candidates
    # None of the sampled targets is eligible; try all of them.
    for name in rng.sample(names, len(names)):
        candidate = pool.candidate(name)
        if candidate is None:
            continue
        candidates.append(candidate)
        if len(candidates) == count:
            break
    return candidates


class RandomPolicy:
    """Selects a target uniformly at random."""

    uses_prefixes = False

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _records.Candidate | None:
        """Return a random eligible target."""
        candidates = sample_candidates(pool, 1, self._random)
        return candidates[0] if candidates else None


class RoundRobinPolicy:
    """Selects the targets in turn."""

    uses_prefixes = False

    def __init__(self, rng: random.Random) -> None:
        self._next = rng.randrange(1 << 16)

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _records.Candidate | None:
        """Return the next eligible target."""
        names = pool.names
        for _ in range(len(names)):
            self._next += 1
            candidate = pool.candidate(names[self._next % len(names)])
            if candidate is not None:
                return candidate
        return None


class TwoChoicesPolicy:
    """Selects the less loaded of two random targets (power of two choices).

    Load is the number of in-flight requests of this instance.
    """

    uses_prefixes = False

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _records.Candidate | None:
        """Return the less loaded of two random eligible targets."""
        candidates = sample_candidates(pool, 2, self._random)
        if not candidates:
            return None
        return min(
            candidates, key=lambda item: item.in_flight_count / item.weight
        )


class RendezvousPolicy:
    """Rendezvous hashing of prefix and target name, with bounded load."""

    uses_prefixes = True

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _records.Candidate | None:
        """Return the target with the highest score below the load bound."""
        candidates = eligible_candidates(pool, pool.names)
        if not candidates:
            return None
        key = _affinity_key(hashes, self._random)
        candidates.sort(
            key=lambda item: _score(key, item.rendezvous_hash), reverse=True
        )
        mean_utilisation = sum(item.utilisation for item in candidates) / len(
            candidates
        )
        for candidate in candidates:
            if (
                candidate.utilisation
                <= RENDEZVOUS_LOAD_BOUND * mean_utilisation
            ):
                return candidate
        return candidates[0]


class CostPolicy:
    """Minimises the sum of utilisation, uncached prefix and distance.

    Considers a few random targets, the targets that probably have the prefix
    cached, and the first target by rendezvous hashing. The latter lets
    instances without any information on a prefix send it to the same target.
    """

    uses_prefixes = True

    def __init__(
        self,
        rng: random.Random,
        prefixes: _prefixes.PrefixIndex,
        settings: state.RoutingSettings,
    ) -> None:
        self._random = rng
        self._prefixes = prefixes
        self._settings = settings

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _records.Candidate | None:
        """Return the eligible target with the lowest cost."""
        candidates = sample_candidates(
            pool, self._settings.sample_count, self._random
        )
        if hashes:
            names = list(self._prefixes.holders(hashes, MAX_HOLDER_COUNT))
            names.append(self._rendezvous_first(hashes, pool))
            candidates.extend(eligible_candidates(pool, names))
        best: _records.Candidate | None = None
        best_cost = float('inf')
        for candidate in candidates:
            cost = self._cost(hashes, candidate)
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _rendezvous_first(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> state.TargetName:
        key = _affinity_key(hashes, self._random)
        rendezvous_hashes = pool.rendezvous_hashes
        positions = range(len(rendezvous_hashes))
        return pool.names[
            max(
                positions,
                key=lambda position: _score(key, rendezvous_hashes[position]),
            )
        ]

    def _cost(
        self, hashes: Sequence[str], candidate: _records.Candidate
    ) -> float:
        uncached_count = len(hashes)
        if hashes:
            uncached_count -= self._prefixes.cached_count(
                candidate.target.name, hashes
            )
        return (
            candidate.utilisation
            + candidate.penalty
            + uncached_count * self._settings.block_cost
        )


def _affinity_key(hashes: Sequence[str], rng: random.Random) -> int:
    if not hashes:
        return rng.randrange(_MASK_32)
    return int(hashes[min(len(hashes), RENDEZVOUS_BLOCK_COUNT) - 1][:8], 16)


def _score(key: int, rendezvous_hash: int) -> int:
    """Return a 32-bit hash of both values.

    The multiplications spread neighbouring values over the whole range.
    """
    mixed = ((key ^ rendezvous_hash) * 0x9E37_79B1) & _MASK_32
    return ((mixed ^ (mixed >> 15)) * 0x85EB_CA77) & _MASK_32
