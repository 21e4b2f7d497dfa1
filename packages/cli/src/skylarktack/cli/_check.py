"""Checks of configurations before they are submitted.

Two kinds of file are known: the document of skylarktackd, and the manifest of
the forwarding instances. Errors come from the decoders and rules that the
instances run, so what has no error here is accepted there.
"""

import dataclasses
import enum
import json
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from skylarktack import platform
from skylarktack import protocol
from skylarktack import state
from skylarktack.cli import _repeated_fields
from skylarktack.coordination import configuration

#: Fields that only a document of skylarktackd has.
_DOCUMENT_FIELDS = frozenset(('moves', 'organisations', 'versions'))


class FindingKind(enum.Enum):
    """What a finding says about its place."""

    #: Instances refuse the whole configuration.
    ERROR = 'error'

    #: Instances accept the entry, which no request can meet.
    NO_EFFECT = 'no effect'

    #: Instances accept a limit that another one contradicts.
    CONFLICT = 'conflict'


@dataclasses.dataclass(frozen=True)
class CheckedConfiguration:
    """A configuration that was read, and what is wrong with it."""

    #: Its entries as plain values, to compare them.
    plain: Any

    is_manifest: bool

    #: Findings by kind, in the order of ``FindingKind``.
    findings: tuple[tuple[FindingKind, state.Finding], ...]

    @property
    def is_accepted(self) -> bool:
        """Whether instances accept it."""
        return all(kind is not FindingKind.ERROR for kind, _ in self.findings)


def check(text: str) -> Result[CheckedConfiguration, str]:
    """Check a configuration; the error says why it is unreadable."""
    try:
        plain = protocol.decode_json(text)
    except ValueError:
        # Only the document of skylarktackd may have comments.
        plain = None
    if isinstance(plain, dict) and _is_manifest(plain):
        return Ok(_check_manifest(text, plain))
    decoded = protocol.decode_document(text)
    if decoded.is_error():
        findings = decoded.error
        if [finding.place for finding in findings] == ['$']:
            return Error(findings[0].message)
        return Ok(CheckedConfiguration(None, False, _errors(findings)))
    document = decoded.ok
    errors = configuration.check_document(document)
    if not errors:
        errors = _size_findings(document)
    return Ok(
        CheckedConfiguration(
            json.loads(protocol.encode_document(document)),
            False,
            (
                *_errors(errors),
                *_of_kind(
                    FindingKind.NO_EFFECT,
                    (
                        *_repeated_fields.find_repeated_fields(text),
                        *configuration.find_entries_without_effect(document),
                    ),
                ),
                *_of_kind(
                    FindingKind.CONFLICT,
                    configuration.find_conflicting_limits(document),
                ),
            ),
        )
    )


def _is_manifest(plain: dict[str, Any]) -> bool:
    return platform.has_manifest_fields(plain) and not (
        plain.keys() & _DOCUMENT_FIELDS
    )


def _check_manifest(text: str, plain: dict[str, Any]) -> CheckedConfiguration:
    try:
        decoded = platform.decode_configuration('manifest', plain)
    except platform.MalformedError as error:
        return CheckedConfiguration(None, True, _errors(error.findings))
    without_effect = configuration.find_forwarding_entries_without_effect(
        decoded
    )
    conflicting = configuration.find_conflicting_forwarding_limits(decoded)
    return CheckedConfiguration(
        plain,
        True,
        (
            *_of_kind(
                FindingKind.NO_EFFECT,
                (
                    *_repeated_fields.find_repeated_fields(text),
                    *platform.manifest_findings(without_effect),
                ),
            ),
            *_of_kind(
                FindingKind.CONFLICT,
                (
                    *platform.manifest_findings(conflicting),
                    *platform.attempt_findings(plain),
                ),
            ),
        ),
    )


def _size_findings(
    document: state.ConfigurationDocument,
) -> tuple[state.Finding, ...]:
    """Return a finding if the document does not fit into one record."""
    record = state.ConfigurationRecord(
        revision=1, document=document, author='', accepted_s=0.0, change_id=''
    )
    limit_bytes = configuration.VALUE_LIMIT_BYTES
    if len(protocol.JsonConfigurationCodec().encode(record)) <= limit_bytes:
        return ()
    return (
        state.Finding(
            '$', f'Must not exceed {limit_bytes} bytes as a record.'
        ),
    )


def _errors(
    findings: tuple[state.Finding, ...],
) -> tuple[tuple[FindingKind, state.Finding], ...]:
    return _of_kind(FindingKind.ERROR, findings)


def _of_kind(
    kind: FindingKind, findings: tuple[state.Finding, ...]
) -> tuple[tuple[FindingKind, state.Finding], ...]:
    return tuple((kind, finding) for finding in findings)


def version_finding(
    checked: CheckedConfiguration, in_force: CheckedConfiguration
) -> tuple[tuple[FindingKind, state.Finding], ...]:
    """Return a finding if instances keep the manifest that is in force."""
    if not checked.is_manifest or checked.plain == in_force.plain:
        return ()
    version = in_force.plain['version']
    if checked.plain['version'] > version:
        return ()
    return _of_kind(
        FindingKind.NO_EFFECT,
        (
            state.Finding(
                'version',
                f'Must be above {version:.0f}, or instances ignore the '
                'manifest.',
            ),
        ),
    )
