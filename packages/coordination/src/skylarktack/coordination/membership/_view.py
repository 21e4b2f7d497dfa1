"""What this instance believes of the others, and how news changes it."""

import dataclasses
import threading

import structlog

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.membership import _health
from skylarktack.coordination.membership import _update_queue

#: News that may wait to be passed on at once; more is only piggybacked.
URGENT_LIMIT_COUNT = 256

_GONE = (state.MemberState.DEAD, state.MemberState.LEAVING)
_LOG = structlog.get_logger(part='membership')


@dataclasses.dataclass(frozen=True)
class UrgentNews:
    """News to be passed on at once."""

    #: The changed instance.
    member: state.Member

    #: Peer that told it, or None if this instance found it out.
    source: state.InstanceName | None


class Beliefs:
    """Takes in news and evidence; the member table holds the result."""

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
        self._rumours = _update_queue.RumourQueue()
        self._lock = threading.RLock()
        self._deadlines_s: dict[state.InstanceName, float] = {}
        self._gone_since_s: dict[state.InstanceName, float] = {}
        self._urgent: list[UrgentNews] = []
        #: Set while there is news to be passed on at once.
        self.urgent_arrived = threading.Event()

    def take(
        self,
        news: tuple[state.Member, ...],
        source: state.InstanceName | None,
        softened: bool = False,
    ) -> None:
        """Take in news from a peer.

        :param softened: whether a reported death only raises a suspicion,
            as for whole tables, which may hold the beliefs of the other
            side of a partition that has healed.
        """
        with self._lock:
            for member in news:
                self._take_one(member, source, softened)

    def suspect(self, name: state.InstanceName) -> None:
        """Note that an instance answered no probe."""
        with self._lock:
            member = self._table.get(name)
            if member is None or member.state != state.MemberState.ALIVE:
                return
            suspected = dataclasses.replace(
                member, state=state.MemberState.SUSPECT
            )
            self._change(suspected, None)

    def expire(self) -> None:
        """Declare suspects dead whose time is up; forget the long gone."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for name, deadline_s in list(self._deadlines_s.items()):
                if now_s >= deadline_s:
                    self._declare_dead(name)
            listed = set(self._table.listed())
            for name, since_s in list(self._gone_since_s.items()):
                if name in listed:
                    continue
                if now_s - since_s > self._settings.retention_s:
                    del self._gone_since_s[name]
                    self._table.forget(name)

    def postpone(self, duration_s: float) -> None:
        """Give all suspects more time, after a pause of this instance."""
        with self._lock:
            for name in self._deadlines_s:
                self._deadlines_s[name] += duration_s

    def leave(self) -> state.Member:
        """Note that this instance is about to stop; return its entry."""
        with self._lock:
            own = self._table.own
            self._set_own(own.incarnation + 1, state.MemberState.LEAVING)
            return self._table.own

    def piggybacked(self) -> tuple[state.Member, ...]:
        """Return news for one message."""
        return self._rumours.take(
            self._settings.news_count, len(self._table.all())
        )

    def take_urgent(self) -> tuple[UrgentNews, ...]:
        """Return the news to be passed on at once."""
        with self._lock:
            urgent = tuple(self._urgent)
            self._urgent.clear()
            self.urgent_arrived.clear()
            return urgent

    def _take_one(
        self,
        member: state.Member,
        source: state.InstanceName | None,
        softened: bool,
    ) -> None:
        if member.name == self._table.own.name:
            self._hear_of_own(member)
            return
        if softened and member.state in _GONE:
            known = self._table.get(member.name)
            if known is not None and known.state not in _GONE:
                member = dataclasses.replace(
                    member, state=state.MemberState.SUSPECT
                )
        self._change(member, source)

    def _hear_of_own(self, heard: state.Member) -> None:
        own = self._table.own
        if heard == own or heard.incarnation < own.incarnation:
            return
        if not self._settings.refutes:
            return
        if heard.state in (state.MemberState.SUSPECT, state.MemberState.DEAD):
            self._health.worsen()
            self._metrics.count('membership.refutations')
        if heard.state == state.MemberState.DEAD:
            self._metrics.count('membership.false_removals')
            _LOG.warning('peers had removed this instance', name=own.name)
        self._set_own(heard.incarnation + 1, own.state)

    def _set_own(self, incarnation: int, own_state: state.MemberState) -> None:
        own = dataclasses.replace(
            self._table.own, incarnation=incarnation, state=own_state
        )
        self._table.set_own(own)
        self._spread(own, None)

    def _declare_dead(self, name: state.InstanceName) -> None:
        del self._deadlines_s[name]
        member = self._table.get(name)
        if member is None or member.state != state.MemberState.SUSPECT:
            return
        self._metrics.count('membership.removals')
        _LOG.warning('instance is dead', name=name)
        self._change(
            dataclasses.replace(member, state=state.MemberState.DEAD), None
        )

    def _change(
        self, member: state.Member, source: state.InstanceName | None
    ) -> None:
        known = self._table.get(member.name)
        if not self._table.merge(member):
            return
        now_s = self._clock.monotonic_s()
        self._deadlines_s.pop(member.name, None)
        self._gone_since_s.pop(member.name, None)
        if member.state == state.MemberState.SUSPECT:
            duration_s = self._settings.suspicion_ms / 1000
            self._deadlines_s[member.name] = (
                now_s + duration_s * self._health.factor
            )
        if member.state in _GONE:
            self._gone_since_s[member.name] = now_s
        if known is None or known.state != member.state:
            self._metrics.count(f'membership.became_{member.state.value}')
            _LOG.info(
                'instance changed', name=member.name, state=member.state.value
            )
        self._spread(member, source)

    def _spread(
        self, member: state.Member, source: state.InstanceName | None
    ) -> None:
        self._rumours.add(member)
        if len(self._urgent) < URGENT_LIMIT_COUNT:
            self._urgent.append(UrgentNews(member, source))
            self.urgent_arrived.set()
