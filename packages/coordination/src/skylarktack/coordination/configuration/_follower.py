"""Keeps the configuration of one instance up to date."""

import dataclasses
import hashlib
import queue
import random
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.configuration import _codec
from skylarktack.coordination.configuration import _holder
from skylarktack.coordination.configuration import _publisher
from skylarktack.coordination.configuration import _rules

#: Instances that watch the object API; the others learn from peers. Three
#: survive the loss of any two at once, whatever the size of the fleet.
WATCHER_COUNT = 3

#: Longest wait of one watch call.
WATCH_WAIT_S = 10.0

#: Shortest time between two reads of an instance that does not watch.
POLL_MIN_S = 20.0

#: Longest time between two reads of an instance that does not watch.
POLL_MAX_S = 40.0

#: Wait after a failed call to the object API.
RETRY_WAIT_S = 0.5

#: Longest wait for a peer's answer.
PEER_TIMEOUT_S = 1.0

#: Peers that must answer before a starting instance trusts their revision
#: while the object API is down, unless fewer are alive.
TRUSTED_ANSWER_COUNT = 2

_LOG = structlog.get_logger(part='configuration')


@dataclasses.dataclass(frozen=True)
class FollowerDependencies:
    """Everything that following the configuration needs."""

    #: The platform's object API.
    store: ports.ObjectStore

    #: Other instances.
    peers: ports.PeerNetwork

    #: Encoding of records.
    codec: _codec.ConfigurationCodec

    #: The configuration of this instance.
    holder: _holder.ConfigurationHolder

    #: Time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics


class ConfigurationFollower:
    """Takes new revisions from the object API and from peers.

    ``follow`` runs in one task; handlers of peer messages only enqueue.
    """

    def __init__(
        self, parts: FollowerDependencies, seed: int | None = None
    ) -> None:
        self._parts = parts
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._hints: queue.SimpleQueue[state.InstanceName | None] = (
            queue.SimpleQueue()
        )
        self._encoded = b''
        self._encoded_lock = threading.Lock()
        self._seen_version = 0
        self._store_reachable = False
        peers = parts.peers
        peers.register_handler(state.ConfigurationOffer, self._on_offer)
        peers.register_handler(state.ConfigurationFetch, self._on_fetch)

    @property
    def store_reachable(self) -> bool:
        """Whether the last call to the object API succeeded."""
        return self._store_reachable

    def follow(self) -> None:
        """Keep the configuration up to date until ``stop``."""
        self._start()
        while not self._stopping.is_set():
            if self.is_watcher():
                self._watch()
                continue
            self._wait_for_hint()

    def stop(self) -> None:
        """End ``follow``; a waiting watch ends with its connection."""
        self._stopping.set()
        self._hints.put(None)

    def is_watcher(self) -> bool:
        """Return whether this instance is among those that watch."""
        names = [
            member.name
            for member in self._parts.peers.members()
            if member.state is state.MemberState.ALIVE
        ]
        names.sort(key=_rank)
        return self._parts.peers.name in names[:WATCHER_COUNT]

    def hint(self, peer: state.InstanceName) -> None:
        """Ask a peer that is known to have a newer revision."""
        self._hints.put(peer)

    def _start(self) -> None:
        while not self._stopping.is_set():
            if self._read_store() or self._ask_all_peers():
                return
            self._parts.clock.wait(self._stopping, RETRY_WAIT_S)

    def _watch(self) -> None:
        parts = self._parts
        batch = parts.store.watch(
            _publisher.CURRENT_KEY, self._seen_version, WATCH_WAIT_S
        )
        parts.metrics.count('configuration.watch_call')
        self._store_reachable = batch.is_ok()
        if batch.is_error():
            # Peers may still bring a newer revision during an outage.
            self._take_hints(RETRY_WAIT_S * (0.5 + self._random.random()))
            return
        self._seen_version = max(self._seen_version, batch.ok.version)
        for stored in batch.ok.changed:
            self._take(stored.value)
        self._take_hints(0.0)

    def _wait_for_hint(self) -> None:
        if self._take_hints(self._random.uniform(POLL_MIN_S, POLL_MAX_S)):
            return
        self._read_store()

    def _take_hints(self, wait_s: float) -> bool:
        try:
            peer = (
                self._hints.get(timeout=wait_s)
                if wait_s
                else (self._hints.get_nowait())
            )
        except queue.Empty:
            return False
        if peer is not None:
            self._ask_peer(peer)
        return True

    def _read_store(self) -> bool:
        found = self._parts.store.get(_publisher.CURRENT_KEY)
        self._parts.metrics.count('configuration.read_call')
        if found.is_error():
            missing = found.error.kind is state.StoreFaultKind.MISSING
            self._store_reachable = missing
            return missing
        self._store_reachable = True
        self._seen_version = max(self._seen_version, found.ok.version)
        return self._take(found.ok.value)

    def _ask_all_peers(self) -> bool:
        peers = self._parts.peers
        others = [
            member.name
            for member in peers.members()
            if member.name != peers.name
        ]
        answered_count = 0
        for name in others:
            if self._ask_peer(name):
                answered_count += 1
        wanted = min(TRUSTED_ANSWER_COUNT, len(others))
        return wanted > 0 and answered_count >= wanted

    def _ask_peer(self, peer: state.InstanceName) -> bool:
        known = self._parts.holder.current().revision
        answered = self._parts.peers.request(
            peer, state.ConfigurationFetch(known), PEER_TIMEOUT_S
        )
        if answered.is_error():
            return False
        answer = answered.ok
        if not isinstance(answer, state.ConfigurationResponse):
            return False
        if answer.record is not None:
            self._take(answer.record)
        return answer.revision > 0

    def _take(self, value: bytes) -> bool:
        parts = self._parts
        decoded = parts.codec.decode(value)
        if decoded.is_error():
            parts.metrics.count('configuration.invalid_record')
            _LOG.error('record is invalid', findings=len(decoded.error))
            return False
        record = decoded.ok
        if _rules.check_document(record.document):
            parts.metrics.count('configuration.invalid_record')
            _LOG.error('document is invalid', revision=record.revision)
            return False
        known = parts.holder.current().revision
        if record.revision < known:
            # The object API or a peer lags; the newer revision stays.
            parts.metrics.count('configuration.older_record')
        with self._encoded_lock:
            if not parts.holder.replace_if_newer(
                record.revision, record.document
            ):
                return True
            self._encoded = value
        _LOG.info('revision in effect', revision=record.revision)
        parts.metrics.gauge('configuration.revision', record.revision)
        parts.peers.broadcast(state.ConfigurationOffer(record.revision, value))
        return True

    def _on_offer(
        self, peer: state.InstanceName, offer: state.ConfigurationOffer
    ) -> None:
        # Several neighbours push the same revision; only the first of them
        # is worth decoding, which takes 119 ms for 13,000 organisations.
        if self._parts.holder.is_newer(offer.revision):
            self._take(offer.record)

    def _on_fetch(
        self, peer: state.InstanceName, fetch: state.ConfigurationFetch
    ) -> state.ConfigurationResponse:
        with self._encoded_lock:
            revision = self._parts.holder.current().revision
            if revision <= fetch.known_revision:
                return state.ConfigurationResponse(revision)
            return state.ConfigurationResponse(revision, self._encoded)


class RevisionTopic:
    """Tells peers which revision is in effect; asks those ahead for theirs."""

    def __init__(
        self,
        holder: _holder.ConfigurationHolder,
        follower: ConfigurationFollower,
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
        """Return the revision in effect as eight bytes."""
        return self._holder.current().revision.to_bytes(8, 'big')

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Ask the peer for its revision if it is newer."""
        if int.from_bytes(payload, 'big') > self._holder.current().revision:
            self._follower.hint(peer)


def _rank(name: state.InstanceName) -> bytes:
    return hashlib.blake2b(
        name.encode(), digest_size=8, person=b'watcher'
    ).digest()
