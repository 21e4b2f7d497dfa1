"""Composition of plain calls: lookups and at-most-once calls.

A lookup is an idempotent call, so it may be hedged and retried. An
at-most-once call is not idempotent and must never be executed twice.
"""

import dataclasses

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import lookup
from skylarktack.coordination import once
from skylarktack.coordination import ports
from skylarktack.coordination import routing


@dataclasses.dataclass(frozen=True)
class CallDependencies:
    """Components of the instance that plain calls depend on."""

    settings: state.InstanceSettings

    #: Stores the claims of at-most-once calls.
    store: ports.ObjectStore

    #: Reaches the instances that own claims.
    peers: ports.PeerNetwork

    #: Chooses the target of each attempt.
    selector: ports.TargetSelector

    #: Splits the traffic between the versions of a move.
    versions: ports.VersionSelector

    #: Limits the retries of each organisation.
    retry_budget: ports.RetryBudget

    #: Receives the outcome of each attempt.
    outcomes: ports.OutcomeObserver

    clock: ports.Clock

    metrics: ports.Metrics

    #: Runs the background tasks.
    supervisor: ports.TaskSupervisor


class CallComponents:
    """The components of one instance that serve plain calls."""

    def __init__(self, dependencies: CallDependencies) -> None:
        settings = dependencies.settings
        self.claims = once.ClaimTable(
            once.ClaimTableDependencies(
                once.BucketDependencies(
                    settings=settings.claim,
                    store=dependencies.store,
                    codec=protocol.CborSegmentCodec(),
                    clock=dependencies.clock,
                    metrics=dependencies.metrics,
                ),
                dependencies.peers,
                dependencies.supervisor,
            )
        )
        self.once = once.AtMostOnceRunner(
            once.AtMostOnceDependencies(
                instance=settings.name,
                settings=settings.claim,
                claims=self.claims,
                services=transport.HttpServiceClient(),
                selector=dependencies.selector,
                versions=dependencies.versions,
                retry_budget=dependencies.retry_budget,
                outcomes=dependencies.outcomes,
                clock=dependencies.clock,
                metrics=dependencies.metrics,
            )
        )
        self.unknown_calls = once.UnknownCalls(self.claims, dependencies.clock)
        self.health = routing.TargetEjection(
            settings.lookup, dependencies.clock
        )
        self.lookups = lookup.LookupRunner(
            lookup.LookupParts(
                settings=settings.lookup,
                client=transport.HttpLookupClient(),
                selector=dependencies.selector,
                versions=dependencies.versions,
                retry_budget=dependencies.retry_budget,
                health=self.health,
                outcomes=dependencies.outcomes,
                clock=dependencies.clock,
                metrics=dependencies.metrics,
            )
        )

    def stop(self) -> None:
        """Write pending outcomes to the store."""
        self.claims.stop()
