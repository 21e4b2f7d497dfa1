"""Gossip topic that distributes loan entries."""

import threading

from skylarktack import state
from skylarktack.coordination.limits import _admission
from skylarktack.coordination.limits import _allocator
from skylarktack.coordination.limits import _scopes


class LoanTopic:
    """Forwards loan requests, grants, returns and recalls of all instances."""

    name = 'limit-loans'

    def __init__(
        self,
        settings: state.LimitSettings,
        share_allocator: _allocator.ShareAllocator,
        codec: _scopes.LoanCodec,
        admission: '_admission.SharedAdmission | None' = None,
    ) -> None:
        self._settings = settings
        self._share_allocator = share_allocator
        self._codec = codec
        self._admission = admission
        self._lock = threading.Lock()
        self._sent_arrivals: dict[state.InstanceName, int] = {}

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the entries not yet sent to the peer, or None."""
        budget_bytes = min(limit_bytes, self._settings.loan_limit_bytes)
        with self._lock:
            entries = self._share_allocator.outgoing(
                self._sent_arrivals.get(peer, 0)
            )
            if not entries:
                return None
            payload, count = self._codec.encode(
                tuple(entry for _, entry in entries), budget_bytes
            )
            if count == 0:
                return None
            self._sent_arrivals[peer] = entries[count - 1][0]
        return payload

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Apply a peer's entries and start requests that have room now."""
        self._share_allocator.receive(self._codec.decode(payload))
        if self._admission is not None:
            self._admission.dispatch()

    def keep_peers(self, peers: tuple[state.InstanceName, ...]) -> None:
        """Drop the send positions of peers that have left."""
        with self._lock:
            for name in set(self._sent_arrivals) - set(peers):
                del self._sent_arrivals[name]
