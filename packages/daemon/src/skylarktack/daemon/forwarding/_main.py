"""Entry point of a forwarding instance."""

import contextlib
import ctypes
import os
import pathlib
import signal
import socket
import sys
import threading

from skylarktack import platform
from skylarktack.coordination import forwarding
from skylarktack.daemon import _signals
from skylarktack.daemon.forwarding import _instance
from skylarktack.daemon.forwarding import _modules
from skylarktack.state import forwarding as data
from skylarktack.transport import forwarding as transport

#: Exit code for invalid settings or arguments.
EXIT_INVALID_SETTINGS = 2

#: Maximum time that the main loop waits for a signal before it checks again.
SIGNAL_CHECK_S = 2.0

#: Address space that the stack of a thread reserves; small, because each
#: connection has a thread.
THREAD_STACK_BYTES = 256 * 1024

#: Buffers from this size on are returned to the system when they are freed.
#: The C library would raise the size to that of the largest body, and keep
#: freed ones for each group of threads.
RETURNED_BUFFER_BYTES = 128 * 1024

#: Number of heaps of the C library. With one for each group of threads, each
#: would keep its own freed buffers. Threads hold the interpreter's lock while
#: they allocate, so they do not wait for the heap.
HEAP_COUNT = 1

#: Parameters of ``mallopt(3)`` for these.
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8


def main(
    front: socket.socket | None = None,
    signals: _signals.ProcessSignals | None = None,
) -> None:
    """Run one instance until SIGTERM or SIGINT.

    :param front: socket that listens for callers already, or None.
    :param signals: queue of a process that handles ``INSTANCE_SIGNALS``
        already, or None.

    The only argument is ``--metrics-port=PORT``. It is parsed by hand, because
    an argument parser would take more CPU time than reading the settings.
    """
    metrics_port = _parse_metrics_port(sys.argv[1:])
    if signals is None:
        signals = _signals.ProcessSignals()
        signals.install(_signals.INSTANCE_SIGNALS)
    threading.stack_size(THREAD_STACK_BYTES)
    return_freed_buffers()
    _modules.load_modules()
    path = os.environ.get(platform.PATH_VARIABLE, '')
    settings = _read_settings(path, metrics_port)
    if settings is None:
        sys.exit(EXIT_INVALID_SETTINGS)
    log = transport.LineLog(settings.instance)
    instance = _instance.ForwardingInstance(settings, log, front)
    instance.start()
    instance.record_start()
    stop_signal: _signals.ReceivedSignal | None = None
    while stop_signal is None:
        for received in signals.wait(SIGNAL_CHECK_S):
            log.record(forwarding.SignalReceived(received.number.name))
            if received.number is not signal.SIGHUP:
                stop_signal = stop_signal or received
                continue
            changed = _read_settings(path, metrics_port)
            is_changed = changed is not None and changed != settings
            log.record(forwarding.SettingsReloaded(is_changed))
    instance.stop(stop_signal.received_at_s)
    # Threads blocked on callers or the store would keep the process alive.
    os._exit(0)


def return_freed_buffers() -> None:
    """Reuse freed memory in all threads, or return it to the system."""
    # C libraries without this parameter return buffers by rules of their own.
    with contextlib.suppress(AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(_M_MMAP_THRESHOLD, RETURNED_BUFFER_BYTES)
        library.mallopt(_M_ARENA_MAX, HEAP_COUNT)


def _parse_metrics_port(arguments: list[str]) -> int | None:
    """Return the metrics port, or None to serve no metrics."""
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
    """Return the settings, or None after printing all findings."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return platform.decode_settings(path, text, metrics_port)
    except OSError as error:
        print(f'{path}: {error.strerror}', file=sys.stderr)
    except platform.MalformedError as error:
        for finding in error.findings:
            print(f'{finding.place}: {finding.message}', file=sys.stderr)
    return None
