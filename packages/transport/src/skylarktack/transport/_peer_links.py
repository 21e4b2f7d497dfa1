"""Open connections of one instance."""

import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.transport import _peer_link

#: Idle time after which a short connection is closed.
IDLE_S = 5.0

#: Time without a message after which a lasting connection counts as lost.
#: Neighbours exchange at least every few seconds.
INACTIVITY_TIMEOUT_S = 10.0


class PeerLinks:
    """Table of the open connections.

    A lasting connection belongs to two neighbours; either may have opened
    it. Short connections carry the requests of the side that opened them.
    Replaced connections drain: answers may still come, and they are closed
    when they are idle.
    """

    def __init__(
        self,
        name: state.InstanceName,
        settings: state.PeerSettings,
        clock: ports.Clock,
        metrics: ports.Metrics,
    ) -> None:
        self._name = name
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._lasting: dict[state.InstanceName, _peer_link.PeerLink] = {}
        self._opened: dict[state.InstanceName, _peer_link.PeerLink] = {}
        self._draining: set[_peer_link.PeerLink] = set()

    def add(self, link: _peer_link.PeerLink) -> bool:
        """Enter a connection; False if it must be closed instead."""
        with self._lock:
            if link.session.lasting:
                return self._add_lasting(link)
            if link.session.initiated:
                return self._add_opened(link)
            self._draining.add(link)
            return True

    def remove(self, link: _peer_link.PeerLink) -> None:
        """Remove a closed connection."""
        peer = link.session.peer
        with self._lock:
            if self._lasting.get(peer) is link:
                del self._lasting[peer]
            if self._opened.get(peer) is link:
                del self._opened[peer]
            self._draining.discard(link)

    def neighbours(self) -> tuple[state.InstanceName, ...]:
        """Return the peers with a lasting connection, in order of name."""
        with self._lock:
            return tuple(
                peer
                for peer in sorted(self._lasting)
                if self._lasting[peer].is_usable
            )

    def neighbour(
        self, peer: state.InstanceName
    ) -> _peer_link.PeerLink | None:
        """Return the lasting connection to a peer."""
        with self._lock:
            link = self._lasting.get(peer)
            return link if link is not None and link.is_usable else None

    def find(self, peer: state.InstanceName) -> _peer_link.PeerLink | None:
        """Return any connection that can carry a request to a peer."""
        with self._lock:
            for table in (self._lasting, self._opened):
                link = table.get(peer)
                if link is not None and link.is_usable:
                    return link
            return None

    def close_idle(self) -> None:
        """Close idle short connections and unresponsive lasting ones."""
        now_s = self._clock.monotonic_s()
        closing: list[_peer_link.PeerLink] = []
        with self._lock:
            for link in self._lasting.values():
                if now_s - link.received_s > INACTIVITY_TIMEOUT_S:
                    self._metrics.count('peer.silent_links')
                    closing.append(link)
            # The side that opened a short connection closes it; the other
            # one waits longer, so that no request crosses the close.
            for link in self._opened.values():
                if now_s - link.used_s > IDLE_S:
                    closing.append(link)
            for link in self._draining:
                factor = 1 if link.session.initiated else 4
                if now_s - link.used_s > IDLE_S * factor:
                    closing.append(link)
        for link in closing:
            link.close()

    def close_all(self) -> None:
        """Close all connections."""
        with self._lock:
            closing = [*self._lasting.values(), *self._opened.values()]
            closing.extend(self._draining)
        for link in closing:
            link.close()

    def _add_lasting(self, link: _peer_link.PeerLink) -> bool:
        peer = link.session.peer
        old = self._lasting.get(peer)
        if old is None:
            if len(self._lasting) >= self._settings.connection_count * 2:
                self._metrics.count('peer.refused.crowded')
                return False
            self._lasting[peer] = link
            return True
        crossed = (
            old.is_usable
            and old.session.start_id == link.session.start_id
            and old.session.initiated != link.session.initiated
        )
        if crossed and old.session.initiated == (self._name < peer):
            # Both sides connected at once; both use the connection that
            # the instance with the lower name opened.
            self._draining.add(link)
            return True
        self._draining.add(old)
        self._lasting[peer] = link
        return True

    def _add_opened(self, link: _peer_link.PeerLink) -> bool:
        peer = link.session.peer
        old = self._opened.get(peer)
        if old is not None and old.is_usable:
            self._draining.add(link)
            return True
        if old is not None:
            self._draining.add(old)
        elif len(self._opened) >= self._settings.connection_count * 2:
            if not self._close_idlest():
                self._metrics.count('peer.refused.crowded')
                return False
        self._opened[peer] = link
        return True

    def _close_idlest(self) -> bool:
        """Close a short connection without requests; False if all have."""
        idle = [one for one in self._opened.values() if not one.has_pending]
        if not idle:
            return False
        idlest = min(idle, key=lambda one: one.used_s)
        del self._opened[idlest.session.peer]
        idlest.close()
        return True
