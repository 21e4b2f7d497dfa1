"""Messages between entry instances over websockets."""

import concurrent.futures
import dataclasses
import functools
import socket
import struct
import threading
from typing import Any
import uuid

from expression import Error
from expression import Ok
from expression import Result
import structlog
from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection as websocket
from websockets.sync import server

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.transport import _peer_handshake
from skylarktack.transport import _peer_link
from skylarktack.transport import _peer_links

#: Longest wait for a connection, its websocket and its handshake.
OPEN_TIMEOUT_S = 1.0

#: Longest wait of one write to a peer that does not read.
SEND_TIMEOUT_S = 1.0

#: Requests of peers that are handled at once; each holds a thread.
HANDLER_COUNT = 32

#: Requests of peers that are handled or wait for a thread; further ones
#: are refused unhandled.
REQUEST_LIMIT_COUNT = 256

_LOG = structlog.get_logger(part='peers')


@dataclasses.dataclass(frozen=True)
class PeerNetworkParts:
    """What the network of one instance needs."""

    #: How peers talk to each other.
    settings: state.PeerSettings

    #: Shared secret of the deployment.
    secret: str

    #: All instances; the network reads names and addresses from it.
    table: state.MemberTable

    #: Message types by tag.
    messages: dict[str, type]

    #: Source of time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics

    #: Runs the tasks of connections and of requests.
    supervisor: ports.TaskSupervisor

    #: Requests that are handled by the connection's own thread, because
    #: their handlers never wait.
    inline_types: frozenset[type] = frozenset()


class WebsocketPeerNetwork:
    """Connections to neighbours, and short ones to other instances.

    One thread reads each connection. Plain messages are handled by that
    thread; requests are handled by a bounded pool.
    """

    def __init__(
        self, parts: PeerNetworkParts, listening: socket.socket
    ) -> None:
        self._parts = parts
        self._listening = listening
        self._codec = protocol.PeerCodec(parts.messages)
        self._handshake = _peer_handshake.PeerHandshake(
            parts.table.own.name,
            uuid.uuid4().hex,
            parts.secret,
            self._codec,
            OPEN_TIMEOUT_S,
            parts.metrics,
        )
        self._links = _peer_links.PeerLinks(
            parts.table.own.name, parts.settings, parts.clock, parts.metrics
        )
        self._handlers: dict[type, ports.PeerHandler] = {}
        self._request_slots = threading.BoundedSemaphore(REQUEST_LIMIT_COUNT)
        self._request_pool = concurrent.futures.ThreadPoolExecutor(
            HANDLER_COUNT, thread_name_prefix='peer-request'
        )
        # Readers of connections opened here; the server has its own threads.
        self._reader_pool = concurrent.futures.ThreadPoolExecutor(
            parts.settings.connection_count * 4, thread_name_prefix='peer-link'
        )
        self._stopping = threading.Event()
        self._server = self._serve()
        self._server_thread = threading.Thread(
            target=self._server.serve_forever, name='peer-server', daemon=True
        )

    @property
    def name(self) -> state.InstanceName:
        """Name of this instance."""
        return self._parts.table.own.name

    def members(self) -> tuple[state.Member, ...]:
        """Return the live instances as known here, this one included."""
        return self._parts.table.live()

    def start(self) -> None:
        """Start to accept peers."""
        self._server_thread.start()

    def stop(self) -> None:
        """Close all connections at once and end all threads."""
        self._stopping.set()
        self._links.close_all()
        self._server.shutdown(close_connections=False)
        self._links.close_all()
        self._reader_pool.shutdown(wait=False, cancel_futures=True)
        self._request_pool.shutdown(wait=False, cancel_futures=True)

    def register_handler(
        self, message_type: type, handler: ports.PeerHandler
    ) -> None:
        """Register the handler for one type of message."""
        self._handlers[message_type] = handler

    def neighbours(self) -> tuple[state.InstanceName, ...]:
        """Return the peers with a lasting connection."""
        return self._links.neighbours()

    def connect(self, peer: state.InstanceName) -> bool:
        """Open a lasting connection unless there is one."""
        if self._links.neighbour(peer) is not None:
            return True
        return self._open(peer, lasting=True).is_ok()

    def disconnect(self, peer: state.InstanceName) -> None:
        """Close the lasting connection to a peer."""
        link = self._links.neighbour(peer)
        if link is not None:
            link.close()

    def close_stale_connections(self) -> None:
        """Close idle short connections and unresponsive lasting ones."""
        self._links.close_idle()

    def send(self, peer: state.InstanceName, message: object) -> bool:
        """Send without an answer; False if it certainly was not sent."""
        linked = self._link_to(peer)
        return linked.is_ok() and linked.ok.send(message)

    def broadcast(self, message: object) -> int:
        """Send to all neighbours; return how many were reached."""
        reached_count = 0
        for peer in self._links.neighbours():
            link = self._links.neighbour(peer)
            if link is not None and link.send(message):
                reached_count += 1
        return reached_count

    def request(
        self, peer: state.InstanceName, message: object, timeout_s: float
    ) -> Result[Any, ports.PeerFault]:
        """Send and wait for the answer."""
        linked = self._link_to(peer, timeout_s)
        if linked.is_error():
            return Error(
                ports.PeerFault(
                    ports.PeerFaultKind.UNREACHABLE, str(linked.error)
                )
            )
        return linked.ok.request(message, timeout_s)

    def _link_to(
        self, peer: state.InstanceName, timeout_s: float = OPEN_TIMEOUT_S
    ) -> Result[_peer_link.PeerLink, str]:
        link = self._links.find(peer)
        if link is not None:
            return Ok(link)
        return self._open(peer, False, min(timeout_s, OPEN_TIMEOUT_S))

    def _open(
        self,
        peer: state.InstanceName,
        lasting: bool,
        timeout_s: float = OPEN_TIMEOUT_S,
    ) -> Result[_peer_link.PeerLink, str]:
        last: Result[_peer_link.PeerLink, str] = Error('no address is known')
        if self._stopping.is_set():
            return Error('this instance stops')
        for address in self._parts.table.addresses(peer):
            last = self._open_at(peer, address, lasting, timeout_s)
            if last.is_ok():
                break
        return last

    def _open_at(
        self,
        peer: state.InstanceName,
        address: state.Address,
        lasting: bool,
        timeout_s: float,
    ) -> Result[_peer_link.PeerLink, str]:
        try:
            raw = socket.create_connection(
                (address.host, address.port), timeout_s
            )
            raw.settimeout(None)
            connection = client.connect(
                f'ws://{address}/',
                sock=raw,
                compression=None,
                user_agent_header=None,
                proxy=None,
                open_timeout=timeout_s,
                ping_interval=None,
                max_size=self._parts.settings.frame_limit_bytes,
                legacy=True,
            )
        except (OSError, exceptions.WebSocketException) as error:
            return Error(repr(error))
        _limit_writes(connection)
        self._count_opening(connection)
        proved = self._handshake.initiate(connection, peer, lasting)
        if proved.is_error():
            connection.close_socket()
            self._count_refusal(proved.error)
            return Error(proved.error)
        link = self._register(connection, proved.ok)
        if link is None:
            return Error('too many connections')
        self._reader_pool.submit(self._supervise_link, link)
        return Ok(link)

    def _register(
        self,
        connection: websocket.Connection,
        session: _peer_link.PeerSession,
    ) -> _peer_link.PeerLink | None:
        link = _peer_link.PeerLink(
            connection,
            session,
            self._codec,
            self._parts.clock,
            self._parts.metrics,
        )
        if self._stopping.is_set() or not self._links.add(link):
            link.close()
            return None
        return link

    def _serve(self) -> server.Server:
        serving = server.serve(
            self._accept,
            sock=self._listening,
            compression=None,
            server_header=None,
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=None,
            max_size=self._parts.settings.frame_limit_bytes,
        )
        serve_connection = serving.handler

        def _bounded(raw: socket.socket, address: Any) -> None:
            limit_count = self._parts.settings.connection_count * 6
            if len(serving.handler_threads) <= limit_count:
                serve_connection(raw, address)
                return
            self._count_refusal('crowded')
            raw.close()
            with serving.lock:
                serving.handler_threads.discard(threading.current_thread())

        serving.handler = _bounded
        return serving

    def _accept(self, connection: websocket.Connection) -> None:
        _limit_writes(connection)
        self._count_opening(connection)
        proved = self._handshake.accept(connection)
        if proved.is_error():
            self._count_refusal(proved.error)
            connection.close_socket()
            return
        link = self._register(connection, proved.ok)
        if link is not None:
            self._supervise_link(link)

    def _supervise_link(self, link: _peer_link.PeerLink) -> None:
        """Read a connection; an error closes it and is recorded."""
        try:
            self._parts.supervisor.run_once(
                'peer connections', functools.partial(self._read, link)
            )
        finally:
            link.close()
            self._links.remove(link)

    def _read(self, link: _peer_link.PeerLink) -> None:
        while True:
            received = link.receive()
            if received is None:
                return
            if received.is_error():
                self._refuse_frame(link, received.error)
                continue
            frame = received.ok
            if frame.request_number < 0:
                link.take_answer(frame)
                continue
            self._dispatch(link, frame)

    def _refuse_frame(
        self, link: _peer_link.PeerLink, fault: protocol.FrameFault
    ) -> None:
        if not fault.unknown_tag:
            self._count_refusal('malformed')
        if fault.request_number <= 0:
            return
        link.send(
            protocol.PeerRefusal(
                ports.PeerFaultKind.UNSUPPORTED.value, fault.message
            ),
            -fault.request_number,
        )

    def _dispatch(
        self, link: _peer_link.PeerLink, frame: protocol.Frame
    ) -> None:
        kind = type(frame.message)
        if not frame.request_number or kind in self._parts.inline_types:
            self._handle(link, frame)
            return
        if not self._request_slots.acquire(blocking=False):
            self._parts.metrics.count('peer.refused.busy')
            link.send(
                protocol.PeerRefusal(
                    ports.PeerFaultKind.UNREACHABLE.value, 'busy'
                ),
                -frame.request_number,
            )
            return
        try:
            self._request_pool.submit(self._handle_in_pool, link, frame)
        except RuntimeError:
            # The pool is shut down when this instance stops.
            self._request_slots.release()

    def _handle_in_pool(
        self, link: _peer_link.PeerLink, frame: protocol.Frame
    ) -> None:
        try:
            self._parts.supervisor.run_once(
                'peer requests', functools.partial(self._handle, link, frame)
            )
        finally:
            self._request_slots.release()

    def _handle(
        self, link: _peer_link.PeerLink, frame: protocol.Frame
    ) -> None:
        answer = self._answer(link.session.peer, frame.message)
        if not frame.request_number:
            return
        try:
            link.send(answer, -frame.request_number)
        except Exception:
            # An answer that cannot be encoded must not cost the peer its
            # whole timeout.
            link.send(
                protocol.PeerRefusal(
                    ports.PeerFaultKind.NO_ANSWER.value, 'answer not encoded'
                ),
                -frame.request_number,
            )
            raise

    def _answer(self, peer: state.InstanceName, message: Any) -> object:
        handler = self._handlers.get(type(message))
        if handler is None:
            return protocol.PeerRefusal(
                ports.PeerFaultKind.UNSUPPORTED.value, 'no handler'
            )
        try:
            answer = handler(peer, message)
        except Exception:  # a fault of one handler must not end the task
            _LOG.exception('handler failed', message=type(message).__name__)
            self._parts.metrics.count('peer.handler_errors')
            return protocol.PeerRefusal(
                ports.PeerFaultKind.NO_ANSWER.value, 'handler failed'
            )
        return protocol.PeerDone() if answer is None else answer

    def _count_opening(self, connection: websocket.Connection) -> None:
        sent, received = connection.request, connection.response
        if sent is None or received is None:
            return
        count = self._parts.metrics.count
        count('peer.openings')
        count(
            'peer.opening_bytes',
            len(sent.serialize()) + len(received.serialize()),
        )

    def _count_refusal(self, reason: str) -> None:
        self._parts.metrics.count(f'peer.refused.{reason}')


def _limit_writes(connection: websocket.Connection) -> None:
    limit = struct.pack('ll', int(SEND_TIMEOUT_S), 0)
    try:
        connection.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit
        )
    except OSError:
        # The peer closed the connection already.
        return
