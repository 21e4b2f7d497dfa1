"""Applies membership updates and evidence to the member table."""

import dataclasses
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.membership import _health
from skylarktack.coordination.membership import _update_queue

#: Maximum number of queued urgent updates. Further updates are sent only
#: piggybacked on other messages.
URGENT_LIMIT_COUNT = 256

_INACTIVE = (state.MemberState.DEAD, state.MemberState.LEAVING)
_LOG = structlog.get_logger(part='membership')


@dataclasses.dataclass(frozen=True)
class UrgentUpdate:
    """Update to be sent to the neighbours at once."""

    member: state.Member

    #: Peer that sent the update; None if it originates here.
    source: state.InstanceName | None


class MembershipView:
    """This instance's view of the membership, stored in the member table.

    Tracks suspicion timeouts and queues accepted changes for dissemination.
    """

    def __init__(
        self,
        settings: state.PeerSettings,
        table: state.MemberTable,
        clock: ports.Clock,
        metrics: ports.Metrics,
        health: _health.LocalHealth,
    ) -> None:
        self._settings = settings
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._health = health
        self._queue = _update_queue.UpdateQueue()
        self._lock = threading.RLock()
        self._suspicion_deadlines_s: dict[state.InstanceName, float] = {}
        self._inactive_since_s: dict[state.InstanceName, float] = {}
        self._urgent: list[UrgentUpdate] = []
        #: Set while urgent updates are queued.
        self.urgent_arrived = threading.Event()

    def apply(
        self,
        updates: tuple[state.Member, ...],
        source: state.InstanceName | None,
        downgrade_deaths: bool = False,
    ) -> None:
        """Apply updates received from a peer.

        :param downgrade_deaths: whether a reported death or leave only raises
            a suspicion. Set for table slices and full tables, which may come
            from the other side of a healed partition.
        """
        with self._lock:
            for member in updates:
                self._apply_one(member, source, downgrade_deaths)

    def suspect(self, name: state.InstanceName) -> None:
        """Mark a live instance that answered no probe as suspect."""
        with self._lock:
            member = self._table.get(name)
            if member is None or member.state != state.MemberState.ALIVE:
                return
            suspect_member = dataclasses.replace(
                member, state=state.MemberState.SUSPECT
            )
            self._merge(suspect_member, None)

    def expire(self) -> None:
        """Declare suspects dead after their timeout; drop expired entries."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for name, deadline_s in list(self._suspicion_deadlines_s.items()):
                if now_s >= deadline_s:
                    self._declare_dead(name)
            listed = set(self._table.listed())
            for name, since_s in list(self._inactive_since_s.items()):
                if name in listed:
                    continue
                if now_s - since_s > self._settings.retention_s:
                    del self._inactive_since_s[name]
                    self._table.remove(name)

    def extend_suspicions(self, duration_s: float) -> None:
        """Extend all suspicion timeouts, after a pause of this instance."""
        with self._lock:
            for name in self._suspicion_deadlines_s:
                self._suspicion_deadlines_s[name] += duration_s

    def leave(self) -> state.Member:
        """Mark this instance as leaving and return its entry."""
        with self._lock:
            own = self._table.own
            self._set_own(own.incarnation + 1, state.MemberState.LEAVING)
            return self._table.own

    def next_updates(self) -> tuple[state.Member, ...]:
        """Return the updates to piggyback on one message."""
        return self._queue.next_batch(
            self._settings.news_count, len(self._table.all())
        )

    def drain_urgent(self) -> tuple[UrgentUpdate, ...]:
        """Return and clear the queued urgent updates."""
        with self._lock:
            urgent = tuple(self._urgent)
            self._urgent.clear()
            self.urgent_arrived.clear()
            return urgent

    def _apply_one(
        self,
        member: state.Member,
        source: state.InstanceName | None,
        downgrade_deaths: bool,
    ) -> None:
        if member.name == self._table.own.name:
            self._apply_own(member)
            return
        if downgrade_deaths and member.state in _INACTIVE:
            previous = self._table.get(member.name)
            if previous is not None and previous.state not in _INACTIVE:
                member = dataclasses.replace(
                    member, state=state.MemberState.SUSPECT
                )
        self._merge(member, source)

    def _apply_own(self, received: state.Member) -> None:
        own = self._table.own
        if received == own or received.incarnation < own.incarnation:
            return
        if not self._settings.refutes:
            return
        if received.state in (
            state.MemberState.SUSPECT,
            state.MemberState.DEAD,
        ):
            self._health.worsen()
            self._metrics.count('membership.refutations')
        if received.state == state.MemberState.DEAD:
            self._metrics.count('membership.false_removals')
            _LOG.warning(
                'peers had declared this instance dead', name=own.name
            )
        self._set_own(received.incarnation + 1, own.state)

    def _set_own(self, incarnation: int, own_state: state.MemberState) -> None:
        own = dataclasses.replace(
            self._table.own, incarnation=incarnation, state=own_state
        )
        self._table.set_own(own)
        self._disseminate(own, None)

    def _declare_dead(self, name: state.InstanceName) -> None:
        del self._suspicion_deadlines_s[name]
        member = self._table.get(name)
        if member is None or member.state != state.MemberState.SUSPECT:
            return
        self._metrics.count('membership.removals')
        _LOG.warning('instance declared dead', name=name)
        self._merge(
            dataclasses.replace(member, state=state.MemberState.DEAD), None
        )

    def _merge(
        self, member: state.Member, source: state.InstanceName | None
    ) -> None:
        previous = self._table.get(member.name)
        if not self._table.merge(member):
            return
        now_s = self._clock.monotonic_s()
        self._suspicion_deadlines_s.pop(member.name, None)
        self._inactive_since_s.pop(member.name, None)
        if member.state == state.MemberState.SUSPECT:
            duration_s = self._settings.suspicion_ms / 1000
            self._suspicion_deadlines_s[member.name] = (
                now_s + duration_s * self._health.factor
            )
        if member.state in _INACTIVE:
            self._inactive_since_s[member.name] = now_s
        if previous is None or previous.state != member.state:
            self._metrics.count(f'membership.became_{member.state.value}')
            _LOG.info(
                'member state changed',
                name=member.name,
                state=member.state.value,
            )
        self._disseminate(member, source)

    def _disseminate(
        self, member: state.Member, source: state.InstanceName | None
    ) -> None:
        self._queue.add(member)
        if len(self._urgent) < URGENT_LIMIT_COUNT:
            self._urgent.append(UrgentUpdate(member, source))
            self.urgent_arrived.set()
