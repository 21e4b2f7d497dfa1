"""Messages of the membership protocol."""

import dataclasses

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class Join:
    """Request to exchange full member tables; answered by ``JoinResponse``."""

    sender: state.Member

    #: The sender's full member table.
    members: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class JoinResponse:
    """Answer to ``Join``."""

    sender: state.Member

    #: The responder's full member table.
    members: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class Probe:
    """Liveness check; answered by ``ProbeResponse``."""

    sender: state.Member

    #: Piggybacked membership updates.
    news: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class ProbeResponse:
    """Answer to ``Probe``."""

    sender: state.Member

    #: Piggybacked membership updates.
    news: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class IndirectProbe:
    """Request to probe an instance; answered by ``IndirectProbeResponse``."""

    target: state.InstanceName

    #: Maximum wait for the target's response.
    timeout_ms: int

    #: Incarnation of the target in the requester's table; 0 if the target is
    #: not in it, or if an earlier release sent the request.
    incarnation: int = 0


@dataclasses.dataclass(frozen=True)
class IndirectProbeResponse:
    """Answer to ``IndirectProbe``."""

    #: Whether the target responded.
    reached: bool

    #: The relay instance's entry for the target if the target announced its
    #: leave, which the requester may not have received; empty otherwise.
    news: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class MembershipUpdates:
    """Urgent membership updates, sent without waiting for an exchange.

    Sent as a request, it is answered once the updates have been merged.
    """

    members: tuple[state.Member, ...]


@dataclasses.dataclass(frozen=True)
class TopicPayload:
    """Content of one gossip topic for a neighbour."""

    #: Name of the topic.
    topic: str

    #: Encoded by the topic; opaque to the membership protocol.
    content: bytes


@dataclasses.dataclass(frozen=True)
class Exchange:
    """Periodic gossip message to a neighbour; it has no response."""

    #: Piggybacked membership updates.
    news: tuple[state.Member, ...] = ()

    #: Digest of the sender's member table.
    digest: int = 0

    #: Slice of the sender's table, if the neighbour's last digest differed.
    members: tuple[state.Member, ...] = ()

    topics: tuple[TopicPayload, ...] = ()


#: Request types whose handlers never block.
NON_BLOCKING_TYPES: frozenset[type] = frozenset(
    {Probe, Join, MembershipUpdates}
)
