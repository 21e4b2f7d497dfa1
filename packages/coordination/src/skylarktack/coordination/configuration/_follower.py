"""Keeps the configuration of one instance up to date.

A few instances watch the object API and push new revisions to their peers;
the others also poll it at a low rate.
"""

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
from skylarktack.coordination.configuration import _store_reads

#: Instances that watch the object API; the others receive revisions from
#: peers. Three tolerate the loss of any two at once in a fleet of any size.
WATCHER_COUNT = 3

#: Maximum wait of one watch call.
WATCH_WAIT_S = 10.0

#: Minimum interval between two reads of an instance that does not watch.
POLL_MIN_S = 20.0

#: Maximum interval between two reads of an instance that does not watch.
POLL_MAX_S = 40.0

#: Delay after a failed call to the object API.
RETRY_WAIT_S = 0.5

#: Longest mean delay between two reads of a record that cannot be decoded, or
#: while each watch fails. Each read costs the object API the whole record, and
#: with its jitter the delay leaves half of the 15 s in which a change is in
#: force everywhere.
MAX_READ_WAIT_S = 5.0

#: Maximum wait for a peer's response.
PEER_TIMEOUT_S = 1.0

#: Peers that must respond before a starting instance uses their revision
#: while the object API is unavailable, unless fewer are live.
PEER_QUORUM_COUNT = 2

_LOG = structlog.get_logger(part='configuration')


@dataclasses.dataclass(frozen=True)
class FollowerDependencies:
    """Dependencies of ``ConfigurationFollower``."""

    store: ports.ObjectStore

    peers: ports.PeerNetwork

    codec: _codec.ConfigurationCodec

    #: Receives each new revision.
    holder: _holder.ConfigurationHolder

    clock: ports.Clock

    metrics: ports.Metrics


class ConfigurationFollower:
    """Applies new revisions from the object API and from peers.

    ``follow`` runs in one task. Gossip only queues fetch requests for it;
    revisions pushed by peers are applied by the message handler.
    """

    def __init__(
        self, dependencies: FollowerDependencies, seed: int | None = None
    ) -> None:
        self._dependencies = dependencies
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._fetch_requests: queue.SimpleQueue[state.InstanceName | None] = (
            queue.SimpleQueue()
        )
        self._encoded_record = b''
        self._encoded_lock = threading.Lock()
        self._seen_version = 0
        self._seen_era: int | None = None
        self._stored_position = state.ConfigurationPosition(0, 0)
        # Mean delay before a read that a watch cannot replace.
        self._read_wait_s = RETRY_WAIT_S
        self._has_watch_failed = False
        # Mean delay after the next failed watch.
        self._watch_retry_s = RETRY_WAIT_S
        self._store_reachable = False
        peers = dependencies.peers
        peers.register_handler(state.ConfigurationOffer, self._on_offer)
        peers.register_handler(state.ConfigurationFetch, self._on_fetch)

    @property
    def store_reachable(self) -> bool:
        """Whether the last call to the object API succeeded.

        A failed watch does not count, since the object API may cut it off.
        """
        return self._store_reachable

    def follow(self) -> None:
        """Keep the configuration up to date until ``stop`` is called."""
        self._load_initial()
        while not self._stopping.is_set():
            if self.is_watcher():
                self._watch()
                continue
            self._wait_for_fetch_request()

    def stop(self) -> None:
        """End ``follow``; a pending watch call ends with its connection."""
        self._stopping.set()
        self._fetch_requests.put(None)

    def is_watcher(self) -> bool:
        """Return whether this instance watches the object API.

        The watchers are the first live instances in the order of a hash.
        """
        names = [
            member.name
            for member in self._dependencies.peers.members()
            if member.state is state.MemberState.ALIVE
        ]
        names.sort(key=_rank)
        return self._dependencies.peers.name in names[:WATCHER_COUNT]

    def request_fetch(self, peer: state.InstanceName) -> None:
        """Queue a fetch from a peer that announced a newer revision."""
        self._fetch_requests.put(peer)

    def _load_initial(self) -> None:
        while not self._stopping.is_set():
            if self._read_store() or self._fetch_from_peers():
                return
            self._dependencies.clock.wait(self._stopping, RETRY_WAIT_S)

    def _watch(self) -> None:
        dependencies = self._dependencies
        if self._must_read() and not self._read_after_restore():
            self._process_fetch_request(
                self._read_wait_s * (0.5 + self._random.random())
            )
            return
        era = self._seen_era
        batch = dependencies.store.watch(
            _publisher.CURRENT_KEY, self._seen_version, WATCH_WAIT_S
        )
        dependencies.metrics.count('configuration.watch_call')
        if batch.is_error():
            # The object API may cut off each watch while it serves reads, so
            # a read comes next. Peers may still announce a newer revision.
            self._has_watch_failed = True
            self._process_fetch_request(
                self._watch_retry_s * (0.5 + self._random.random())
            )
            self._watch_retry_s = min(MAX_READ_WAIT_S, 2 * self._watch_retry_s)
            return
        self._store_reachable = True
        self._watch_retry_s = RETRY_WAIT_S
        if dependencies.store.era != era:
            # The changes may be of an era that has ended; the next round
            # reads the record of the new one.
            return
        self._seen_version = max(self._seen_version, batch.ok.version)
        for stored in batch.ok.changed:
            self._apply_stored(stored)
        self._process_fetch_request(0.0)

    def _must_read(self) -> bool:
        """Return whether a watch would miss what the store has."""
        if self._has_watch_failed:
            return True
        if self._dependencies.store.era != self._seen_era:
            return True
        return self._is_active_lost()

    def _is_active_lost(self) -> bool:
        """Return whether a restored store lacks the active revision.

        A stored record of the current era is no loss, even if the active one
        is newer: the read was only late.
        """
        if self._seen_era is None or self._stored_position.era >= (
            self._seen_era
        ):
            return False
        active = self._dependencies.holder.current()
        return bool(active.revision) and (
            active.position > self._stored_position
        )

    def _read_after_restore(self) -> bool:
        """Read the store; return whether it has the active revision."""
        return self._read_store() and not self._must_read()

    def _wait_for_fetch_request(self) -> None:
        if self._process_fetch_request(
            self._random.uniform(POLL_MIN_S, POLL_MAX_S)
        ):
            return
        self._read_store()

    def _process_fetch_request(self, wait_s: float) -> bool:
        try:
            peer = (
                self._fetch_requests.get(timeout=wait_s)
                if wait_s
                else (self._fetch_requests.get_nowait())
            )
        except queue.Empty:
            return False
        if peer is not None:
            self._fetch_from_peer(peer)
        return True

    def _read_store(self) -> bool:
        read = _store_reads.read_in_one_era(
            self._dependencies.store, _publisher.CURRENT_KEY
        )
        found = read.found
        self._dependencies.metrics.count('configuration.read_call')
        if found.is_error():
            missing = found.error.kind is state.StoreFaultKind.MISSING
            self._store_reachable = missing
            if missing:
                self._has_watch_failed = False
                self._begin_era(read.era)
                self._write_again_if_lost(None)
            return missing
        self._store_reachable = True
        self._has_watch_failed = False
        self._begin_era(read.era)
        self._seen_version = max(self._seen_version, found.ok.version)
        if not self._apply_stored(found.ok):
            self._read_wait_s = min(MAX_READ_WAIT_S, 2 * self._read_wait_s)
            return False
        self._read_wait_s = RETRY_WAIT_S
        self._write_again_if_lost(found.ok)
        return True

    def _begin_era(self, era: int) -> None:
        if era == self._seen_era:
            return
        self._seen_era = era
        self._seen_version = 0
        self._stored_position = state.ConfigurationPosition(0, 0)
        self._read_wait_s = RETRY_WAIT_S

    def _write_again_if_lost(self, stored: state.StoredObject | None) -> None:
        """Write the active record over the older one of a restored store."""
        if not self._is_active_lost():
            return
        dependencies = self._dependencies
        with self._encoded_lock:
            position = dependencies.holder.current().position
            value = self._encoded_record
        if stored is not None:
            # Archives the replaced record first. A conflict means that the
            # history has it already; a failed write leaves a gap there.
            dependencies.store.put(
                _publisher.history_key(self._stored_position.revision),
                stored.value,
                None,
            )
        written = dependencies.store.put(
            _publisher.CURRENT_KEY,
            value,
            None if stored is None else stored.version,
        )
        dependencies.metrics.count('configuration.written_again')
        if written.is_error() or dependencies.store.era != self._seen_era:
            # Another instance may have written it; the next read shows it.
            return
        self._stored_position = position
        self._seen_version = written.ok.version
        _LOG.warning(
            'a restored store lacked the configuration; it was written again',
            revision=position.revision,
        )

    def _fetch_from_peers(self) -> bool:
        peers = self._dependencies.peers
        other_names = [
            member.name
            for member in peers.members()
            if member.name != peers.name
        ]
        response_count = 0
        for name in other_names:
            if self._fetch_from_peer(name):
                response_count += 1
        quorum = min(PEER_QUORUM_COUNT, len(other_names))
        return quorum > 0 and response_count >= quorum

    def _fetch_from_peer(self, peer: state.InstanceName) -> bool:
        active = self._dependencies.holder.current()
        result = self._dependencies.peers.request(
            peer,
            state.ConfigurationFetch(active.revision, active.era),
            PEER_TIMEOUT_S,
        )
        if result.is_error():
            return False
        response = result.ok
        if not isinstance(response, state.ConfigurationResponse):
            return False
        if response.record is not None:
            self._apply_record(response.record)
        return response.revision > 0

    def _apply_stored(self, stored: state.StoredObject) -> bool:
        """Apply a record of the store; return whether it is valid."""
        record = self._apply_record(stored.value, is_stored=True)
        if record is None:
            return False
        self._stored_position = record.position
        return True

    def _apply_record(
        self, value: bytes, is_stored: bool = False
    ) -> state.ConfigurationRecord | None:
        """Apply a record if it is newer; return it, or None if invalid.

        :param is_stored: whether the object API has it, and not just a peer.
        """
        dependencies = self._dependencies
        decoded = dependencies.codec.decode(value)
        if decoded.is_error():
            dependencies.metrics.count('configuration.invalid_record')
            _LOG.error(
                'configuration record is invalid', findings=len(decoded.error)
            )
            return None
        record = decoded.ok
        if _rules.check_document(record.document):
            dependencies.metrics.count('configuration.invalid_record')
            _LOG.error(
                'configuration document is invalid', revision=record.revision
            )
            return None
        active = dependencies.holder.current()
        if is_stored and _is_of_earlier_release(record, active):
            record = dataclasses.replace(record, era=active.era)
            value = dependencies.codec.encode(record)
        if record.position < active.position:
            # The object API or the peer lags behind; ignored below.
            dependencies.metrics.count('configuration.older_record')
        with self._encoded_lock:
            if not dependencies.holder.replace_if_newer(
                record.position, record.document
            ):
                return record
            self._encoded_record = value
        _LOG.info('configuration revision applied', revision=record.revision)
        dependencies.metrics.gauge('configuration.revision', record.revision)
        dependencies.peers.broadcast(
            state.ConfigurationOffer(record.revision, value, record.era)
        )
        return record

    def _on_offer(
        self, peer: state.InstanceName, offer: state.ConfigurationOffer
    ) -> None:
        # Several neighbours push the same revision. Only the first is
        # decoded, which takes 119 ms for 13,000 organisations.
        if self._dependencies.holder.is_newer(offer.position):
            self._apply_record(offer.record)

    def _on_fetch(
        self, peer: state.InstanceName, fetch: state.ConfigurationFetch
    ) -> state.ConfigurationResponse:
        with self._encoded_lock:
            active = self._dependencies.holder.current()
            revision = active.revision
            if active.position <= fetch.known_position:
                return state.ConfigurationResponse(revision)
            return state.ConfigurationResponse(revision, self._encoded_record)


def _is_of_earlier_release(
    record: state.ConfigurationRecord, active: state.ActiveConfiguration
) -> bool:
    """Return whether an earlier release accepted it after the active one.

    Earlier releases write no era. A record from the copy has a lower revision
    than the active one, which was based on it.
    """
    if record.era or not active.era:
        return False
    return record.revision > active.revision


def _rank(name: state.InstanceName) -> bytes:
    return hashlib.blake2b(
        name.encode(), digest_size=8, person=b'watcher'
    ).digest()
