"""Encodes configuration records as values of the object API.

A record is compressed JSON that leaves out fields with their default value,
so that a document of 13,000 organisations fits into one object of 1 MB.
"""

import json
import zlib

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from skylarktack import state

_RECORD = pydantic.TypeAdapter(state.ConfigurationRecord)

#: Maximum size of a decompressed record; it bounds the work that a malicious
#: value can cause.
RECORD_LIMIT_BYTES = 16_000_000


class JsonConfigurationCodec:
    """Encodes and decodes configuration records as compressed JSON."""

    def encode(self, record: state.ConfigurationRecord) -> bytes:
        """Return the value that the object API stores for a record."""
        plain = _RECORD.dump_json(record, exclude_defaults=True)
        return zlib.compress(plain, level=6)

    def decode(
        self, data: bytes
    ) -> Result[state.ConfigurationRecord, tuple[state.Finding, ...]]:
        """Decode a stored value; a malformed one gives a finding."""
        try:
            decompressor = zlib.decompressobj()
            plain = decompressor.decompress(data, RECORD_LIMIT_BYTES)
            return Ok(_RECORD.validate_json(plain))
        except (zlib.error, ValueError) as error:
            return Error((state.Finding('$', f'Not a record: {error}.'),))


def encode_record_for_operators(record: state.ConfigurationRecord) -> bytes:
    """Encode a record for the operators' API, without recent changes."""
    return _RECORD.dump_json(record, exclude={'recent_changes'})


def decode_record_for_operators(body: bytes) -> state.ConfigurationRecord:
    """Decode a record from the operators' API.

    :raises ValueError: if it is malformed.
    """
    return _RECORD.validate_json(body)


def encode_findings(findings: tuple[state.Finding, ...]) -> bytes:
    """Encode findings for the operators' API."""
    return json.dumps(
        {
            'findings': [
                {'place': finding.place, 'message': finding.message}
                for finding in findings
            ]
        }
    ).encode()


def decode_findings(body: bytes) -> tuple[state.Finding, ...]:
    """Decode findings from the operators' API.

    :raises ValueError: if they are malformed.
    """
    findings: list[state.Finding] = []
    for fields in json.loads(body)['findings']:
        findings.append(state.Finding(fields['place'], fields['message']))
    return tuple(findings)
