"""Gossip topic that distributes target load digests."""

import threading

from skylarktack import state
from skylarktack.coordination.routing import _records
from skylarktack.coordination.routing import _table
from skylarktack.coordination.routing import _watch


class DigestTopic:
    """Sends each peer the latest digests not yet sent to it."""

    name = 'target-load'

    def __init__(
        self,
        settings: state.RoutingSettings,
        table: _table.TargetTable,
        codec: _records.DigestCodec,
        notices: _watch.LeavingNotices,
    ) -> None:
        self._settings = settings
        self._table = table
        self._codec = codec
        self._notices = notices
        self._lock = threading.Lock()
        self._sent_serials: dict[state.InstanceName, int] = {}

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the latest unsent digests within the byte limit, or None."""
        budget_bytes = min(limit_bytes, self._settings.digest_limit_bytes)
        count = budget_bytes // self._codec.digest_bytes
        with self._lock:
            serial, digests = self._table.digests_since(
                self._sent_serials.get(peer, 0), count
            )
            self._sent_serials[peer] = serial
        if not digests:
            return None
        return self._codec.encode(digests)

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Merge digests received from a peer and announce leaving targets."""
        leaving = self._table.merge_digests(self._codec.decode(payload))
        for target in leaving:
            self._notices.announce(target)

    def keep_peers(self, peers: tuple[state.InstanceName, ...]) -> None:
        """Drop the send positions of peers that have left."""
        with self._lock:
            for name in set(self._sent_serials) - set(peers):
                del self._sent_serials[name]
