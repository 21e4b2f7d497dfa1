"""Interface of the codec for configuration records."""

from typing import Protocol

from expression import Result

from skylarktack import state


class ConfigurationCodec(Protocol):
    """Encodes records as values of the object API and decodes them."""

    def encode(self, record: state.ConfigurationRecord) -> bytes:
        """Return the value to store for a record."""
        ...

    def decode(
        self, data: bytes
    ) -> Result[state.ConfigurationRecord, tuple[state.Finding, ...]]:
        """Return the record, or what is wrong with a stored value."""
        ...
