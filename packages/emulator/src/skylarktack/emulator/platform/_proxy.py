"""A TCP proxy on the loopback address that harms what passes it."""

import enum
import select
import socket
import threading
import time

from skylarktack import state


class ProxyMode(enum.Enum):
    """What becomes of connections and their bytes."""

    PASS = 'pass'

    #: Bytes arrive later by the delay.
    DELAY = 'delay'

    #: Connections are reset, also new ones.
    RESET = 'reset'

    #: Bytes of open connections vanish both ways; new connections work.
    SILENCE = 'silence'

    #: Bytes towards the server vanish.
    CUT_OUT = 'cut_out'

    #: Bytes from the server vanish.
    CUT_BACK = 'cut_back'


class FaultProxy:
    """Passes connections on to one address, as its mode says."""

    #: Delay of bytes in the mode ``DELAY``.
    delay_s = 0.05

    def __init__(self, server: state.Address) -> None:
        self._server = server
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._lock = threading.Lock()
        self._mode = ProxyMode.PASS
        self._silenced: set[int] = set()
        self._pairs: dict[int, tuple[socket.socket, socket.socket]] = {}
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> state.Address:
        """Return where the proxy listens."""
        host, port = self._listener.getsockname()
        return state.Address(host, port)

    def set_mode(self, mode: ProxyMode) -> None:
        """Treat connections so from now on."""
        with self._lock:
            self._mode = mode
            pairs = dict(self._pairs)
            if mode is ProxyMode.SILENCE:
                self._silenced.update(pairs)
        if mode is not ProxyMode.RESET:
            return
        for pair in pairs.values():
            for connection in pair:
                _reset(connection)

    def close(self) -> None:
        """Stop accepting and reset what is open."""
        self.set_mode(ProxyMode.RESET)
        self._listener.close()

    def _accept(self) -> None:
        number = 0
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            number += 1
            threading.Thread(
                target=self._pass_on, args=(number, accepted), daemon=True
            ).start()

    def _pass_on(self, number: int, caller: socket.socket) -> None:
        with caller:
            if self._mode is ProxyMode.RESET:
                _reset(caller)
                return
            try:
                server = socket.create_connection(
                    (self._server.host, self._server.port)
                )
            except OSError:
                _reset(caller)
                return
            with server:
                with self._lock:
                    self._pairs[number] = (caller, server)
                try:
                    self._copy(number, caller, server)
                finally:
                    with self._lock:
                        self._pairs.pop(number, None)
                        self._silenced.discard(number)

    def _copy(
        self, number: int, caller: socket.socket, server: socket.socket
    ) -> None:
        while True:
            try:
                ready, _, _ = select.select([caller, server], [], [])
                for source in ready:
                    received = source.recv(65536)
                    if not received:
                        return
                    if self._is_dropped(number, source is caller):
                        continue
                    if self._mode is ProxyMode.DELAY:
                        time.sleep(self.delay_s)
                    drain = server if source is caller else caller
                    drain.sendall(received)
            except (OSError, ValueError):
                _reset(caller)
                return

    def _is_dropped(self, number: int, is_outward: bool) -> bool:
        if number in self._silenced:
            return True
        if self._mode is ProxyMode.CUT_OUT:
            return is_outward
        return self._mode is ProxyMode.CUT_BACK and not is_outward


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other side ended it at the same moment.
        return
