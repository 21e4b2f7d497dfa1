"""Encodes load digests for the gossip exchanges between peers.

Each digest is ten bytes, big endian: hash of the target's name (32 bits),
load (16), slots (16), age in steps of 100 ms (8), flags (8).
"""

import struct

from skylarktack.coordination import routing

_DIGEST = struct.Struct('!IHHBB')
_AGE_STEP_MS = 100
_LEAVING_FLAG = 1


class StructDigestCodec:
    """Encodes and decodes load digests as fixed-size records."""

    digest_bytes = _DIGEST.size

    def encode(self, digests: tuple[routing.LoadDigest, ...]) -> bytes:
        """Return the payload of an exchange."""
        payload = bytearray()
        for digest in digests:
            payload += _DIGEST.pack(
                digest.target_hash,
                min(0xFFFF, digest.load_count),
                min(0xFFFF, digest.slot_count),
                # Rounded up, so that no hop makes a digest appear younger.
                min(0xFF, -(-max(0, digest.age_ms) // _AGE_STEP_MS)),
                _LEAVING_FLAG if digest.leaving else 0,
            )
        return bytes(payload)

    def decode(self, payload: bytes) -> tuple[routing.LoadDigest, ...]:
        """Decode a payload; a malformed one gives no digests."""
        if len(payload) % _DIGEST.size:
            return ()
        digests: list[routing.LoadDigest] = []
        for target_hash, load, slots, age, flags in _DIGEST.iter_unpack(
            payload
        ):
            digests.append(
                routing.LoadDigest(
                    target_hash=target_hash,
                    load_count=load,
                    slot_count=slots,
                    age_ms=age * _AGE_STEP_MS,
                    leaving=bool(flags & _LEAVING_FLAG),
                )
            )
        return tuple(digests)
