"""Gossip of the configuration in effect, by which peers notice newer ones."""

from skylarktack import state
from skylarktack.coordination.configuration import _follower
from skylarktack.coordination.configuration import _holder


class RevisionTopic:
    """Gossips the current revision and fetches newer ones from peers.

    Earlier releases know this topic only, and read all of it as a revision.
    """

    def __init__(
        self,
        holder: _holder.ConfigurationHolder,
        follower: _follower.ConfigurationFollower,
    ) -> None:
        self._holder = holder
        self._follower = follower

    @property
    def name(self) -> str:
        """Unique name of the topic."""
        return 'configuration'

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the current revision as eight big-endian bytes."""
        return self._holder.current().revision.to_bytes(8, 'big')

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Request a fetch from the peer if its revision is newer."""
        revision = int.from_bytes(payload, 'big')
        # The era is not known; that of the peer has a topic of its own.
        position = state.ConfigurationPosition(0, revision)
        if position > self._holder.current().position:
            self._follower.request_fetch(peer)


class PositionTopic:
    """Gossips the era and the revision once the store was restored."""

    def __init__(
        self,
        holder: _holder.ConfigurationHolder,
        follower: _follower.ConfigurationFollower,
    ) -> None:
        self._holder = holder
        self._follower = follower

    @property
    def name(self) -> str:
        """Unique name of the topic."""
        return 'configuration_position'

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the era and the revision, each as 8 big-endian bytes.

        None in era 0, in which the revision is enough.
        """
        active = self._holder.current()
        if not active.era:
            return None
        return active.era.to_bytes(8, 'big') + active.revision.to_bytes(
            8, 'big'
        )

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Request a fetch from the peer if its position is newer."""
        position = state.ConfigurationPosition(
            era=int.from_bytes(payload[:-8], 'big'),
            revision=int.from_bytes(payload[-8:], 'big'),
        )
        if position > self._holder.current().position:
            self._follower.request_fetch(peer)
