"""Gossip topic that carries statements about loans."""

import threading

from skylarktack import state
from skylarktack.coordination.limits import _admission
from skylarktack.coordination.limits import _allocator
from skylarktack.coordination.limits import _scopes


class LoanTopic:
    """Passes on what this and other instances want, lend and give back."""

    name = 'limit-loans'

    def __init__(
        self,
        settings: state.LimitSettings,
        book: _allocator.ShareAllocator,
        codec: _scopes.LoanCodec,
        admission: '_admission.SharedAdmission | None' = None,
    ) -> None:
        self._settings = settings
        self._book = book
        self._codec = codec
        self._admission = admission
        self._lock = threading.Lock()
        self._sent: dict[state.InstanceName, int] = {}

    def outgoing(
        self, peer: state.InstanceName, limit_bytes: int
    ) -> bytes | None:
        """Return the entries that the peer has not been sent, or None."""
        budget = min(limit_bytes, self._settings.loan_limit_bytes)
        with self._lock:
            found = self._book.outgoing(self._sent.get(peer, 0))
            if not found:
                return None
            payload, count = self._codec.encode(
                tuple(entry for _, entry in found), budget
            )
            if count == 0:
                return None
            self._sent[peer] = found[count - 1][0]
        return payload

    def receive(self, peer: state.InstanceName, payload: bytes) -> None:
        """Take in a peer's entries and start requests that fit now."""
        self._book.receive(self._codec.decode(payload))
        if self._admission is not None:
            self._admission.dispatch()

    def keep_peers(self, peers: tuple[state.InstanceName, ...]) -> None:
        """Forget what was sent to peers that are gone."""
        with self._lock:
            for name in set(self._sent) - set(peers):
                del self._sent[name]
