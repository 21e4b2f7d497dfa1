"""Runs the membership protocol of one instance."""

import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import random
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.membership import _exchanges
from skylarktack.coordination.membership import _health
from skylarktack.coordination.membership import _messages
from skylarktack.coordination.membership import _neighbours
from skylarktack.coordination.membership import _prober
from skylarktack.coordination.membership import _view

#: Maximum wait for the response to ``Join``.
JOIN_TIMEOUT_S = 1.0

#: Maximum wait for the neighbours to acknowledge the leave announcement.
LEAVE_TIMEOUT_S = 0.5

#: Minimum interval between two messages with urgent updates to a neighbour.
URGENT_INTERVAL_S = 0.05

#: Delay before reconnecting to a neighbour that was lost or refused.
RECONNECT_DELAY_S = 2.0

#: Interval between attempts to rejoin an instance that is listed by the
#: platform or marked dead, in multiples of the probe interval. Applies once
#: other instances are live; an instance on its own tries at each interval.
REJOIN_INTERVAL_FACTOR = 2

#: Time between the end of an exchange round and the next one, in multiples of
#: the interval, beyond which this instance must have been paused.
PAUSE_FACTOR = 3.0

_LOG = structlog.get_logger(part='membership')


@dataclasses.dataclass(frozen=True)
class MembershipDependencies:
    """Dependencies of ``Membership``."""

    settings: state.PeerSettings

    network: ports.NeighbourNetwork

    #: Updated by the membership; other components only read it.
    table: state.MemberTable

    clock: ports.Clock

    metrics: ports.Metrics

    #: Runs the background tasks.
    supervisor: ports.TaskSupervisor

    #: Seed of the random choices; None for an unpredictable one.
    seed: int | None = None


class Membership:
    """Keeps the member table up to date.

    Runs three tasks: one probes other instances, one exchanges state with
    the neighbours and one tries to rejoin listed instances that are not live
    in the table. ``probe_round``, ``exchange_round`` and ``rejoin_round`` run
    one round of each.
    """

    def __init__(self, dependencies: MembershipDependencies) -> None:
        self._dependencies = dependencies
        self._random = random.Random(dependencies.seed)
        self._health = _health.LocalHealth(
            dependencies.settings.health_limit_count
        )
        self._view = _view.MembershipView(
            dependencies.settings,
            dependencies.table,
            dependencies.clock,
            dependencies.metrics,
            self._health,
        )
        self._prober = _prober.Prober(
            dependencies.settings,
            dependencies.network,
            dependencies.table,
            self._view,
            self._health,
            dependencies.clock,
            random.Random(self._random.random()),
        )
        self._exchanges = _exchanges.Exchanges(
            dependencies.settings,
            dependencies.network,
            dependencies.table,
            self._view,
            dependencies.metrics,
        )
        self._stopping = threading.Event()
        self._probe_wake = threading.Event()
        self._lost_neighbours: collections.deque[state.InstanceName] = (
            collections.deque()
        )
        self._previously_connected: set[state.InstanceName] = set()
        self._selected: set[state.InstanceName] = set()
        self._retry_at_s: dict[state.InstanceName, float] = {}
        self._ranked_members: tuple[state.Member, ...] = ()
        self._ranking: tuple[state.InstanceName, ...] = ()
        self._round_count = 0
        self._last_exchange_s = dependencies.clock.monotonic_s()
        self._tasks = concurrent.futures.ThreadPoolExecutor(
            3, thread_name_prefix='membership'
        )
        dependencies.network.register_handler(
            _messages.Join, self._handle_join
        )

    def add_topic(self, topic: ports.GossipTopic) -> None:
        """Include a gossip topic in the exchanges from now on."""
        self._exchanges.add_topic(topic)

    def apply_platform_list(
        self, listed: tuple[state.ListedInstance, ...]
    ) -> None:
        """Apply the platform's list of instances, the seeds for joining."""
        self._dependencies.table.set_listed(listed)

    def start(self) -> None:
        """Start the probe, exchange and rejoin tasks."""
        run = self._dependencies.supervisor.run
        self._tasks.submit(run, 'membership rejoins', self._run_rejoins)
        self._tasks.submit(run, 'membership probes', self._run_probes)
        self._tasks.submit(run, 'membership exchanges', self._run_exchanges)

    def leave(self) -> None:
        """Announce to the neighbours that this instance is leaving.

        Waits up to ``LEAVE_TIMEOUT_S`` for their acknowledgements, since the
        caller closes the connections next. Neighbours that have acknowledged
        report the leave to those whose probes of this instance fail.
        """
        network = self._dependencies.network
        clock = self._dependencies.clock
        announcement = _messages.MembershipUpdates((self._view.leave(),))
        # Sent to all neighbours first, so that one that is slow to
        # acknowledge does not delay it for the others.
        network.broadcast(announcement)
        deadline_s = clock.monotonic_s() + LEAVE_TIMEOUT_S
        for peer in network.neighbours():
            remaining_s = deadline_s - clock.monotonic_s()
            if remaining_s <= 0:
                self._dependencies.metrics.count('membership.late_farewells')
                return
            network.request(peer, announcement, remaining_s)

    def stop(self) -> None:
        """Stop all tasks without waiting for running rounds."""
        self._stopping.set()
        self._probe_wake.set()
        self._view.urgent_arrived.set()
        self._prober.stop()
        self._tasks.shutdown(wait=False, cancel_futures=True)

    def probe_round(self) -> None:
        """Probe the lost neighbours, one neighbour and one other instance."""
        while self._lost_neighbours and not self._stopping.is_set():
            self._prober.probe(self._lost_neighbours.popleft())
        self._round_count += 1
        neighbours = self._live_neighbours()
        if neighbours:
            index = self._round_count % len(neighbours)
            self._prober.probe(neighbours[index])
        target = self._prober.next_target()
        if target is not None and target not in neighbours:
            self._prober.probe(target)

    def exchange_round(self) -> None:
        """Expire suspicions, select neighbours and send exchanges."""
        self._detect_pause()
        self._view.expire()
        self._exchanges.send_urgent_updates()
        self._dependencies.network.close_stale_connections()
        self._select_neighbours()
        self._exchanges.send_exchanges()
        self._dependencies.metrics.gauge(
            'membership.live', len(self._dependencies.table.live())
        )
        self._dependencies.metrics.gauge(
            'membership.health_factor', self._health.factor
        )
        # Connection attempts may block a round; that is no pause.
        self._last_exchange_s = self._dependencies.clock.monotonic_s()

    def send_urgent_updates(self) -> None:
        """Send the queued urgent updates to the neighbours."""
        self._exchanges.send_urgent_updates()

    def _run_probes(self) -> None:
        interval_s = self._dependencies.settings.probe_interval_ms / 1000
        while not self._stopping.is_set():
            self._run_guarded(self.probe_round)
            self._dependencies.clock.wait(
                self._probe_wake, self._jittered(interval_s)
            )
            self._probe_wake.clear()

    def _run_exchanges(self) -> None:
        clock = self._dependencies.clock
        interval_s = self._dependencies.settings.exchange_interval_ms / 1000
        next_s = clock.monotonic_s()
        while not self._stopping.is_set():
            if clock.monotonic_s() >= next_s:
                self._run_guarded(self.exchange_round)
                next_s = clock.monotonic_s() + self._jittered(interval_s)
            else:
                self._run_guarded(self.send_urgent_updates)
            # Batches updates that arrive close together.
            clock.wait(self._stopping, URGENT_INTERVAL_S)
            remaining_s = max(0.0, next_s - clock.monotonic_s())
            clock.wait(self._view.urgent_arrived, remaining_s)

    def _run_rejoins(self) -> None:
        # Runs as a separate task, since each attempt to reach a dead
        # instance may block until its timeout.
        interval_s = self._dependencies.settings.probe_interval_ms / 1000
        while not self._stopping.is_set():
            self._run_guarded(self.rejoin_round)
            alone = len(self._dependencies.table.live()) == 1
            wait_s = (
                interval_s if alone else interval_s * REJOIN_INTERVAL_FACTOR
            )
            self._dependencies.clock.wait(
                self._stopping, self._jittered(wait_s)
            )

    def _jittered(self, interval_s: float) -> float:
        # Desynchronises instances that started at the same time.
        return interval_s * (0.9 + 0.2 * self._random.random())

    def _run_guarded(self, round_method: Callable[[], None]) -> None:
        try:
            round_method()
        except Exception:  # one failed round must not end the task
            _LOG.exception('membership round failed')
            self._dependencies.metrics.count('membership.round_errors')

    def _detect_pause(self) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        gap_s = now_s - self._last_exchange_s
        self._last_exchange_s = now_s
        if not self._dependencies.settings.guards_pauses:
            return
        interval_s = self._dependencies.settings.exchange_interval_ms / 1000
        if gap_s < interval_s * PAUSE_FACTOR:
            return
        # Responses and refutations that arrived meanwhile are still unread.
        self._dependencies.metrics.count('membership.pauses')
        _LOG.warning('this instance was paused', duration_s=round(gap_s, 1))
        self._health.worsen(2)
        self._view.extend_suspicions(gap_s)

    def _live_neighbours(self) -> list[state.InstanceName]:
        live = {member.name for member in self._dependencies.table.live()}
        return [
            peer
            for peer in self._dependencies.network.neighbours()
            if peer in live
        ]

    def _select_neighbours(self) -> None:
        table = self._dependencies.table
        network = self._dependencies.network
        live = table.live()
        names = {member.name for member in live}
        connected = set(network.neighbours())
        now_s = self._dependencies.clock.monotonic_s()
        for peer in sorted((self._previously_connected - connected) & names):
            # The peer failed or closed the connection for lack of capacity.
            self._retry_at_s[peer] = now_s + RECONNECT_DELAY_S
            self._schedule_probe(peer)
        count = self._dependencies.settings.connection_count // 2
        suspects = {
            member.name
            for member in live
            if member.state == state.MemberState.SUSPECT
        }
        selected: set[state.InstanceName] = set()
        for peer in self._ranked_peers(live, count):
            if len(selected) >= count:
                break
            if self._retry_at_s.get(peer, now_s) > now_s:
                continue
            if peer not in connected and peer in suspects:
                # A connection attempt would block this round, which also
                # expires the suspicion and sends the updates.
                continue
            if peer in connected or network.connect(peer):
                selected.add(peer)
                continue
            self._retry_at_s[peer] = now_s + RECONNECT_DELAY_S
            self._schedule_probe(peer)
            # At most one failed connection attempt blocks each round.
            break
        for peer in sorted(
            self._excess_connections(connected, names, selected)
        ):
            network.disconnect(peer)
        self._selected = selected
        self._previously_connected = set(network.neighbours())

    def _excess_connections(
        self,
        connected: set[state.InstanceName],
        live: set[state.InstanceName],
        selected: set[state.InstanceName],
    ) -> set[state.InstanceName]:
        """Return the connected peers to disconnect.

        These are the peers that are not live and, above the connection
        limit, those that are no longer selected.
        """
        excess = connected - live
        if len(connected) > self._dependencies.settings.connection_count:
            excess |= (self._selected - selected) & connected
        return excess

    def _ranked_peers(
        self, live: tuple[state.Member, ...], count: int
    ) -> tuple[state.InstanceName, ...]:
        # The table returns the same tuple object until it changes.
        if live is not self._ranked_members:
            self._ranked_members = live
            self._retry_at_s.clear()
            self._ranking = _neighbours.ranked_neighbours(
                self._dependencies.table.own, live, count
            )
        return self._ranking

    def _schedule_probe(self, peer: state.InstanceName) -> None:
        if peer in self._lost_neighbours:
            return
        self._lost_neighbours.append(peer)
        self._probe_wake.set()

    def rejoin_round(self) -> None:
        """Exchange full tables with an instance that is not live."""
        table = self._dependencies.table
        if not self._dependencies.settings.reunites and len(table.live()) > 1:
            return
        known = {member.name for member in table.live()}
        absent = set(table.listed()) - known
        for member in table.all():
            if member.state == state.MemberState.DEAD:
                absent.add(member.name)
            if member.state == state.MemberState.LEAVING:
                absent.discard(member.name)
        if not absent:
            return
        peer = self._random.choice(sorted(absent))
        message = _messages.Join(table.own, table.all())
        result = self._dependencies.network.request(
            peer, message, JOIN_TIMEOUT_S
        )
        if result.is_error():
            return
        if isinstance(result.ok, _messages.JoinResponse):
            self._view.apply((result.ok.sender,), peer)
            self._view.apply(result.ok.members, peer, downgrade_deaths=True)

    def _handle_join(
        self, peer: state.InstanceName, message: _messages.Join
    ) -> _messages.JoinResponse:
        # Applied first: this instance may have to refute the sender's entry
        # for it before the response is built.
        self._view.apply(message.members, peer, downgrade_deaths=True)
        self._view.apply((message.sender,), peer)
        table = self._dependencies.table
        return _messages.JoinResponse(table.own, table.all())
