"""Composition of target selection."""

import structlog

from skylarktack import protocol
from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination import routing

_LOG = structlog.get_logger(part='routing')


class RoutingComponents:
    """Target table, target watcher, gossip topic and selector."""

    def __init__(
        self,
        settings: state.InstanceSettings,
        engines: ports.EngineClient,
        clock: ports.Clock,
        metrics: ports.Metrics,
        supervisor: ports.TaskSupervisor,
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
            settings.routing,
            self.table,
            prefixes,
            engines,
            clock,
            notices,
            supervisor,
        )

    def update(self, listed: state.PlatformList) -> None:
        """Apply the platform's list of targets and instances."""
        removed = self.table.update(listed.targets, listed.instances)
        self.selector.forget(removed)
        self.topic.keep_peers(
            tuple(instance.name for instance in listed.instances)
        )
        self._metrics.gauge('routing.targets', len(listed.targets))
        self._metrics.gauge('routing.watched', len(self.table.watched()))
        self._metrics.gauge('routing.ejected', self.table.ejected_count())
        if removed:
            _LOG.info('targets removed from the list', targets=list(removed))
