"""HTTP servers by waitress: one thread for each request in work."""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time
from typing import Any

import structlog

from skylarktack import state
from skylarktack.transport import _stoppable_server

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]

#: Interval at which a stop checks for open connections.
STOP_CHECK_S = 0.05

#: Maximum wait for the end of the workers, and of the server's own thread,
#: once all connections are closed.
END_S = 1

_LOG = structlog.get_logger(part='http server')


class WsgiServer:
    """A waitress server that runs in a thread of its own."""

    def __init__(
        self,
        application: Application,
        listen: state.Address,
        settings: state.CallerSettings,
    ) -> None:
        self._server = _stoppable_server.StoppableServer(
            application,
            host=listen.host,
            port=listen.port,
            threads=settings.thread_count,
            ident='skylarktack',
            connection_limit=settings.thread_count * 4,
            max_request_body_size=settings.body_limit_bytes,
            # Instances have no disk that a large body could go to.
            inbuf_overflow=settings.body_limit_bytes + 1,
            outbuf_high_watermark=settings.output_limit_bytes,
            # Lets the server see that a caller has disconnected.
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        self._thread = threading.Thread(
            target=self._server.run, name='wsgi-server', daemon=True
        )

    @property
    def address(self) -> state.Address:
        """Where the server listens, with the port that it was given."""
        assert self._server.socket is not None
        host, port = self._server.socket.getsockname()[:2]
        return state.Address(str(host), int(port))

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def stop(self, timeout_s: float) -> None:
        """Stop to accept connections, answer what was received, then end.

        :param timeout_s: maximum wait for the answers; connections that are
            open after it are cut.
        """
        if not self._thread.is_alive():
            # Not started, or stopped before.
            self._server.close()
            self._server.task_dispatcher.shutdown(timeout=END_S)
            return
        end_s = time.monotonic() + timeout_s
        self._server.call_in_thread(self._server.stop_accepting)
        while self._has_connections() and time.monotonic() < end_s:
            self._server.call_in_thread(self._server.close_idle)
            time.sleep(STOP_CHECK_S)
        cut_count = len(self._server.active_channels)
        if cut_count:
            _LOG.warning('connections cut by the stop', count=cut_count)
            self._server.call_in_thread(self._server.close_all)
        self._server.task_dispatcher.shutdown(timeout=END_S)
        if not self._server.task_dispatcher.threads:
            self._server.call_in_thread(self._server.end)
            self._thread.join(timeout=END_S)

    def _has_connections(self) -> bool:
        if not self._thread.is_alive():
            return False
        return self._server.accepting or bool(self._server.active_channels)
