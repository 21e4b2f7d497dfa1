"""Membership of one instance: rounds of probes and exchanges."""

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

#: Longest wait for the answer to ``Join``.
JOIN_TIMEOUT_S = 1.0

#: Longest wait until the neighbours have confirmed a farewell.
FAREWELL_TIMEOUT_S = 0.5

#: Shortest time between two messages with fresh news to one neighbour.
URGENT_SPACING_S = 0.05

#: Time before a lost or refused neighbour is connected again.
RECONNECT_S = 2.0

#: Time between two attempts to meet an instance that is listed or believed
#: dead, in multiples of the probe interval, once others are known.
REUNION_FACTOR = 2

#: Time between rounds, in multiples of the interval, that shows that this
#: instance was paused.
PAUSE_FACTOR = 3.0

_LOG = structlog.get_logger(part='membership')


@dataclasses.dataclass(frozen=True)
class MembershipDependencies:
    """What membership needs."""

    #: Intervals, limits and switches.
    settings: state.PeerSettings

    #: Connections to other instances.
    network: ports.NeighbourNetwork

    #: Table that membership keeps up to date.
    table: state.MemberTable

    #: Source of time.
    clock: ports.Clock

    #: Counters.
    metrics: ports.Metrics

    #: Seed of random choices; None takes a random one.
    seed: int | None = None


class Membership:
    """Keeps the member table in step with the fleet.

    Three tasks run: one probes, one exchanges state with neighbours and one
    tries to meet instances that are not live here. ``probe_round``,
    ``exchange_round`` and ``rejoin_round`` are one round of each.
    """

    def __init__(self, parts: MembershipDependencies) -> None:
        self._parts = parts
        self._random = random.Random(parts.seed)
        self._health = _health.LocalHealth(parts.settings.health_limit_count)
        self._beliefs = _view.Beliefs(
            parts.settings,
            parts.table,
            parts.clock,
            parts.metrics,
            self._health,
        )
        self._prober = _prober.Prober(
            parts.settings,
            parts.network,
            parts.table,
            self._beliefs,
            self._health,
            parts.clock,
            random.Random(self._random.random()),
        )
        self._exchanges = _exchanges.Exchanges(
            parts.settings,
            parts.network,
            parts.table,
            self._beliefs,
            parts.metrics,
        )
        self._stopping = threading.Event()
        self._probe_wake = threading.Event()
        self._lost: collections.deque[state.InstanceName] = collections.deque()
        self._previous: set[state.InstanceName] = set()
        self._wanted: set[state.InstanceName] = set()
        self._retry_at_s: dict[state.InstanceName, float] = {}
        self._ranked_live: tuple[state.Member, ...] = ()
        self._ranking: tuple[state.InstanceName, ...] = ()
        self._round_count = 0
        self._last_exchange_s = parts.clock.monotonic_s()
        self._tasks = concurrent.futures.ThreadPoolExecutor(
            3, thread_name_prefix='membership'
        )
        parts.network.register_handler(_messages.Join, self._answer_join)

    def add_topic(self, topic: ports.GossipTopic) -> None:
        """Carry a gossip topic on the exchanges from now on."""
        self._exchanges.add_topic(topic)

    def apply_platform_list(
        self, listed: tuple[state.ListedInstance, ...]
    ) -> None:
        """Take in the platform's list, which seeds the membership."""
        self._parts.table.set_listed(listed)

    def start(self) -> None:
        """Start all tasks."""
        self._tasks.submit(self._run_reunions)
        self._tasks.submit(self._run_probes)
        self._tasks.submit(self._run_exchanges)

    def leave(self) -> None:
        """Tell the neighbours that this instance is about to stop.

        It ends its connections afterwards. Neighbours that have confirmed
        the stop can tell those that find it gone.
        """
        network = self._parts.network
        clock = self._parts.clock
        farewell = _messages.MembershipUpdates((self._beliefs.leave(),))
        # All are told first: one that is slow to confirm must not keep it
        # from the others.
        network.broadcast(farewell)
        end_s = clock.monotonic_s() + FAREWELL_TIMEOUT_S
        for peer in network.neighbours():
            left_s = end_s - clock.monotonic_s()
            if left_s <= 0:
                self._parts.metrics.count('membership.late_farewells')
                return
            network.request(peer, farewell, left_s)

    def stop(self) -> None:
        """Stop all tasks."""
        self._stopping.set()
        self._probe_wake.set()
        self._beliefs.urgent_arrived.set()
        self._prober.stop()
        self._tasks.shutdown(wait=False, cancel_futures=True)

    def probe_round(self) -> None:
        """Probe lost neighbours, one neighbour and one other instance."""
        while self._lost and not self._stopping.is_set():
            self._prober.probe(self._lost.popleft())
        self._round_count += 1
        neighbours = self._live_neighbours()
        if neighbours:
            index = self._round_count % len(neighbours)
            self._prober.probe(neighbours[index])
        target = self._prober.next_target()
        if target is not None and target not in neighbours:
            self._prober.probe(target)

    def exchange_round(self) -> None:
        """Expire suspicions, choose neighbours and send them state."""
        self._note_pause()
        self._beliefs.expire()
        self._exchanges.send_urgent()
        self._parts.network.close_stale_connections()
        self._choose_neighbours()
        self._exchanges.send_next()
        self._parts.metrics.gauge(
            'membership.live', len(self._parts.table.live())
        )
        self._parts.metrics.gauge(
            'membership.health_factor', self._health.factor
        )

    def send_urgent_updates(self) -> None:
        """Send fresh news to the neighbours at once."""
        self._exchanges.send_urgent()

    def _run_probes(self) -> None:
        interval_s = self._parts.settings.probe_interval_ms / 1000
        while not self._stopping.is_set():
            self._attempt(self.probe_round)
            self._parts.clock.wait(
                self._probe_wake, self._jittered(interval_s)
            )
            self._probe_wake.clear()

    def _run_exchanges(self) -> None:
        clock = self._parts.clock
        interval_s = self._parts.settings.exchange_interval_ms / 1000
        next_s = clock.monotonic_s()
        while not self._stopping.is_set():
            if clock.monotonic_s() >= next_s:
                self._attempt(self.exchange_round)
                next_s = clock.monotonic_s() + self._jittered(interval_s)
            else:
                self._attempt(self.send_urgent_updates)
            # Changes that come close together go into one message.
            clock.wait(self._stopping, URGENT_SPACING_S)
            left_s = max(0.0, next_s - clock.monotonic_s())
            clock.wait(self._beliefs.urgent_arrived, left_s)

    def _run_reunions(self) -> None:
        # A task of its own, since an instance that is gone may leave each
        # attempt unanswered until its time limit.
        interval_s = self._parts.settings.probe_interval_ms / 1000
        while not self._stopping.is_set():
            self._attempt(self.rejoin_round)
            alone = len(self._parts.table.live()) == 1
            wait_s = interval_s if alone else interval_s * REUNION_FACTOR
            self._parts.clock.wait(self._stopping, self._jittered(wait_s))

    def _jittered(self, interval_s: float) -> float:
        # Keeps instances that started together apart.
        return interval_s * (0.9 + 0.2 * self._random.random())

    def _attempt(self, work: Callable[[], None]) -> None:
        try:
            work()
        except Exception:  # a fault in one round must not end the task
            _LOG.exception('round failed')
            self._parts.metrics.count('membership.round_errors')

    def _note_pause(self) -> None:
        now_s = self._parts.clock.monotonic_s()
        gap_s = now_s - self._last_exchange_s
        self._last_exchange_s = now_s
        if not self._parts.settings.guards_pauses:
            return
        interval_s = self._parts.settings.exchange_interval_ms / 1000
        if gap_s < interval_s * PAUSE_FACTOR + JOIN_TIMEOUT_S:
            return
        # Answers and refutations of that time are still to be read.
        self._parts.metrics.count('membership.pauses')
        _LOG.warning('this instance was paused', duration_s=round(gap_s, 1))
        self._health.worsen(2)
        self._beliefs.postpone(gap_s)

    def _live_neighbours(self) -> list[state.InstanceName]:
        live = {member.name for member in self._parts.table.live()}
        return [
            peer for peer in self._parts.network.neighbours() if peer in live
        ]

    def _choose_neighbours(self) -> None:
        table = self._parts.table
        network = self._parts.network
        live = table.live()
        names = {member.name for member in live}
        present = set(network.neighbours())
        now_s = self._parts.clock.monotonic_s()
        for peer in sorted((self._previous - present) & names):
            # The peer died, or it has too many connections.
            self._retry_at_s[peer] = now_s + RECONNECT_S
            self._probe_soon(peer)
        count = self._parts.settings.connection_count // 2
        suspects = {
            member.name
            for member in live
            if member.state == state.MemberState.SUSPECT
        }
        wanted: set[state.InstanceName] = set()
        for peer in self._ranked(live, count):
            if len(wanted) >= count:
                break
            if self._retry_at_s.get(peer, now_s) > now_s:
                continue
            if peer not in present and peer in suspects:
                # Waiting for its connection would delay this round, which
                # also ends the suspicion and passes the news on.
                continue
            if peer in present or network.connect(peer):
                wanted.add(peer)
                continue
            self._retry_at_s[peer] = now_s + RECONNECT_S
            self._probe_soon(peer)
            # Several peers that do not answer must not delay this round.
            break
        for peer in sorted(self._unwanted(present, names, wanted)):
            network.disconnect(peer)
        self._wanted = wanted
        self._previous = set(network.neighbours())

    def _unwanted(
        self,
        present: set[state.InstanceName],
        live: set[state.InstanceName],
        wanted: set[state.InstanceName],
    ) -> set[state.InstanceName]:
        """Return connections to gone peers and former choices in excess."""
        unwanted = present - live
        if len(present) > self._parts.settings.connection_count:
            unwanted |= (self._wanted - wanted) & present
        return unwanted

    def _ranked(
        self, live: tuple[state.Member, ...], count: int
    ) -> tuple[state.InstanceName, ...]:
        # The table returns the same tuple until it changes.
        if live is not self._ranked_live:
            self._ranked_live = live
            self._retry_at_s.clear()
            self._ranking = _neighbours.ranked_neighbours(
                self._parts.table.own, live, count
            )
        return self._ranking

    def _probe_soon(self, peer: state.InstanceName) -> None:
        if peer in self._lost:
            return
        self._lost.append(peer)
        self._probe_wake.set()

    def rejoin_round(self) -> None:
        """Exchange whole tables with an instance that is not live here."""
        table = self._parts.table
        if not self._parts.settings.reunites and len(table.live()) > 1:
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
        answered = self._parts.network.request(peer, message, JOIN_TIMEOUT_S)
        if answered.is_error():
            return
        if isinstance(answered.ok, _messages.JoinResponse):
            self._beliefs.take((answered.ok.sender,), peer)
            self._beliefs.take(answered.ok.members, peer, softened=True)

    def _answer_join(
        self, peer: state.InstanceName, message: _messages.Join
    ) -> _messages.JoinResponse:
        # What the sender believes of this instance may have to be refuted
        # before the answer is composed.
        self._beliefs.take(message.members, peer, softened=True)
        self._beliefs.take((message.sender,), peer)
        table = self._parts.table
        return _messages.JoinResponse(table.own, table.all())
