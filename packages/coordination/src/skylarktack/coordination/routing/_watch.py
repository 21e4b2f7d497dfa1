"""Reads load reports and cache events of watched targets."""

import random
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.routing import _evidence
from skylarktack.coordination.routing import _prefixes
from skylarktack.coordination.routing import _table

_LOG = structlog.get_logger(part='routing')

#: Cache events are read at every n-th poll; they are only hints.
EVENT_POLL_INTERVAL = 2


class LeavingNotices:
    """Passes on at once that a target is leaving.

    Each instance passes a notice on only when it is news to it, so a notice
    crosses each connection at most twice.
    """

    def __init__(
        self, table: _table.TargetTable, peers: ports.PeerNetwork | None
    ) -> None:
        self._table = table
        self._peers = peers
        if peers is not None:
            peers.register_handler(_evidence.TargetLeaving, self._receive)

    def announce(self, target: state.TargetName) -> None:
        """Tell connected peers about a target that is leaving."""
        known = self._table.status(target)
        incarnation = known.incarnation if known is not None else ''
        self._pass_on(_evidence.TargetLeaving(target, incarnation))

    def _pass_on(self, message: _evidence.TargetLeaving) -> None:
        _LOG.info('target is leaving', target=message.target)
        if self._peers is not None:
            self._peers.broadcast(message)

    def _receive(
        self, peer: state.InstanceName, message: _evidence.TargetLeaving
    ) -> None:
        known = self._table.status(message.target)
        if known is None:
            return
        if known.incarnation and message.incarnation:
            if known.incarnation != message.incarnation:
                # The target restarted since; the notice is old.
                return
        if self._table.mark_leaving(message.target):
            self._pass_on(message)


class TargetWatcher:
    """Polls the watched targets; one thread for each group of them."""

    def __init__(
        self,
        settings: state.RoutingSettings,
        table: _table.TargetTable,
        prefixes: _prefixes.PrefixIndex,
        engines: ports.EngineClient,
        clock: ports.Clock,
        notices: LeavingNotices,
    ) -> None:
        self._settings = settings
        self._table = table
        self._prefixes = prefixes
        self._engines = engines
        self._clock = clock
        self._notices = notices
        self._stopping = threading.Event()
        self._poll_count: dict[state.TargetName, int] = {}

    def start(self) -> None:
        """Start one thread for each group."""
        for group in range(self._settings.watch_thread_count):
            threading.Thread(
                target=self._run,
                args=(group,),
                name=f'watch-{group}',
                daemon=True,
            ).start()

    def stop(self) -> None:
        """Let all threads end."""
        self._stopping.set()

    def poll_group(self, group: int) -> None:
        """Poll each target of a group once."""
        count = self._settings.watch_thread_count
        for index, target in enumerate(self._table.watched()):
            if index % count != group:
                continue
            if self._stopping.is_set():
                return
            self._poll(target)

    def _run(self, group: int) -> None:
        jitter = random.Random()
        while not self._stopping.is_set():
            started_s = self._clock.monotonic_s()
            self.poll_group(group)
            spent_s = self._clock.monotonic_s() - started_s
            # Jitter keeps instances from reading the same target together.
            interval_s = (
                self._settings.poll_interval_ms
                / 1000
                * jitter.uniform(0.8, 1.2)
            )
            self._clock.wait(self._stopping, max(0.05, interval_s - spent_s))

    def _poll(self, target: state.Target) -> None:
        timeout_s = self._settings.poll_timeout_ms / 1000
        report = self._engines.read_load(target, timeout_s)
        if report.is_error():
            # A lost report only ages the last one; requests show failures.
            return
        restarted, leaving = self._table.record_load_report(
            target.name, report.ok
        )
        if restarted:
            self._prefixes.forget(target.name)
        if leaving:
            self._notices.announce(target.name)
        polls = self._poll_count.get(target.name, 0)
        self._poll_count[target.name] = polls + 1
        if polls % EVENT_POLL_INTERVAL:
            return
        events = self._engines.cache_events(
            target, self._prefixes.last_sequence(target.name), timeout_s
        )
        if events.is_ok():
            self._prefixes.apply_events(target.name, events.ok)
