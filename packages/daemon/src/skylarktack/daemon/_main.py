"""Entry point of ``skylarktackd``."""

import json
import os
import sys
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
    while not instance.stop_ordered.is_set():
        if signals.wait(STOP_CHECK_S):
            instance.order_stop()
    try:
        instance.stop()
    finally:
        # Threads of a step that failed would keep the process alive.
        os._exit(0)


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
