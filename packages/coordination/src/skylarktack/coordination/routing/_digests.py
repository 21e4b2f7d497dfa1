"""Gossip topic that spreads digests of targets' load."""

import threading

from skylarktack import state
from skylarktack.coordination.routing import _evidence
from skylarktack.coordination.routing import _table
from skylarktack.coordination.routing import _watch


class DigestTopic:
    """Sends each peer the newest digests that it has not been sent."""

    name = 'target-load'

    def __init__(
        self,
        settings: state.RoutingSettings,
        table: _table.TargetTable,
        codec: _evidence.DigestCodec,
        notices: _watch.LeavingNotices,
    ) -> None:
        self._settings = settings
        self._table = table
        self._codec = codec
        self._notices = notices
        self._lock = threading.Lock()
        self._sent: dict[state.InstanceName, int] = {}

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the newest digests within the budget, or None."""
        budget = min(limit_bytes, self._settings.digest_limit_bytes)
        count = budget // self._codec.digest_bytes
        with self._lock:
            serial, digests = self._table.digests_after(
                self._sent.get(peer, 0), count
            )
            self._sent[peer] = serial
        if not digests:
            return None
        return self._codec.encode(digests)

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Take in a peer's digests."""
        leaving = self._table.take_digests(self._codec.decode(payload))
        for target in leaving:
            self._notices.announce(target)

    def keep_peers(self, peers: tuple[state.InstanceName, ...]) -> None:
        """Forget what was sent to peers that are gone."""
        with self._lock:
            for name in set(self._sent) - set(peers):
                del self._sent[name]
