"""What is known of one target, as frozen records."""

import dataclasses
from typing import Protocol

from skylarktack import state


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of a target at one moment, from its report or a digest."""

    #: Monotonic time of the sample.
    sampled_s: float

    #: Running and waiting requests of all instances.
    load_count: int

    #: Slots of the batch.
    slot_count: int

    #: Requests of this instance among them.
    own_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What this instance knows of one target besides the list."""

    #: Monotonic time at which its slow start began.
    started_s: float

    #: Latest load, or None.
    sample: LoadSample | None = None

    #: Identifier of the engine's process, empty if unknown.
    incarnation: str = ''

    #: Monotonic time at which the target or a peer said that it is leaving,
    #: or None.
    leaving_since_s: float | None = None

    #: Failures since the last success.
    failure_count: int = 0

    #: Ejections without a success in between.
    ejection_count: int = 0

    #: Monotonic time until which it gets no work.
    ejected_until_s: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.leaving_since_s is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get a request, with its estimated load."""

    #: The target.
    target: state.Target

    #: Requests of this instance in flight there.
    in_flight_count: int

    #: Estimated requests of all instances there.
    load: float

    #: Slots of its batch.
    slot_count: int

    #: Share of full work that it may get, lower during slow start.
    weight: float

    #: Cost of its failure domain as utilisation.
    penalty: float

    #: Hash of its name, for rendezvous hashing.
    mix: int

    @property
    def utilisation(self) -> float:
        """Load with one more request, in parts of the slots."""
        return (self.load + 1) / (self.slot_count * self.weight)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadDigest:
    """Compact form of a target's load that peers pass on."""

    #: 32-bit hash of the target's name.
    target_hash: int

    #: Running and waiting requests.
    load_count: int

    #: Slots of the batch.
    slot_count: int

    #: Age of the sample.
    age_ms: int

    #: Whether the target is leaving.
    leaving: bool


class DigestCodec(Protocol):
    """Encoding of digests, which the protocol layer owns."""

    #: Size of one encoded digest.
    digest_bytes: int

    def encode(self, digests: tuple[LoadDigest, ...]) -> bytes:
        """Encode digests."""
        ...

    def decode(self, payload: bytes) -> tuple[LoadDigest, ...]:
        """Decode digests; a malformed payload gives none."""
        ...


@dataclasses.dataclass(frozen=True)
class TargetLeaving:
    """Urgent message: a target takes no new work."""

    #: The target.
    target: state.TargetName

    #: Identifier of its process, empty if unknown.
    incarnation: str = ''
