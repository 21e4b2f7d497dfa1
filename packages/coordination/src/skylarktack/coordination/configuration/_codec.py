"""Encoding of configuration records, as the decisions see it."""

from typing import Protocol

from expression import Result

from skylarktack import state


class ConfigurationCodec(Protocol):
    """Turns records into the values that the object API holds."""

    def encode(self, record: state.ConfigurationRecord) -> bytes:
        """Encode one record."""
        ...

    def decode(
        self, data: bytes
    ) -> Result[state.ConfigurationRecord, tuple[state.Finding, ...]]:
        """Decode one record."""
        ...
