"""Periodic gossip exchanges with neighbours."""

import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.membership import _messages
from skylarktack.coordination.membership import _view

#: Table entries sent with each exchange while the digests differ.
TABLE_SLICE_COUNT = 4

_LOG = structlog.get_logger(part='membership')


class Exchanges:
    """Sends updates and gossip topics to neighbours and applies theirs."""

    def __init__(
        self,
        settings: state.PeerSettings,
        network: ports.NeighbourNetwork,
        table: state.MemberTable,
        view: _view.MembershipView,
        metrics: ports.Metrics,
    ) -> None:
        self._settings = settings
        self._network = network
        self._table = table
        self._view = view
        self._metrics = metrics
        self._lock = threading.Lock()
        self._topics: dict[str, ports.GossipTopic] = {}
        self._digests: dict[state.InstanceName, int] = {}
        self._topic_offsets: dict[state.InstanceName, int] = {}
        self._cursor = 0
        self._slice_start = 0
        network.register_handler(_messages.Exchange, self._receive_exchange)
        network.register_handler(
            _messages.MembershipUpdates, self._receive_updates
        )

    def add_topic(self, topic: ports.GossipTopic) -> None:
        """Include a gossip topic in the exchanges from now on."""
        with self._lock:
            self._topics[topic.name] = topic

    def send_urgent_updates(self) -> None:
        """Send urgent updates to all neighbours except their sources."""
        urgent = self._view.drain_urgent()
        if not urgent:
            return
        for peer in self._network.neighbours():
            members = tuple(
                update.member for update in urgent if update.source != peer
            )
            if members:
                self._network.send(peer, _messages.MembershipUpdates(members))

    def send_exchanges(self) -> None:
        """Send an exchange to the next neighbours, round robin."""
        neighbours = self._network.neighbours()
        if not neighbours:
            return
        for _ in range(min(self._settings.exchange_count, len(neighbours))):
            self._cursor = (self._cursor + 1) % len(neighbours)
            peer = neighbours[self._cursor]
            self._network.send(peer, self._build_exchange(peer))

    def _build_exchange(self, peer: state.InstanceName) -> _messages.Exchange:
        digest = self._table.digest()
        members: tuple[state.Member, ...] = ()
        if self._digests.get(peer, digest) != digest:
            members = self._next_slice()
        return _messages.Exchange(
            news=self._view.next_updates(),
            digest=digest,
            members=members,
            topics=self._topic_payloads(peer),
        )

    def _next_slice(self) -> tuple[state.Member, ...]:
        all_members = self._table.all()
        start = self._slice_start % len(all_members)
        self._slice_start = start + TABLE_SLICE_COUNT
        return all_members[start : start + TABLE_SLICE_COUNT]

    def _topic_payloads(
        self, peer: state.InstanceName
    ) -> tuple[_messages.TopicPayload, ...]:
        with self._lock:
            topics = list(self._topics.values())
        if topics:
            # The first topic rotates for each peer, so that a topic that
            # always fills the byte budget does not starve the others.
            offset = self._topic_offsets.get(peer, 0) % len(topics)
            self._topic_offsets[peer] = offset + 1
            topics = topics[offset:] + topics[:offset]
        remaining_bytes = self._settings.exchange_limit_bytes
        payloads: list[_messages.TopicPayload] = []
        for topic in topics:
            content = topic.outgoing(peer, remaining_bytes)
            if content is None:
                continue
            if len(content) > remaining_bytes:
                self._metrics.count('membership.oversized_topics')
                continue
            remaining_bytes -= len(content)
            payloads.append(_messages.TopicPayload(topic.name, content))
        return tuple(payloads)

    def _receive_exchange(
        self, peer: state.InstanceName, message: _messages.Exchange
    ) -> None:
        self._digests[peer] = message.digest
        self._view.apply(message.news, peer)
        self._view.apply(message.members, peer, downgrade_deaths=True)
        for payload in message.topics:
            with self._lock:
                topic = self._topics.get(payload.topic)
            if topic is None:
                # A newer release may send topics that this one lacks.
                continue
            try:
                topic.receive(peer, payload.content)
            except Exception as error:  # one topic must not stop the others
                _LOG.error(
                    'gossip topic handler failed',
                    topic=payload.topic,
                    error=repr(error),
                )
                self._metrics.count('membership.topic_errors')

    def _receive_updates(
        self, peer: state.InstanceName, message: _messages.MembershipUpdates
    ) -> None:
        self._view.apply(message.members, peer)
