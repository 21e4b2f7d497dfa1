"""Composition of plain calls: lookups and at-most-once calls."""

import dataclasses

from skylarktack import protocol
from skylarktack import state
from skylarktack import transport
from skylarktack.coordination import lookup
from skylarktack.coordination import once
from skylarktack.coordination import ports
from skylarktack.coordination import routing


@dataclasses.dataclass(frozen=True)
class CallNeeds:
    """What plain calls take from the rest of the instance."""

    #: Settings of the instance.
    settings: state.InstanceSettings

    #: The object API.
    store: ports.ObjectStore

    #: Other instances.
    peers: ports.PeerNetwork

    #: Choice of targets.
    selector: ports.TargetSelector

    #: Shares of two versions.
    versions: ports.VersionSelector

    #: Bound of retries.
    retry_budget: ports.RetryBudget

    #: Takes evidence.
    outcomes: ports.OutcomeObserver

    #: Time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics


class CallParts:
    """The parts of one instance that serve plain calls."""

    def __init__(self, needs: CallNeeds) -> None:
        settings = needs.settings
        self.claims = once.ClaimTable(
            once.ClaimTableDependencies(
                once.BucketDependencies(
                    settings=settings.claim,
                    store=needs.store,
                    codec=protocol.CborSegmentCodec(),
                    clock=needs.clock,
                    metrics=needs.metrics,
                ),
                needs.peers,
            )
        )
        self.once = once.AtMostOnceRunner(
            once.AtMostOnceDependencies(
                instance=settings.name,
                settings=settings.claim,
                claims=self.claims,
                services=transport.HttpServiceClient(),
                selector=needs.selector,
                versions=needs.versions,
                retry_budget=needs.retry_budget,
                outcomes=needs.outcomes,
                clock=needs.clock,
                metrics=needs.metrics,
            )
        )
        self.unknown_calls = once.UnknownCalls(self.claims, needs.clock)
        self.health = routing.TargetEjection(settings.lookup, needs.clock)
        self.lookups = lookup.LookupRunner(
            lookup.LookupParts(
                settings=settings.lookup,
                client=transport.HttpLookupClient(),
                selector=needs.selector,
                versions=needs.versions,
                retry_budget=needs.retry_budget,
                health=self.health,
                outcomes=needs.outcomes,
                clock=needs.clock,
                metrics=needs.metrics,
            )
        )

    def stop(self) -> None:
        """Write outcomes that wait."""
        self.claims.stop()
