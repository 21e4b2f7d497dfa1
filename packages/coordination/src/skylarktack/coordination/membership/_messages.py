"""Messages of the membership part."""

import dataclasses

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class Join:
    """Request to exchange whole tables; answered by ``JoinResponse``."""

    #: The sender.
    sender: state.Member

    #: All instances that the sender knows of.
    members: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class JoinResponse:
    """Answer to ``Join``."""

    #: The answering instance.
    sender: state.Member

    #: All instances that it knows of.
    members: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class Probe:
    """Request for a sign of life; answered by ``ProbeResponse``."""

    #: The sender.
    sender: state.Member

    #: Recent news.
    news: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class ProbeResponse:
    """Answer to ``Probe``."""

    #: The answering instance.
    sender: state.Member

    #: Recent news.
    news: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class IndirectProbe:
    """Request to probe an instance; answered by ``IndirectProbeResponse``."""

    #: The instance to probe.
    target: state.InstanceName

    #: Longest wait for its answer.
    timeout_ms: int

    #: Incarnation of the instance that the asker knows.
    incarnation: int = 0


@dataclasses.dataclass(frozen=True)
class IndirectProbeResponse:
    """Answer to ``IndirectProbe``."""

    #: Whether the instance answered.
    reached: bool

    #: The instance as the helper knows it, if it announced its stop; the
    #: asker may not have heard that.
    news: tuple[state.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class MembershipUpdates:
    """Changes that are passed on at once.

    As a request it is answered once they were taken in.
    """

    #: Changed instances.
    members: tuple[state.Member, ...]


@dataclasses.dataclass(frozen=True)
class TopicPayload:
    """What one gossip topic tells a neighbour."""

    #: Name of the topic.
    topic: str

    #: Its content, opaque here.
    content: bytes


@dataclasses.dataclass(frozen=True)
class Exchange:
    """Periodic message to a neighbour; not answered."""

    #: Recent news.
    news: tuple[state.Member, ...] = ()

    #: Digest of the sender's table.
    digest: int = 0

    #: Part of the sender's table, if the neighbour's digest differed.
    members: tuple[state.Member, ...] = ()

    #: Gossip topics.
    topics: tuple[TopicPayload, ...] = ()


#: Requests whose handlers never wait.
NON_BLOCKING_TYPES: frozenset[type] = frozenset(
    {Probe, Join, MembershipUpdates}
)
