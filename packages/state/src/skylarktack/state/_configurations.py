"""Configuration records in the object API and the related messages."""

import dataclasses

from skylarktack.state._documents import ConfigurationDocument
from skylarktack.state._documents import ConfigurationPosition
from skylarktack.state._names import InstanceName


@dataclasses.dataclass(frozen=True)
class AppliedChange:
    """An earlier change, kept to recognise its resubmission."""

    #: Idempotency key chosen by the operator's client.
    change_id: str

    #: Revision that the change created.
    revision: int


@dataclasses.dataclass(frozen=True)
class ConfigurationRecord:
    """One accepted revision and its origin."""

    #: Increases by one with each accepted change of an era.
    revision: int

    document: ConfigurationDocument

    #: Name of the operator who submitted it.
    author: str

    #: Wall clock time of acceptance, in seconds since the epoch.
    accepted_s: float

    #: Idempotency key of the change.
    change_id: str

    #: One-line reason for the change.
    comment: str = ''

    #: The changes before this one, newest first; a bounded number.
    recent_changes: tuple[AppliedChange, ...] = ()

    #: Era of the object API in which the change was accepted.
    era: int = 0

    @property
    def position(self) -> ConfigurationPosition:
        """Position by which it is compared with others."""
        return ConfigurationPosition(self.era, self.revision)


@dataclasses.dataclass(frozen=True)
class ConfigurationChange:
    """A change that an operator submits."""

    #: The complete new document.
    document: ConfigurationDocument

    #: Revision on which the document is based.
    base_revision: int

    #: Name of the operator.
    author: str

    #: Idempotency key: makes it safe to resubmit the change.
    change_id: str

    #: One-line reason for the change.
    comment: str = ''


@dataclasses.dataclass(frozen=True)
class ConfigurationOffer:
    """Peer message that pushes the sender's current revision."""

    revision: int

    record: bytes

    #: Era of the revision.
    era: int = 0

    @property
    def position(self) -> ConfigurationPosition:
        """Position of the revision."""
        return ConfigurationPosition(self.era, self.revision)


@dataclasses.dataclass(frozen=True)
class ConfigurationFetch:
    """Peer request for a revision newer than the sender's."""

    #: Current revision of the sender.
    known_revision: int

    #: Era of that revision.
    known_era: int = 0

    @property
    def known_position(self) -> ConfigurationPosition:
        """Position of the sender's revision."""
        return ConfigurationPosition(self.known_era, self.known_revision)


@dataclasses.dataclass(frozen=True)
class ConfigurationResponse:
    """Response to ``ConfigurationFetch``."""

    #: Current revision of the responder.
    revision: int

    #: The encoded record; None if the requester already has this or a newer
    #: revision.
    record: bytes | None = None


@dataclasses.dataclass(frozen=True)
class StatusRequest:
    """Peer request for the status of one instance."""


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """Status that an instance reports about itself."""

    name: InstanceName

    failure_domain: str

    #: Whether it accepts requests of callers.
    ready: bool

    #: Whether it is shutting down.
    stopping: bool

    #: Revision of its active configuration.
    revision: int

    #: Wall clock time at which it applied that revision, in seconds since the
    #: epoch.
    revision_since_s: float

    #: Whether its last call to the object API succeeded.
    store_reachable: bool

    #: Live instances in its member table, itself included.
    member_count: int

    #: Targets in the platform's list that it last read.
    target_count: int

    #: Running generations.
    generation_count: int

    #: Current values of its metrics, by name.
    metrics: dict[str, float] = dataclasses.field(default_factory=dict)
