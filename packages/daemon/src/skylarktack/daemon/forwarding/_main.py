"""Entry point of the forwarding front end on the users' platform."""

import os
import pathlib
import signal
import sys
import threading
from types import FrameType

from skylarktack import platform
from skylarktack.coordination import forwarding
from skylarktack.daemon.forwarding import _instance
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

#: Exit code for settings that were rejected.
EXIT_INVALID_SETTINGS = 2

#: Pause between two looks at the settings file.
SETTINGS_CHECK_S = 2.0

#: Address space of a thread's stack; there is a thread for each connection.
THREAD_STACK_BYTES = 256 * 1024


class _Signals:
    """Signals that the process has received."""

    def __init__(self) -> None:
        self.received = threading.Event()
        self.has_stop = False
        self.has_reload = False

    def install(self) -> None:
        """Receive the signals from now on."""
        signal.signal(signal.SIGTERM, self._order_stop)
        signal.signal(signal.SIGINT, self._order_stop)
        signal.signal(signal.SIGHUP, self._order_reload)

    def _order_stop(self, number: int, frame: FrameType | None) -> None:
        self.has_stop = True
        self.received.set()

    def _order_reload(self, number: int, frame: FrameType | None) -> None:
        self.has_reload = True
        self.received.set()


def main() -> None:
    """Run one instance until it is told to stop.

    The only argument is ``--metrics-port=PORT``; an argument parser would
    cost more processor time than the settings.
    """
    metrics_port = _metrics_port(sys.argv[1:])
    signals = _Signals()
    signals.install()
    threading.stack_size(THREAD_STACK_BYTES)
    path = os.environ.get(platform.PATH_VARIABLE, '')
    settings = _read_settings(path, metrics_port)
    if settings is None:
        sys.exit(EXIT_INVALID_SETTINGS)
    log = transport.LineLog(settings.instance)
    instance = _instance.ForwardingInstance(settings, log)
    instance.start()
    instance.record_start()
    while not signals.has_stop:
        signals.received.wait(SETTINGS_CHECK_S)
        signals.received.clear()
        if not signals.has_reload:
            continue
        signals.has_reload = False
        changed = _read_settings(path, metrics_port)
        log.record(forwarding.SettingsReloaded(changed != settings))
    instance.stop()
    # Threads that wait for callers or the store do not end by themselves.
    os._exit(0)


def _metrics_port(arguments: list[str]) -> int | None:
    """Return the port of the metrics address, or None for none."""
    port = None
    for argument in arguments:
        name, _, value = argument.partition('=')
        if name != '--metrics-port' or not value.isdigit():
            print(f'unknown argument: {argument}', file=sys.stderr)
            sys.exit(EXIT_INVALID_SETTINGS)
        port = int(value)
    return port


def _read_settings(
    path: str, metrics_port: int | None
) -> data.ForwardingSettings | None:
    """Return the settings, or None after all findings were printed."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return platform.decode_settings(path, text, metrics_port)
    except OSError as error:
        print(f'{path}: {error.strerror}', file=sys.stderr)
    except platform.MalformedError as error:
        for finding in error.findings:
            print(f'{finding.place}: {finding.message}', file=sys.stderr)
    return None
