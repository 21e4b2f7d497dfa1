"""Commands of the operators' command line."""

from collections.abc import Callable
import getpass
import hashlib
import json
import pathlib
import sys
import time
from typing import Any
from typing import TypeVar
import urllib.parse
import uuid

from expression import Result
from fire import decorators

from skylarktack import protocol
from skylarktack import state
from skylarktack.cli import _account
from skylarktack.cli import _check_report
from skylarktack.cli import _explain
from skylarktack.cli import _operator_client
from skylarktack.cli import _tables
from skylarktack.coordination import configuration
from skylarktack.protocol import forwarding as messages

#: Exit code for invalid documents or malformed log lines.
EXIT_INVALID = 2

#: Findings about log lines that are printed; the others are only counted.
MAX_PRINTED_FINDINGS = 20

#: Exit code for a command that failed for another reason.
EXIT_FAILED = 1

_Command = TypeVar('_Command', bound=Callable[..., None])


def _parse_as_text(*names: str) -> Callable[[_Command], _Command]:
    """Pass arguments as typed; Fire converts some strings to numbers."""
    decorated: Callable[[_Command], _Command] = decorators.SetParseFns(
        **dict.fromkeys(names, str)
    )
    return decorated


class RouteCommands:
    """Commands about routes."""

    def explain(
        self,
        route: str,
        prompt: str = '',
        address: str | None = None,
        json: bool = False,
    ) -> None:
        """Show where an instance would send a request of a route.

        :param route: name of the route.
        :param prompt: prompt text, to find targets with a cached prefix.
        :param address: operator address of an instance, IP:PORT.
        :param json: whether to print JSON.
        """
        query = urllib.parse.urlencode({'route': route, 'prompt': prompt})
        response = _call(address, 'GET', f'/operator/route-explain?{query}')
        _print_response(response, json, _tables.explanation)


class UnknownCallCommands:
    """Commands about calls whose outcome is unknown."""

    def list(self, address: str | None = None, json: bool = False) -> None:
        """List the calls whose outcome is unknown.

        :param address: operator address of an instance, IP:PORT.
        :param json: whether to print JSON.
        """
        response = _call(address, 'GET', '/operator/unknown-calls')
        _print_response(response, json, _tables.unknown_calls)

    @_parse_as_text('organisation', 'key', 'claim_id')
    def settle(
        self,
        organisation: str,
        key: str,
        claim_id: str,
        ran: bool,
        address: str | None = None,
    ) -> None:
        """Record whether a call was executed.

        Ask the operators of the target first.

        :param organisation: organisation of the caller.
        :param key: the caller's idempotency key.
        :param claim_id: claim identifier, as printed by list.
        :param ran: whether the target executed the call.
        :param address: operator address of an instance, IP:PORT.
        """
        body = json.dumps(
            {
                'organisation': organisation,
                'key': key,
                'claim_id': claim_id,
                'ran': ran,
                'operator': getpass.getuser(),
            }
        ).encode()
        response = _call(address, 'POST', '/operator/unknown-calls', body)
        print(f'settled: {response["phase"]}')


class LogCommands:
    """Commands about logs."""

    def check(self, *files: str) -> None:
        """Print the malformed lines of log files.

        :param files: paths of log files; - is standard input.
        """
        _, findings = _read_log_lines(files)
        for finding in findings:
            print(f'{finding.place}: {finding.message}')
        if findings:
            sys.exit(EXIT_INVALID)


class Commands:
    """Operators' command line of skylarktack.

    Set the operator address of any instance with --address or in
    SKYLARKTACK_OPERATOR_ADDRESS, and the operators' token in
    SKYLARKTACK_OPERATOR_TOKEN.
    """

    def __init__(self) -> None:
        self.route = RouteCommands()
        self.unknown = UnknownCallCommands()
        self.logs = LogCommands()

    @_parse_as_text('file', 'against')
    def check(
        self,
        file: str,
        against: str = '',
        address: str | None = None,
        json: bool = False,
    ) -> None:
        """Check a configuration and print all findings.

        The exit code is 0 without findings, 1 with findings, and 2 if a
        configuration is unreadable.

        :param file: path of a document, JSON with comments, or of a manifest
            of forwarding instances, JSON.
        :param against: path of another one to compare with, or in-force for
            the document in effect.
        :param address: operator address of an instance, IP:PORT.
        :param json: whether to print JSON.
        """
        printed = _check_report.report(
            file, against, lambda: _document_in_effect(address)
        )
        if json:
            _check_report.print_json(printed)
        else:
            _check_report.print_text(printed)
        if printed.exit_code:
            sys.exit(printed.exit_code)

    def apply(
        self,
        file: str,
        base: int | None = None,
        comment: str = '',
        address: str | None = None,
    ) -> None:
        """Submit a configuration document as the next revision.

        :param file: path of the document, JSON with comments.
        :param base: revision that the document is based on; by default the
            one in effect.
        :param comment: reason for the change, in one line.
        :param address: operator address of an instance, IP:PORT.
        """
        text = _read_file(file)
        findings = check_text(text)
        if findings:
            _print_findings(file, findings)
            sys.exit(EXIT_INVALID)
        if base is None:
            base = _revision_in_effect(address)
        # Derived from base and document, so that a retry after a lost
        # response is not applied a second time.
        change_id = hashlib.sha256(f'{base}\n{text}'.encode()).hexdigest()
        response = _call(
            address,
            'PUT',
            '/operator/configuration',
            text.encode(),
            {
                'If-Match': f'"{base}"',
                'Skylarktack-Change-Id': change_id[:32],
                'Skylarktack-Author': getpass.getuser(),
                'Skylarktack-Comment': comment,
            },
        )
        print(f'revision {response["revision"]} accepted')

    def show(self, revision: int = 0, address: str | None = None) -> None:
        """Print the document of a revision, by default the one in effect.

        :param revision: number of the revision.
        :param address: operator address of an instance, IP:PORT.
        """
        query = f'?revision={revision}' if revision else ''
        response = _call(address, 'GET', f'/operator/configuration{query}')
        print(json.dumps(response['document'], indent=2))

    def status(self, address: str | None = None, json: bool = False) -> None:
        """Show each instance and the revision in effect there.

        :param address: operator address of an instance, IP:PORT.
        :param json: whether to print JSON, metrics included.
        """
        response = _call(address, 'GET', '/operator/status')
        _print_response(
            response,
            json,
            lambda payload: _tables.status(payload, time.time()),
        )

    def history(self, address: str | None = None, json: bool = False) -> None:
        """List accepted revisions, newest first.

        :param address: operator address of an instance, IP:PORT.
        :param json: whether to print JSON.
        """
        response = _call(address, 'GET', '/operator/history')
        _print_response(response, json, _tables.history)

    def rollback(self, revision: int, address: str | None = None) -> None:
        """Submit the document of an earlier revision as a new revision.

        :param revision: number of the earlier revision.
        :param address: operator address of an instance, IP:PORT.
        """
        response = _call(
            address,
            'POST',
            f'/operator/rollback?revision={revision}',
            b'',
            {
                'Skylarktack-Change-Id': uuid.uuid4().hex,
                'Skylarktack-Author': getpass.getuser(),
            },
        )
        print(f'revision {response["revision"]} accepted')

    @_parse_as_text('request')
    def explain(self, request: str, *files: str) -> None:
        """Explain the outcome of a request and its cause from log files.

        :param request: id of the caller's attempt.
        :param files: log files of all instances; - is standard input.
        """
        lines, _ = _read_log_lines(files)
        for text in _explain.explain_request(request, lines):
            print(text)

    def account(
        self, *files: str, window_s: float = 10.0, json: bool = False
    ) -> None:
        """Account for the requests in log files by result and cause.

        :param files: log files of all instances; - is standard input.
        :param window_s: length of the time windows.
        :param json: whether to print JSON.
        """
        if not window_s > 0:
            print('window_s must be above 0', file=sys.stderr)
            sys.exit(EXIT_INVALID)
        account = _account.Account(window_s)
        findings = _add_log_files(account, files)
        if json:
            _print_json(_account.to_plain(account))
        else:
            print(_account.to_text(account))
        for finding in findings[:MAX_PRINTED_FINDINGS]:
            print(f'{finding.place}: {finding.message}', file=sys.stderr)
        if findings:
            print(f'{len(findings)} malformed lines', file=sys.stderr)
            sys.exit(EXIT_INVALID)

    def drain(self, address: str | None = None) -> None:
        """Request the planned stop of one instance.

        :param address: operator address of that instance, IP:PORT.
        """
        _call(address, 'POST', '/operator/drain', b'')
        print('planned stop requested')


def check_text(text: str) -> tuple[state.Finding, ...]:
    """Return all findings about the text of a configuration document."""
    decoded = protocol.decode_document(text)
    if decoded.is_error():
        return decoded.error
    return configuration.check_document(decoded.ok)


def _read_file(file: str) -> str:
    try:
        return pathlib.Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        print(f'{file}: {error}', file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _add_log_files(
    account: _account.Account, files: tuple[str, ...]
) -> list[state.Finding]:
    """Add log files to an account, a line at a time."""
    findings = []
    for file in files or ('-',):
        if file == '-':
            findings.extend(_account.add_lines(account, file, sys.stdin))
            continue
        try:
            with open(file, encoding='utf-8', errors='replace') as lines:
                findings.extend(_account.add_lines(account, file, lines))
        except OSError as error:
            print(f'{file}: {error.strerror}', file=sys.stderr)
            sys.exit(EXIT_FAILED)
    return findings


def _print_json(plain: Any) -> None:
    print(json.dumps(plain, indent=2))


def _read_log_lines(
    files: tuple[str, ...],
) -> tuple[list[messages.LogLine], list[state.Finding]]:
    lines: list[messages.LogLine] = []
    findings: list[state.Finding] = []
    for file in files or ('-',):
        text = sys.stdin.read() if file == '-' else _read_file(file)
        decoded_lines, malformed = _explain.decode_lines(
            file, text.splitlines()
        )
        lines.extend(decoded_lines)
        findings.extend(malformed)
    return lines, findings


def _revision_in_effect(address: str | None) -> int:
    response = _call(address, 'GET', '/operator/revision')
    return int(response['revision'])


def _document_in_effect(address: str | None) -> Result[str, str]:
    """Return the document in effect; the error says why there is none."""
    client = _operator_client.OperatorClient(address)
    answered = client.call('GET', '/operator/configuration')
    return answered.map(
        lambda response: json.dumps(response['document'])
    ).map_error(lambda fault: fault.message)


def _call(
    address: str | None,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Any:
    client = _operator_client.OperatorClient(address)
    result: Result[Any, _operator_client.OperatorFault] = client.call(
        method, path, body, headers
    )
    if result.is_ok():
        return result.ok
    print(result.error.message, file=sys.stderr)
    if result.error.findings:
        _print_findings('document', result.error.findings)
        sys.exit(EXIT_INVALID)
    sys.exit(EXIT_FAILED)


def _print_findings(file: str, findings: tuple[state.Finding, ...]) -> None:
    for finding in findings:
        print(f'{file}: {finding.place}: {finding.message}')


def _print_response(response: Any, as_json: bool, format_table: Any) -> None:
    if as_json:
        print(json.dumps(response))
        return
    print(format_table(response))
