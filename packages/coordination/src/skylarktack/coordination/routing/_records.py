"""Immutable records of target load and status."""

import dataclasses
from typing import Protocol

from skylarktack import state


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of a target, from its load report or from a peer's digest."""

    #: Monotonic time at which the load was measured.
    sampled_s: float

    #: Running and waiting requests from all instances.
    load_count: int

    #: Batch slots of the target.
    slot_count: int

    #: Requests of this instance that ``load_count`` includes.
    own_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """Observed status of a target, in addition to its platform list entry."""

    #: Monotonic time at which its slow start began; minus infinity if it was
    #: in the first list that this instance received.
    started_s: float

    #: Latest load sample, or None before the first one.
    sample: LoadSample | None = None

    #: Identifier of the engine process; changes on restart, empty if unknown.
    incarnation: str = ''

    #: Monotonic time at which the target or a peer announced that it is
    #: leaving, or None if it is not leaving.
    leaving_since_s: float | None = None

    #: Consecutive failures since the last success or ejection.
    failure_count: int = 0

    #: Consecutive ejections without a success in between.
    ejection_count: int = 0

    #: Monotonic time at which its latest ejection ends.
    ejected_until_s: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether the target is leaving and accepts no new requests."""
        return self.leaving_since_s is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target eligible for a request, with its estimated load."""

    target: state.Target

    #: Requests of this instance in flight on the target.
    in_flight_count: int

    #: Estimated number of requests from all instances on the target.
    load: float

    #: Batch slots of the target.
    slot_count: int

    #: Relative capacity, from 0 to 1; below 1 during slow start.
    weight: float

    #: Cost of its distance, as utilisation: added when the target is in
    #: another failure domain or region, or in the domain to avoid.
    penalty: float

    #: 32-bit hash of its name, for rendezvous hashing.
    rendezvous_hash: int

    @property
    def utilisation(self) -> float:
        """Utilisation of the weighted slots after adding one request."""
        return (self.load + 1) / (self.slot_count * self.weight)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDigest:
    """Compact form of a load sample, exchanged between peers."""

    #: 32-bit hash of the target's name.
    target_hash: int

    #: Running and waiting requests from all instances.
    load_count: int

    #: Batch slots of the target.
    slot_count: int

    #: Age of the sample when the digest was sent.
    age_ms: int

    leaving: bool


class DigestCodec(Protocol):
    """Encoding of digests, implemented by the protocol layer."""

    #: Size of one encoded digest.
    digest_bytes: int

    def encode(self, digests: tuple[LoadDigest, ...]) -> bytes:
        """Return the digests as one payload."""
        ...

    def decode(self, payload: bytes) -> tuple[LoadDigest, ...]:
        """Return the digests of a payload, none if it is malformed."""
        ...


@dataclasses.dataclass(frozen=True)
class TargetLeaving:
    """Urgent peer message: a target is leaving, send it no new requests."""

    target: state.TargetName

    #: Identifier of the engine process that is leaving, empty if unknown.
    incarnation: str = ''
