"""Codecs of gossip topics for tests, without a wire format."""

import pickle
from typing import Any

from skylarktack.coordination import limits
from skylarktack.coordination import routing


class PlainDigestCodec:
    """Keeps digests as they are."""

    digest_bytes = 10

    def encode(self, digests: tuple[routing.LoadDigest, ...]) -> bytes:
        """Encode digests."""
        return pickle.dumps(digests)

    def decode(self, payload: bytes) -> tuple[routing.LoadDigest, ...]:
        """Decode digests."""
        decoded: Any = pickle.loads(payload)
        return tuple(decoded)


class PlainLoanCodec:
    """Keeps entries as they are; each counts as 64 bytes."""

    def encode(
        self, entries: tuple[limits.LoanEntry, ...], limit_bytes: int
    ) -> tuple[bytes, int]:
        """Encode as many entries as fit; return also their number."""
        count = min(len(entries), limit_bytes // 64)
        return pickle.dumps(entries[:count]), count

    def decode(self, payload: bytes) -> tuple[limits.LoanEntry, ...]:
        """Decode entries."""
        decoded: Any = pickle.loads(payload)
        return tuple(decoded)
