"""Contract tests of the encodings of gossip topics."""

import pytest

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import limits
from skylarktack.coordination import routing

DIGEST = routing.LoadDigest(0x01020304, 20, 32, 450, True)
ENTRY = limits.LoanEntry(
    limits.LoanEntryKind.GRANT,
    limits.Scope(limits.ScopeKind.ROUTE, 'digest', limits.Resource.RATE),
    state.InstanceName('a'),
    state.InstanceName('b'),
    2.5,
    7,
    100,
)
GOLDEN_DIGEST = bytes.fromhex('01020304001400200501')
GOLDEN_ENTRY = bytes.fromhex(
    '89656772616e7465726f757465666469676573746472617465'
    '61616162fb4004000000000000071864'
)


class TestStructDigestCodec:
    """Guards against a layout that older releases decode wrongly."""

    def test_golden_bytes(self) -> None:
        """The layout is fixed, and the encoding never reduces an age."""
        codec = protocol.StructDigestCodec()
        assert codec.encode((DIGEST,)) == GOLDEN_DIGEST
        decoded = codec.decode(GOLDEN_DIGEST)[0]
        assert decoded.age_ms == 500
        assert decoded.target_hash == DIGEST.target_hash
        assert decoded.leaving

    def test_malformed_payload_gives_nothing(self) -> None:
        """A truncated payload is not read past its end."""
        assert protocol.StructDigestCodec().decode(GOLDEN_DIGEST[:7]) == ()


class TestCborLoanCodec:
    """Guards against entries decoded wrongly or beyond the size limit."""

    def test_golden_bytes(self) -> None:
        """The layout is fixed, and later releases may append elements."""
        codec = protocol.CborLoanCodec()
        assert codec.encode((ENTRY,), 100)[0] == GOLDEN_ENTRY
        longer = b'\x8a' + GOLDEN_ENTRY[1:] + b'\x01'
        assert codec.decode(longer + GOLDEN_ENTRY) == (ENTRY, ENTRY)

    @pytest.mark.parametrize(
        ('limit_bytes', 'count'), [(10, 0), (60, 1), (10_000, 3)]
    )
    def test_payload_size_limit(self, limit_bytes: int, count: int) -> None:
        """Entries that do not fit are left out of the payload."""
        payload, sent_count = protocol.CborLoanCodec().encode(
            (ENTRY, ENTRY, ENTRY), limit_bytes
        )
        assert sent_count == count
        assert len(payload) <= limit_bytes

    @pytest.mark.parametrize('payload', [b'\xff', b'\x01', b'\x83\x01'])
    def test_malformed_payload_gives_nothing(self, payload: bytes) -> None:
        """A malformed payload of a peer raises no error."""
        assert protocol.CborLoanCodec().decode(payload) == ()
