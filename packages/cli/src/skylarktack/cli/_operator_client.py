"""Calls of the command line to the operators' interface."""

import dataclasses
import json
import os
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport

#: Environment variable that holds the operators' token.
TOKEN_VARIABLE = 'SKYLARKTACK_OPERATOR_TOKEN'

#: Environment variable that holds an instance's operator address.
ADDRESS_VARIABLE = 'SKYLARKTACK_OPERATOR_ADDRESS'

#: Longest wait for an answer.
TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class OperatorFault:
    """A command that did not succeed."""

    #: One sentence for people.
    message: str

    #: What is wrong with the document, if it was rejected.
    findings: tuple[state.Finding, ...] = ()


class OperatorClient:
    """Calls one instance as an operator."""

    def __init__(self, address: str | None = None) -> None:
        self._address = address or os.environ.get(ADDRESS_VARIABLE, '')
        self._token = os.environ.get(TOKEN_VARIABLE, '')

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Any, OperatorFault]:
        """Call one path and return the decoded JSON answer."""
        host, _, port = self._address.rpartition(':')
        if not host or not port.isdecimal():
            return Error(
                OperatorFault(
                    'Give the address of an instance as --address=IP:PORT or '
                    f'in {ADDRESS_VARIABLE}.'
                )
            )
        if not self._token:
            return Error(
                OperatorFault(f"Put the operators' token in {TOKEN_VARIABLE}.")
            )
        answered = transport.http_call(
            state.Address(host, int(port)),
            method,
            path,
            body,
            {'Authorization': f'Bearer {self._token}', **(headers or {})},
            TIMEOUT_S,
        )
        if answered.is_error():
            return Error(
                OperatorFault(
                    f'{self._address} did not answer: {answered.error.message}'
                )
            )
        return _decode(answered.ok)


def _decode(answer: transport.HttpAnswer) -> Result[Any, OperatorFault]:
    try:
        plain = json.loads(answer.body)
    except ValueError:
        return Error(OperatorFault(f'Status {answer.status} without JSON.'))
    if answer.status == 200:
        return Ok(plain)
    if 'findings' in plain:
        findings = protocol.decode_findings(answer.body)
        return Error(OperatorFault('The document is invalid.', findings))
    error = plain.get('error', {})
    return Error(OperatorFault(f'{error.get("message", answer.status)}'))
