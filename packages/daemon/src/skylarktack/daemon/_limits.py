"""Composition of limits."""

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import limits
from skylarktack.coordination import ports


class LimitsComponents:
    """Shares of limits, admission, and the gossip topic for loans."""

    def __init__(
        self,
        settings: state.InstanceSettings,
        configuration: ports.ConfigurationSource,
        clock: ports.Clock,
        metrics: ports.Metrics,
    ) -> None:
        self._metrics = metrics
        self.allocator = limits.ShareAllocator(
            settings.name,
            settings.limit,
            limits.LimitIndex(configuration),
            clock,
        )
        self.admission = limits.SharedAdmission(
            settings.limit, self.allocator, clock, metrics
        )
        self.topic = limits.LoanTopic(
            settings.limit,
            self.allocator,
            protocol.CborLoanCodec(),
            self.admission,
        )

    def update(self, listed: state.PlatformList) -> None:
        """Divide the limits among the listed instances.

        Also dispatches queued requests that the new shares admit.
        """
        instance_names = tuple(instance.name for instance in listed.instances)
        self.allocator.update_instances(instance_names)
        self.topic.keep_peers(instance_names)
        self.admission.dispatch()
        self._metrics.gauge('limits.scopes', self.allocator.tracked_count())
