"""Construction of limits."""

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import limits
from skylarktack.coordination import ports


class LimitsPart:
    """Shares of limits, their gossip topic and admission."""

    def __init__(
        self,
        settings: state.InstanceSettings,
        configuration: ports.ConfigurationSource,
        clock: ports.Clock,
        metrics: ports.Metrics,
    ) -> None:
        self._metrics = metrics
        self.book = limits.ShareAllocator(
            settings.name,
            settings.limit,
            limits.LimitIndex(configuration),
            clock,
        )
        self.admission = limits.SharedAdmission(
            settings.limit, self.book, clock, metrics
        )
        self.topic = limits.LoanTopic(
            settings.limit,
            self.book,
            protocol.CborLoanCodec(),
            self.admission,
        )

    def update(self, listed: state.PlatformList) -> None:
        """Take in the platform's list."""
        names = tuple(one.name for one in listed.instances)
        self.book.update_instances(names)
        self.topic.keep_peers(names)
        self.admission.dispatch()
        self._metrics.gauge('limits.scopes', self.book.tracked_count())
