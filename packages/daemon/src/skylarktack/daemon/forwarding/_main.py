"""Entry point of a forwarding instance."""

import contextlib
import ctypes
import os
import signal
import socket
import sys
import threading

from skylarktack import platform
from skylarktack.coordination import forwarding
from skylarktack.daemon import _signals
from skylarktack.daemon import _start
from skylarktack.daemon.forwarding import _instance
from skylarktack.daemon.forwarding import _modules
from skylarktack.daemon.forwarding import _reload
from skylarktack.daemon.forwarding import _stopping
from skylarktack.transport import forwarding as transport

#: Exit code for invalid settings or arguments.
EXIT_INVALID_SETTINGS = 2

#: Maximum time that the main loop waits for a signal before it checks again.
SIGNAL_CHECK_S = 2.0

#: Place of errors while the settings are read again.
RELOAD = 'settings reload'

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
    try:
        settings = _reload.read_settings(path, metrics_port)
    except _reload.InvalidSettingsError as error:
        for finding in error.findings:
            print(f'{finding.place}: {finding.message}', file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    log = transport.LineLog(settings.instance)
    with _start.exit_on_error():
        instance = _instance.ForwardingInstance(settings, log, front)
        reloader = _reload.SettingsReloader(path, metrics_port, settings, log)
        instance.start()
        instance.record_start()
    stop_signal = wait_for_stop(signals, reloader, log, instance.errors)
    try:
        with instance.errors.contain('exit timer'):
            _stopping.exit_before(
                stop_signal.received_at_s + settings.grace_ms / 1000
            )
        instance.stop(stop_signal.received_at_s)
    finally:
        # Threads blocked on callers or the store would keep the process alive.
        os._exit(0)


def wait_for_stop(
    signals: _signals.ProcessSignals,
    reloader: _reload.SettingsReloader,
    log: forwarding.EventLog,
    errors: forwarding.ErrorRecorder,
) -> _signals.ReceivedSignal:
    """Act on signals until one stops the instance, and return that one."""
    while True:
        stop_signal: _signals.ReceivedSignal | None = None
        for received in signals.wait(SIGNAL_CHECK_S):
            log.record(forwarding.SignalReceived(received.number.name))
            if received.number is not signal.SIGHUP:
                stop_signal = stop_signal or received
                continue
            with errors.contain(RELOAD):
                reloader.reload()
        if stop_signal is not None:
            return stop_signal


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
