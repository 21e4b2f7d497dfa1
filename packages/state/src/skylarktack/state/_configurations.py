"""Configuration records in the object API and messages about them."""

import dataclasses

from skylarktack.state._documents import ConfigurationDocument
from skylarktack.state._names import InstanceName


@dataclasses.dataclass(frozen=True)
class AppliedChange:
    """One earlier change, kept so that a repeated submission is known."""

    #: Identifier that the operator's client chose.
    change_id: str

    #: Revision that the change made.
    revision: int


@dataclasses.dataclass(frozen=True)
class ConfigurationRecord:
    """One accepted revision with its origin."""

    #: Revision; each accepted change is one above the last.
    revision: int

    #: The document.
    document: ConfigurationDocument

    #: Who submitted it.
    author: str

    #: Wall clock time of acceptance, in seconds since the epoch.
    accepted_s: float

    #: Identifier that the operator's client chose for the change.
    change_id: str

    #: One line that says why.
    comment: str = ''

    #: The last changes before this one, newest first.
    recent_changes: tuple[AppliedChange, ...] = ()


@dataclasses.dataclass(frozen=True)
class ConfigurationChange:
    """A change that an operator submits."""

    #: The whole new document.
    document: ConfigurationDocument

    #: Revision that the operator started from.
    base_revision: int

    #: Who submits it.
    author: str

    #: Identifier that makes a repeated submission harmless.
    change_id: str

    #: One line that says why.
    comment: str = ''


@dataclasses.dataclass(frozen=True)
class ConfigurationOffer:
    """Peer message: a revision that the sender has in effect."""

    #: The revision.
    revision: int

    #: The encoded record.
    record: bytes


@dataclasses.dataclass(frozen=True)
class ConfigurationFetch:
    """Peer request for a revision newer than the one known."""

    #: Revision that the sender has in effect.
    known_revision: int


@dataclasses.dataclass(frozen=True)
class ConfigurationResponse:
    """Answer to ``ConfigurationFetch``."""

    #: Revision in effect at the answering instance.
    revision: int

    #: The encoded record, or None if it is not newer than the known one.
    record: bytes | None = None


@dataclasses.dataclass(frozen=True)
class StatusRequest:
    """Peer request for the status of one instance."""


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """What one instance says of itself."""

    #: Its name.
    name: InstanceName

    #: Its failure domain.
    failure_domain: str

    #: Whether it serves callers.
    ready: bool

    #: Whether it is stopping.
    stopping: bool

    #: Configuration revision in effect.
    revision: int

    #: Wall clock time since when, in seconds since the epoch.
    revision_since_s: float

    #: Whether its last call to the object API succeeded.
    store_reachable: bool

    #: Live instances that it knows of, itself included.
    member_count: int

    #: Live targets that it knows of.
    target_count: int

    #: Generations in work.
    generation_count: int

    #: Values of its metrics by name.
    metrics: dict[str, float] = dataclasses.field(default_factory=dict)
