"""Policies that choose a target among the used ones."""

from collections.abc import Sequence
import random
from typing import Protocol

from skylarktack import state
from skylarktack.coordination.routing import _evidence
from skylarktack.coordination.routing import _prefixes

#: Load above the mean at which rendezvous hashing goes to the next target.
RENDEZVOUS_LOAD_BOUND = 1.25

#: Blocks whose hash stands for a prompt in rendezvous hashing; one block is
#: often a greeting that all prompts share.
RENDEZVOUS_BLOCK_COUNT = 4

#: Holders of a prefix that the cost policy looks at.
HOLDER_COUNT = 4

_MASK = 0xFFFF_FFFF


class CandidatePool(Protocol):
    """The used targets of one version at one moment."""

    @property
    def names(self) -> Sequence[state.TargetName]:
        """Names of the used targets, ejected and leaving ones included."""
        ...

    @property
    def mixes(self) -> Sequence[int]:
        """Hashes of the names, in the same order."""
        ...

    def candidate(self, name: state.TargetName) -> _evidence.Candidate | None:
        """Return a target if it may get the request."""
        ...


class SelectionPolicy(Protocol):
    """Chooses a target for a prompt."""

    @property
    def uses_prefixes(self) -> bool:
        """Whether the policy looks at the hashes of the prompt."""
        ...

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _evidence.Candidate | None:
        """Return the target of a prompt with these hashes, if any may."""
        ...


def sampled(
    pool: CandidatePool, count: int, source: random.Random
) -> list[_evidence.Candidate]:
    """Return up to ``count`` random candidates."""
    names = pool.names
    found: list[_evidence.Candidate] = []
    for name in source.sample(names, min(len(names), count)):
        candidate = pool.candidate(name)
        if candidate is not None:
            found.append(candidate)
    if found:
        return found
    # All sampled ones are out; look at the rest.
    for name in source.sample(names, len(names)):
        candidate = pool.candidate(name)
        if candidate is None:
            continue
        found.append(candidate)
        if len(found) == count:
            break
    return found


class RandomPolicy:
    """Takes any target."""

    uses_prefixes = False

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _evidence.Candidate | None:
        """Return a random target."""
        found = sampled(pool, 1, self._random)
        return found[0] if found else None


class RoundRobinPolicy:
    """Takes the targets in turn."""

    uses_prefixes = False

    def __init__(self, source: random.Random) -> None:
        self._next = source.randrange(1 << 16)

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _evidence.Candidate | None:
        """Return the next target."""
        names = pool.names
        for _ in range(len(names)):
            self._next += 1
            candidate = pool.candidate(names[self._next % len(names)])
            if candidate is not None:
                return candidate
        return None


class TwoChoicesPolicy:
    """Takes the one of two random targets with fewer own requests."""

    uses_prefixes = False

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _evidence.Candidate | None:
        """Return the less loaded of two."""
        found = sampled(pool, 2, self._random)
        if not found:
            return None
        return min(found, key=lambda one: one.in_flight_count / one.weight)


class RendezvousPolicy:
    """Takes the first target by hash of prefix and name with room."""

    uses_prefixes = True

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _evidence.Candidate | None:
        """Return the target with the highest hash below the load bound."""
        found: list[_evidence.Candidate] = []
        for name in pool.names:
            candidate = pool.candidate(name)
            if candidate is not None:
                found.append(candidate)
        if not found:
            return None
        key = _affinity_key(hashes, self._random)
        found.sort(key=lambda one: _score(key, one.mix), reverse=True)
        mean = sum(one.utilisation for one in found) / len(found)
        for candidate in found:
            if candidate.utilisation <= RENDEZVOUS_LOAD_BOUND * mean:
                return candidate
        return found[0]


class CostPolicy:
    """Takes the lowest sum of load, missing prefix and distance.

    Looks at a few random targets, at those that probably hold the prefix,
    and at the first by rendezvous hashing, so that instances that know
    nothing yet of a prefix still send it to the same target.
    """

    uses_prefixes = True

    def __init__(
        self,
        source: random.Random,
        prefixes: _prefixes.PrefixIndex,
        settings: state.RoutingSettings,
    ) -> None:
        self._random = source
        self._prefixes = prefixes
        self._settings = settings

    def choose(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> _evidence.Candidate | None:
        """Return the target with the lowest cost."""
        found = sampled(pool, self._settings.sample_count, self._random)
        if hashes:
            names = list(self._prefixes.holders(hashes, HOLDER_COUNT))
            names.append(self._first(hashes, pool))
            for name in names:
                candidate = pool.candidate(name)
                if candidate is not None:
                    found.append(candidate)
        best: _evidence.Candidate | None = None
        best_cost = float('inf')
        for candidate in found:
            cost = self._cost(hashes, candidate)
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _first(
        self, hashes: Sequence[str], pool: CandidatePool
    ) -> state.TargetName:
        key = _affinity_key(hashes, self._random)
        mixes = pool.mixes
        places = range(len(mixes))
        return pool.names[
            max(places, key=lambda place: _score(key, mixes[place]))
        ]

    def _cost(
        self, hashes: Sequence[str], candidate: _evidence.Candidate
    ) -> float:
        missing = len(hashes)
        if hashes:
            missing -= self._prefixes.cached_count(
                candidate.target.name, hashes
            )
        return (
            candidate.utilisation
            + candidate.penalty
            + missing * self._settings.block_cost
        )


def _affinity_key(hashes: Sequence[str], source: random.Random) -> int:
    if not hashes:
        return source.randrange(_MASK)
    return int(hashes[min(len(hashes), RENDEZVOUS_BLOCK_COUNT) - 1][:8], 16)


def _score(key: int, mix: int) -> int:
    """Mix two hashes; multiplication spreads neighbouring values."""
    mixed = ((key ^ mix) * 0x9E37_79B1) & _MASK
    return ((mixed ^ (mixed >> 15)) * 0x85EB_CA77) & _MASK
