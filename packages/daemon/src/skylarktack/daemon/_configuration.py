"""Composition of configuration and its distribution."""

from skylarktack import protocol
from skylarktack import transport
from skylarktack.coordination import configuration
from skylarktack.coordination import membership
from skylarktack.coordination import ports


class ConfigurationComponents:
    """Publishes configurations, watches them and holds the one in effect."""

    def __init__(
        self,
        store: transport.HttpObjectStore,
        peers: ports.PeerNetwork,
        clock: ports.Clock,
        metrics: ports.Metrics,
    ) -> None:
        codec = protocol.JsonConfigurationCodec()
        self.holder = configuration.ConfigurationHolder(clock)
        self.publisher = configuration.ConfigurationPublisher(
            store, codec, clock, self.holder
        )
        self.follower = configuration.ConfigurationFollower(
            configuration.FollowerDependencies(
                store=store,
                peers=peers,
                codec=codec,
                holder=self.holder,
                clock=clock,
                metrics=metrics,
            )
        )

    def add_topics(self, members: membership.Membership) -> None:
        """Add the configuration revision to the gossip between peers."""
        members.add_topic(
            configuration.RevisionTopic(self.holder, self.follower)
        )
        members.add_topic(
            configuration.PositionTopic(self.holder, self.follower)
        )
