"""Versions whose move has begun, as the store keeps them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class VersionTrial:
    """A version of a service whose move began and has not been completed."""

    service: str

    version: str

    #: Wall clock time, in milliseconds since the epoch.
    began_at_ms: int
