"""Client of the operator API of an instance."""

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

#: Environment variable with the operators' token.
TOKEN_VARIABLE = 'SKYLARKTACK_OPERATOR_TOKEN'

#: Environment variable with the operator address of an instance.
ADDRESS_VARIABLE = 'SKYLARKTACK_OPERATOR_ADDRESS'

#: Timeout of one call.
TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class OperatorFault:
    """A call that failed or was rejected."""

    #: Human-readable description.
    message: str

    #: Findings about the document; empty unless it was rejected.
    findings: tuple[state.Finding, ...] = ()


class OperatorClient:
    """Calls the operator API of one instance."""

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
        """Send one request and return the decoded JSON response."""
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
        response = transport.http_call(
            state.Address(host, int(port)),
            method,
            path,
            body,
            {'Authorization': f'Bearer {self._token}', **(headers or {})},
            TIMEOUT_S,
        )
        if response.is_error():
            return Error(
                OperatorFault(
                    f'{self._address} did not answer: {response.error.message}'
                )
            )
        return _decode_response(response.ok)


def _decode_response(
    response: transport.HttpAnswer,
) -> Result[Any, OperatorFault]:
    try:
        payload = json.loads(response.body)
    except ValueError:
        return Error(
            OperatorFault(
                f'Response with status {response.status} is not JSON.'
            )
        )
    if response.status == 200:
        return Ok(payload)
    if 'findings' in payload:
        findings = protocol.decode_findings(response.body)
        return Error(OperatorFault('The document is invalid.', findings))
    error = payload.get('error', {})
    return Error(OperatorFault(f'{error.get("message", response.status)}'))
