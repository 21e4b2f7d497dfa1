"""Datagrams between forwarding instances.

Their fields are encoded by position; the order must not change.
"""

import dataclasses

from skylarktack.state._addresses import Address
from skylarktack.state.forwarding._moves import MoveReport
from skylarktack.state.forwarding._observations import ServiceDemand
from skylarktack.state.forwarding._observations import TargetObservation
from skylarktack.state.forwarding._prompt_evidence import PromptEvidence
from skylarktack.state.forwarding._store_position import StorePosition
from skylarktack.state.forwarding._targets import LeavingTarget


@dataclasses.dataclass(frozen=True)
class RunStatus:
    """State of one run, which is one generation at one engine."""

    #: Attempt of the caller to which the run belongs.
    attempt_id: str

    #: Identifier of the last prompt part, which later attempts share.
    affinity_key: str

    engine: str

    #: Engine that keeps a standby copy of its KV cache, or None.
    standby: str | None

    #: Whether the run is still in its prefill phase.
    is_prefilling: bool

    #: Whether the engine no longer executes the run.
    has_ended: bool = False

    #: Tokens that the KV cache holds for it; 0 if an earlier release reported
    #: the run.
    token_count: int = 0


@dataclasses.dataclass(frozen=True)
class RetryCounts:
    """Requests and retries of one service, for the retry budget."""

    service: str

    #: Requests in the budget window.
    request_count: int

    #: Retries in the budget window.
    retry_count: int


@dataclasses.dataclass(frozen=True)
class InstanceReport:
    """Periodic report of an instance to its peers."""

    instance: str

    #: Where the sender receives datagrams.
    endpoint: Address

    #: Wall clock time of the sender's start, in milliseconds since the epoch.
    started_at_ms: int

    #: Increases with each report of the sender.
    sequence: int

    #: Whether ``runs`` has all runs of the sender or only changed ones.
    is_full: bool

    runs: tuple[RunStatus, ...]

    #: Targets that the sender has recently detected as failed.
    lost_targets: tuple[str, ...]

    #: Time until the sender's next full report.
    next_report_ms: int

    #: Targets whose address now belongs to another target.
    replaced_targets: tuple[str, ...] = ()

    #: Requests and retries of the sender in the budget window.
    counts: tuple[RetryCounts, ...] = ()

    #: Targets that announced to the sender that they are about to stop.
    leaving_targets: tuple[LeavingTarget, ...] = ()

    #: Losses of engines under prompt parts, and the quarantined parts.
    prompt_evidence: PromptEvidence = PromptEvidence()

    #: Version of the active configuration of the sender; 0 if it has none
    #: or is of an earlier release.
    configuration_version: int = 0

    #: What the sender has seen of targets; empty from an earlier release.
    observations: tuple[TargetObservation, ...] = ()

    #: Demand of organisations at the sender; empty from an earlier release.
    demands: tuple[ServiceDemand, ...] = ()


@dataclasses.dataclass(frozen=True)
class StoreChange:
    """A watch response of the store that one instance forwards to others."""

    #: Kind of the changed objects.
    kind: str

    #: Revision of the last change before the ones in ``content``.
    previous_revision: int

    #: Revision up to which the changes are complete.
    revision: int

    #: The response as the store sent it.
    content: bytes

    #: Whether entries may be missing only because they expired while the
    #: store was unavailable.
    follows_outage: bool = False

    #: Era of the store to which both revisions belong; 0 if an earlier
    #: release forwarded the change.
    era: int = 0


@dataclasses.dataclass(frozen=True)
class ConfirmedKind:
    """A kind of objects whose watch was recently confirmed by the store."""

    kind: str

    #: Revision of the newest change of this kind.
    changed_revision: int

    #: Era of the store to which the revision belongs; 0 if an earlier release
    #: reports it.
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position of the newest change."""
        return StorePosition(self.era, self.changed_revision)


@dataclasses.dataclass(frozen=True)
class WatchHeartbeat:
    """Heartbeat of the instance that holds the shared watch.

    Shows that its watch of the store is still working.
    """

    instance: str

    #: Kinds that the store has recently confirmed.
    kinds: tuple[ConfirmedKind, ...]


@dataclasses.dataclass(frozen=True)
class BroadcastMessage:
    """A message that its receiver also forwards to other instances."""

    #: The encoded message.
    content: bytes

    #: Addresses to which the receiver forwards it.
    peers: tuple[Address, ...]


#: Any message between forwarding instances.
FleetMessage = (
    InstanceReport
    | StoreChange
    | WatchHeartbeat
    | MoveReport
    | BroadcastMessage
)


@dataclasses.dataclass(frozen=True)
class ListedPeer:
    """An instance that is listed in the store."""

    instance: str

    #: Where it receives datagrams.
    endpoint: Address
