"""Configuration records as values of the object API.

A record is compressed JSON without the fields that have their default, so
that a document of 13,000 organisations fits into one object of a megabyte.
"""

import json
import zlib

from expression import Error
from expression import Ok
from expression import Result
import pydantic

from skylarktack import state

_RECORD = pydantic.TypeAdapter(state.ConfigurationRecord)

#: Largest decompressed record, which bounds the work on a hostile value.
RECORD_LIMIT_BYTES = 16_000_000


class JsonConfigurationCodec:
    """Encodes records as compressed JSON."""

    def encode(self, record: state.ConfigurationRecord) -> bytes:
        """Encode one record."""
        plain = _RECORD.dump_json(record, exclude_defaults=True)
        return zlib.compress(plain, level=6)

    def decode(
        self, data: bytes
    ) -> Result[state.ConfigurationRecord, tuple[state.Finding, ...]]:
        """Decode one record."""
        try:
            decompressor = zlib.decompressobj()
            plain = decompressor.decompress(data, RECORD_LIMIT_BYTES)
            return Ok(_RECORD.validate_json(plain))
        except (zlib.error, ValueError) as error:
            return Error((state.Finding('$', f'Not a record: {error}.'),))


def encode_record_for_operators(record: state.ConfigurationRecord) -> bytes:
    """Encode a record as the operators' interface shows it."""
    return _RECORD.dump_json(record, exclude={'recent_changes'})


def decode_record_for_operators(body: bytes) -> state.ConfigurationRecord:
    """Decode a record from the operators' interface.

    :raises ValueError: if it is malformed.
    """
    return _RECORD.validate_json(body)


def encode_findings(findings: tuple[state.Finding, ...]) -> bytes:
    """Encode findings as the operators' interface shows them."""
    return json.dumps(
        {
            'findings': [
                {'place': finding.place, 'message': finding.message}
                for finding in findings
            ]
        }
    ).encode()


def decode_findings(body: bytes) -> tuple[state.Finding, ...]:
    """Decode findings from the operators' interface.

    :raises ValueError: if they are malformed.
    """
    found: list[state.Finding] = []
    for fields in json.loads(body)['findings']:
        found.append(state.Finding(fields['place'], fields['message']))
    return tuple(found)
