"""Encodes loan entries for the gossip exchanges between peers.

A payload is a CBOR sequence; each item is the array ``[kind, scope kind,
scope name, resource, source, destination, amount, serial, age_ms]``. Later
releases may append elements to an item.
"""

import io

import cbor2

from skylarktack import state
from skylarktack.coordination import limits


class CborLoanCodec:
    """Encodes and decodes loan entries as a CBOR sequence."""

    def encode(
        self, entries: tuple[limits.LoanEntry, ...], limit_bytes: int
    ) -> tuple[bytes, int]:
        """Return the payload and the number of entries that fit into it."""
        payload = bytearray()
        count = 0
        for entry in entries:
            item = cbor2.dumps(
                [
                    entry.kind.value,
                    entry.scope.kind.value,
                    entry.scope.name,
                    entry.scope.resource.value,
                    entry.source,
                    entry.destination,
                    entry.amount,
                    entry.serial,
                    entry.age_ms,
                ]
            )
            if len(payload) + len(item) > limit_bytes:
                break
            payload += item
            count += 1
        return bytes(payload), count

    def decode(self, payload: bytes) -> tuple[limits.LoanEntry, ...]:
        """Decode a payload; a malformed one gives no entries."""
        stream = io.BytesIO(payload)
        entries: list[limits.LoanEntry] = []
        try:
            while stream.tell() < len(payload):
                item = cbor2.load(stream)
                entries.append(
                    limits.LoanEntry(
                        kind=limits.LoanEntryKind(item[0]),
                        scope=limits.Scope(
                            limits.ScopeKind(item[1]),
                            str(item[2]),
                            limits.Resource(item[3]),
                        ),
                        source=state.InstanceName(str(item[4])),
                        destination=state.InstanceName(str(item[5])),
                        amount=float(item[6]),
                        serial=int(item[7]),
                        age_ms=int(item[8]),
                    )
                )
        except Exception:  # cbor2 raises many types on bad input
            return ()
        return tuple(entries)
