"""Choice of the neighbours of an instance."""

import hashlib

from skylarktack import state

#: Successors on the ring; they keep the graph connected.
RING_COUNT = 2


def ranked_neighbours(
    own: state.Member, live: tuple[state.Member, ...], count: int
) -> tuple[state.InstanceName, ...]:
    """Return whom to connect to, in order of preference.

    The first ones are successors on a ring ordered by hash, which all
    instances agree on when they know the same members. The others are
    ordered by a hash of both names, those of other failure domains first;
    they keep paths short. The result has up to twice ``count`` names, so
    that peers that refuse can be replaced.
    """
    others = [member for member in live if member.name != own.name]
    start = _rank(own.name)
    ring = sorted(
        others,
        key=lambda member: (_rank(member.name) < start, _rank(member.name)),
    )
    ring_count = min(RING_COUNT, count)
    chosen = [member.name for member in ring[:ring_count]]
    far = sorted(
        ring[ring_count:],
        key=lambda member: (
            member.failure_domain == own.failure_domain,
            _rank(f'{own.name} {member.name}'),
        ),
    )
    chosen.extend(member.name for member in far)
    return tuple(chosen[: count * 2])


def _rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
