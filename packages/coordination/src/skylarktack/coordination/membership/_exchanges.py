"""Periodic exchanges between neighbours and what they carry."""

import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.membership import _messages
from skylarktack.coordination.membership import _view

#: Members of the table sent with one exchange while digests differ.
SLICE_COUNT = 4

_LOG = structlog.get_logger(part='membership')


class Exchanges:
    """Sends state to neighbours in turn and takes theirs in."""

    def __init__(
        self,
        settings: state.PeerSettings,
        network: ports.NeighbourNetwork,
        table: state.MemberTable,
        beliefs: _view.Beliefs,
        metrics: ports.Metrics,
    ) -> None:
        self._settings = settings
        self._network = network
        self._table = table
        self._beliefs = beliefs
        self._metrics = metrics
        self._lock = threading.Lock()
        self._topics: dict[str, ports.GossipTopic] = {}
        self._digests: dict[state.InstanceName, int] = {}
        self._first_topics: dict[state.InstanceName, int] = {}
        self._turn = 0
        self._slice_start = 0
        network.register_handler(_messages.Exchange, self._receive)
        network.register_handler(
            _messages.MembershipUpdates, self._receive_news
        )

    def add_topic(self, topic: ports.GossipTopic) -> None:
        """Carry a topic from now on."""
        with self._lock:
            self._topics[topic.name] = topic

    def send_urgent(self) -> None:
        """Pass fresh news on to all neighbours but the one that told it."""
        urgent = self._beliefs.take_urgent()
        if not urgent:
            return
        for peer in self._network.neighbours():
            members = tuple(
                news.member for news in urgent if news.source != peer
            )
            if members:
                self._network.send(peer, _messages.MembershipUpdates(members))

    def send_next(self) -> None:
        """Send an exchange to the next neighbours in turn."""
        neighbours = self._network.neighbours()
        if not neighbours:
            return
        for _ in range(min(self._settings.exchange_count, len(neighbours))):
            self._turn = (self._turn + 1) % len(neighbours)
            peer = neighbours[self._turn]
            self._network.send(peer, self._compose(peer))

    def _compose(self, peer: state.InstanceName) -> _messages.Exchange:
        digest = self._table.digest()
        members: tuple[state.Member, ...] = ()
        if self._digests.get(peer, digest) != digest:
            members = self._next_slice()
        return _messages.Exchange(
            news=self._beliefs.piggybacked(),
            digest=digest,
            members=members,
            topics=self._topic_payloads(peer),
        )

    def _next_slice(self) -> tuple[state.Member, ...]:
        everyone = self._table.all()
        start = self._slice_start % len(everyone)
        self._slice_start = start + SLICE_COUNT
        return everyone[start : start + SLICE_COUNT]

    def _topic_payloads(
        self, peer: state.InstanceName
    ) -> tuple[_messages.TopicPayload, ...]:
        with self._lock:
            topics = list(self._topics.values())
        if topics:
            # A topic that always fills the budget must not starve others,
            # so each peer's exchanges begin with the topics in turn.
            first = self._first_topics.get(peer, 0) % len(topics)
            self._first_topics[peer] = first + 1
            topics = topics[first:] + topics[:first]
        left_bytes = self._settings.exchange_limit_bytes
        payloads: list[_messages.TopicPayload] = []
        for topic in topics:
            content = topic.outgoing(peer, left_bytes)
            if content is None:
                continue
            if len(content) > left_bytes:
                self._metrics.count('membership.oversized_topics')
                continue
            left_bytes -= len(content)
            payloads.append(_messages.TopicPayload(topic.name, content))
        return tuple(payloads)

    def _receive(
        self, peer: state.InstanceName, message: _messages.Exchange
    ) -> None:
        self._digests[peer] = message.digest
        self._beliefs.take(message.news, peer)
        self._beliefs.take(message.members, peer, softened=True)
        for payload in message.topics:
            with self._lock:
                topic = self._topics.get(payload.topic)
            if topic is None:
                # A newer release may carry topics that are unknown here.
                continue
            try:
                topic.receive(peer, payload.content)
            except Exception as error:  # must not stop other topics
                _LOG.error(
                    'gossip topic failed',
                    topic=payload.topic,
                    error=repr(error),
                )
                self._metrics.count('membership.topic_errors')

    def _receive_news(
        self, peer: state.InstanceName, message: _messages.MembershipUpdates
    ) -> None:
        self._beliefs.take(message.members, peer)
