"""Selects the gossip neighbours of an instance."""

import hashlib

from skylarktack import state

#: Successors on the hash ring that are chosen as neighbours. They keep the
#: neighbour graph connected.
RING_COUNT = 2


def ranked_neighbours(
    own: state.Member, live: tuple[state.Member, ...], count: int
) -> tuple[state.InstanceName, ...]:
    """Return the peers to connect to, in order of preference.

    The first are the successors on a ring ordered by hash, which is the same
    on all instances with the same member table. The rest are ordered by a
    hash of both names, other failure domains first; these links keep the
    paths between instances short. The result has up to twice ``count``
    names, so that peers that refuse a connection can be replaced.
    """
    candidates = [member for member in live if member.name != own.name]
    own_rank = _rank(own.name)
    ring = sorted(
        candidates,
        key=lambda member: (_rank(member.name) < own_rank, _rank(member.name)),
    )
    ring_count = min(RING_COUNT, count)
    chosen = [member.name for member in ring[:ring_count]]
    remaining = sorted(
        ring[ring_count:],
        key=lambda member: (
            member.failure_domain == own.failure_domain,
            _rank(f'{own.name} {member.name}'),
        ),
    )
    chosen.extend(member.name for member in remaining)
    return tuple(chosen[: count * 2])


def _rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
