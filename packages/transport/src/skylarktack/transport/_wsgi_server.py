"""HTTP servers by waitress: one thread for each request in work."""

from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import Any

import waitress.server

from skylarktack import state
from skylarktack.transport import _error_channel

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class WsgiServer:
    """A waitress server that runs in a thread of its own."""

    def __init__(
        self,
        application: Application,
        listen: state.Address,
        settings: state.CallerSettings,
    ) -> None:
        self._server = waitress.server.create_server(
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
        assert isinstance(self._server, waitress.server.BaseWSGIServer)
        self._server.channel_class = _error_channel.TypedErrorChannel
        self._thread = threading.Thread(
            target=self._server.run, name='wsgi-server', daemon=True
        )

    @property
    def address(self) -> state.Address:
        """Where the server listens, with the port that it was given."""
        assert isinstance(self._server, waitress.server.BaseWSGIServer)
        assert self._server.socket is not None
        host, port = self._server.socket.getsockname()[:2]
        return state.Address(str(host), int(port))

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to accept connections and end the server's threads."""
        self._server.close()
        self._server.task_dispatcher.shutdown()
        self._thread.join(timeout=5)
