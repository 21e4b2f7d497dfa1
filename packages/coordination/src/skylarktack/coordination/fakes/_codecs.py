"""Codecs of gossip topics for tests, without the wire format."""

import pickle
from typing import Any

from skylarktack.coordination import limits
from skylarktack.coordination import routing


class PlainDigestCodec:
    """Encodes load digests with pickle; each counts as 10 bytes."""

    digest_bytes = 10

    def encode(self, digests: tuple[routing.LoadDigest, ...]) -> bytes:
        """Encode all digests."""
        return pickle.dumps(digests)

    def decode(self, payload: bytes) -> tuple[routing.LoadDigest, ...]:
        """Decode all digests of a payload."""
        decoded: Any = pickle.loads(payload)
        return tuple(decoded)


class PlainLoanCodec:
    """Encodes loan entries with pickle; each counts as 64 bytes."""

    def encode(
        self, entries: tuple[limits.LoanEntry, ...], limit_bytes: int
    ) -> tuple[bytes, int]:
        """Encode as many entries as fit; also return their number."""
        count = min(len(entries), limit_bytes // 64)
        return pickle.dumps(entries[:count]), count

    def decode(self, payload: bytes) -> tuple[limits.LoanEntry, ...]:
        """Decode all entries of a payload."""
        decoded: Any = pickle.loads(payload)
        return tuple(decoded)
