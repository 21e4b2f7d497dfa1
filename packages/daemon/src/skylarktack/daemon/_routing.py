"""Construction of target choice."""

import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination import routing

_LOG = structlog.get_logger(part='routing')


class RoutingPart:
    """Targets' state, their watcher, their gossip topic and the selector."""

    def __init__(
        self,
        settings: state.InstanceSettings,
        engines: ports.EngineClient,
        clock: ports.Clock,
        metrics: ports.Metrics,
        peers: ports.PeerNetwork | None = None,
    ) -> None:
        self._metrics = metrics
        self.table = routing.TargetTable(
            settings.name,
            settings.failure_domain,
            settings.region,
            settings.routing,
            clock,
        )
        prefixes = routing.PrefixIndex(settings.routing)
        notices = routing.LeavingNotices(self.table, peers)
        self.selector = routing.TableSelector(
            settings.routing, self.table, prefixes, notices
        )
        self.topic = routing.DigestTopic(
            settings.routing,
            self.table,
            protocol.StructDigestCodec(),
            notices,
        )
        self.watcher = routing.TargetWatcher(
            settings.routing, self.table, prefixes, engines, clock, notices
        )

    def update(self, listed: state.PlatformList) -> None:
        """Take in the platform's list."""
        gone = self.table.update(listed.targets, listed.instances)
        self.selector.forget(gone)
        self.topic.keep_peers(tuple(one.name for one in listed.instances))
        self._metrics.gauge('routing.targets', len(listed.targets))
        self._metrics.gauge('routing.watched', len(self.table.watched()))
        self._metrics.gauge('routing.ejected', self.table.ejected_count())
        if gone:
            _LOG.info('targets left the list', targets=list(gone))
