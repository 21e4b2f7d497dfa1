"""Encodes claim segments, stored in the object API, as CBOR.

A segment is ``[layout version, sealed segments, records]``. Each record is a
byte string that holds a CBOR array, so that its encoding can be cached while
the record stays in the head segment.
"""

import functools
from typing import Any

import cbor2
from expression import Error
from expression import Ok
from expression import Result

from skylarktack import state

#: Version of the segment layout; other versions are rejected.
LAYOUT_VERSION = 1

#: Maximum number of records whose encoding is cached.
_CACHED_RECORD_COUNT = 16_384


class CborSegmentCodec:
    """Encodes and decodes the segments of claim buckets as CBOR."""

    def __init__(self) -> None:
        self._encode_cached = functools.lru_cache(_CACHED_RECORD_COUNT)(
            _encode_record
        )

    def encode(self, segment: state.ClaimSegment) -> bytes:
        """Return the value that the object API stores for a segment."""
        sealed: list[list[Any]] = []
        for older in segment.sealed:
            sealed.append(
                [older.name, older.newest_s, older.size_bytes, older.stripped]
            )
        records = [self._encode_cached(record) for record in segment.records]
        return cbor2.dumps([LAYOUT_VERSION, sealed, records])

    def decode(
        self, value: bytes
    ) -> Result[state.ClaimSegment, state.StoreFault]:
        """Decode a stored value; a malformed one is ``UNAVAILABLE``."""
        try:
            version, sealed, records = cbor2.loads(value)
            if version != LAYOUT_VERSION:
                return Error(_malformed_fault(f'layout version {version}'))
            return Ok(
                state.ClaimSegment(
                    tuple(state.SealedSegment(*older) for older in sealed),
                    tuple(_decode_record(record) for record in records),
                )
            )
        except Exception as error:  # cbor2 raises many types on bad input
            return Error(_malformed_fault(repr(error)))


def _encode_record(record: state.ClaimRecord) -> bytes:
    answer: list[Any] | None = None
    if record.answer is not None:
        answer = [
            record.answer.status,
            [list(header) for header in record.answer.headers],
            record.answer.body,
        ]
    return cbor2.dumps(
        [
            record.key.organisation,
            record.key.key,
            record.claim_id,
            record.fingerprint,
            record.instance,
            record.phase.value,
            record.claimed_s,
            record.changed_s,
            list(record.targets),
            answer,
            record.note,
        ]
    )


def _decode_record(value: bytes) -> state.ClaimRecord:
    fields = cbor2.loads(value)
    answer: state.ServiceResponse | None = None
    if fields[9] is not None:
        status, headers, body = fields[9]
        answer = state.ServiceResponse(
            status, tuple((name, text) for name, text in headers), body
        )
    return state.ClaimRecord(
        key=state.ClaimKey(fields[0], fields[1]),
        claim_id=fields[2],
        fingerprint=fields[3],
        instance=fields[4],
        phase=state.ClaimPhase(fields[5]),
        claimed_s=fields[6],
        changed_s=fields[7],
        targets=tuple(fields[8]),
        answer=answer,
        note=fields[10],
    )


def _malformed_fault(message: str) -> state.StoreFault:
    return state.StoreFault(
        state.StoreFaultKind.UNAVAILABLE, f'malformed segment: {message}'
    )
