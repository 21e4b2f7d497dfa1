"""Entry point of ``skylarktackd``."""

import json
import os
import sys
import time
from typing import NoReturn

import fire

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.daemon import _instance
from skylarktack.daemon import _settings_file
from skylarktack.daemon import _signals
from skylarktack.daemon import _start
from skylarktack.daemon import _stopping
from skylarktack.daemon.forwarding import _stopping as forwarding_stopping

#: Exit code for invalid settings.
EXIT_INVALID_SETTINGS = 2

#: Interpreter switch interval. Each waiting thread wakes up once per
#: interval: with hundreds of streams and the default of 5 ms, this took most
#: of a core. Threads release the interpreter lock at each read and write
#: anyway.
SWITCH_INTERVAL_S = 0.1

#: Interval at which the main thread checks whether an operator has ordered
#: the stop; a signal wakes it at once.
STOP_CHECK_S = 0.5


def run(settings: str) -> None:
    """Run one entry instance until SIGTERM, SIGINT or an operator's stop.

    :param settings: path of the settings file, JSON with comments.
    """
    signals = _signals.ProcessSignals()
    signals.install(_signals.STOP_SIGNALS)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    transport.configure_logs()
    try:
        text = _settings_file.read_settings_file(settings)
    except _settings_file.SettingsFileError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    decoded = protocol.decode_settings(text)
    if decoded.is_error():
        _exit_with_findings(settings, decoded.error)
    findings = _stopping.check_stop_settings(decoded.ok)
    if findings:
        _exit_with_findings(settings, findings)
    with _start.exit_on_error():
        instance = _instance.Instance(decoded.ok)
        instance.start()
    address = instance.caller_address
    print(
        json.dumps(
            {
                'name': decoded.ok.name,
                'host': address.host,
                'port': address.port,
                'operator_port': instance.operator_address.port,
                'peer_port': instance.peer_address.port,
            }
        ),
        flush=True,
    )
    stop_began_at_s = _wait_for_stop(instance, signals)
    try:
        with instance.errors.contain('exit timer'):
            forwarding_stopping.exit_before(
                stop_began_at_s + _stopping.grace_period_s(decoded.ok)
            )
        instance.stop(stop_began_at_s)
    finally:
        # Threads of a step that failed would keep the process alive.
        os._exit(0)


def _wait_for_stop(
    instance: _instance.Instance, signals: _signals.ProcessSignals
) -> float:
    """Wait for a signal or an operator's stop.

    :return: monotonic time of the signal, or at which the stop was seen.
    """
    while not instance.stop_ordered.is_set():
        received = signals.wait(STOP_CHECK_S)
        if received:
            instance.order_stop()
            return received[0].received_at_s
    return time.monotonic()


def _exit_with_findings(
    path: str, findings: tuple[state.Finding, ...]
) -> NoReturn:
    """Print the findings about a settings file and end the process."""
    for finding in findings:
        print(f'{path}: {finding.place}: {finding.message}', file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)


def main() -> None:
    """Run the command line of ``skylarktackd``."""
    fire.Fire(run)
