"""Polling of load reports and cache events, and leaving notices."""

import functools
import random
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.routing import _prefixes
from skylarktack.coordination.routing import _records
from skylarktack.coordination.routing import _table

_LOG = structlog.get_logger(part='routing')

#: Cache events are read on every n-th poll only, since the prefix index is
#: approximate anyway.
EVENT_POLL_INTERVAL = 2

#: Names the polling tasks where their errors are recorded.
_TASK_NAME = 'target polls'


class LeavingNotices:
    """Broadcasts immediately that a target is leaving.

    An instance rebroadcasts a notice only if it did not know of it yet, so a
    notice crosses each connection at most twice.
    """

    def __init__(
        self, table: _table.TargetTable, peers: ports.PeerNetwork | None
    ) -> None:
        self._table = table
        self._peers = peers
        if peers is not None:
            peers.register_handler(_records.TargetLeaving, self._receive)

    def announce(self, target: state.TargetName) -> None:
        """Notify all connected peers that a target is leaving."""
        observed = self._table.status(target)
        incarnation = observed.incarnation if observed is not None else ''
        self._broadcast(_records.TargetLeaving(target, incarnation))

    def _broadcast(self, message: _records.TargetLeaving) -> None:
        _LOG.info('target is leaving', target=message.target)
        if self._peers is not None:
            self._peers.broadcast(message)

    def _receive(
        self, peer: state.InstanceName, message: _records.TargetLeaving
    ) -> None:
        observed = self._table.status(message.target)
        if observed is None:
            return
        if observed.incarnation and message.incarnation:
            if observed.incarnation != message.incarnation:
                # The notice is about a previous process of the target.
                return
        if self._table.mark_leaving(message.target):
            self._broadcast(message)


class TargetWatcher:
    """Polls the watched targets, with one thread for each group."""

    def __init__(
        self,
        settings: state.RoutingSettings,
        table: _table.TargetTable,
        prefixes: _prefixes.PrefixIndex,
        engines: ports.EngineClient,
        clock: ports.Clock,
        notices: LeavingNotices,
        supervisor: ports.TaskSupervisor,
    ) -> None:
        self._settings = settings
        self._table = table
        self._prefixes = prefixes
        self._engines = engines
        self._clock = clock
        self._notices = notices
        self._supervisor = supervisor
        self._stopping = threading.Event()
        self._poll_count: dict[state.TargetName, int] = {}

    def start(self) -> None:
        """Start the polling threads."""
        for group in range(self._settings.watch_thread_count):
            threading.Thread(
                target=self._supervisor.run,
                args=(_TASK_NAME, functools.partial(self._run, group)),
                name=f'watch-{group}',
                daemon=True,
            ).start()

    def stop(self) -> None:
        """Signal all threads to end."""
        self._stopping.set()

    def poll_group(self, group: int) -> None:
        """Poll each watched target of a group once."""
        thread_count = self._settings.watch_thread_count
        for index, target in enumerate(self._table.watched()):
            if index % thread_count != group:
                continue
            if self._stopping.is_set():
                return
            # An error at one target must not keep the others from their poll.
            self._supervisor.run_once(
                _TASK_NAME, functools.partial(self._poll, target)
            )

    def _run(self, group: int) -> None:
        jitter = random.Random()
        while not self._stopping.is_set():
            started_s = self._clock.monotonic_s()
            self.poll_group(group)
            elapsed_s = self._clock.monotonic_s() - started_s
            # Jitter keeps instances from polling the same target at once.
            interval_s = (
                self._settings.poll_interval_ms
                / 1000
                * jitter.uniform(0.8, 1.2)
            )
            self._clock.wait(self._stopping, max(0.05, interval_s - elapsed_s))

    def _poll(self, target: state.Target) -> None:
        timeout_s = self._settings.poll_timeout_ms / 1000
        report = self._engines.read_load(target, timeout_s)
        if report.is_error():
            # The last sample just gets older; failures of the target are
            # detected by requests, not by polls.
            return
        restarted, leaving = self._table.record_load_report(
            target.name, report.ok
        )
        if restarted:
            self._prefixes.forget(target.name)
        if leaving:
            self._notices.announce(target.name)
        poll_number = self._poll_count.get(target.name, 0)
        self._poll_count[target.name] = poll_number + 1
        if poll_number % EVENT_POLL_INTERVAL:
            return
        events = self._engines.cache_events(
            target, self._prefixes.last_sequence(target.name), timeout_s
        )
        if events.is_ok():
            self._prefixes.apply_events(target.name, events.ok)
