"""What the instances of the fleet know of each other's runs.

Many instances choose among the same engines. Each tells the others which
runs it started and which targets it found lost, so that a choice rests on
loads that are milliseconds old. A report that gets lost is replaced by the
next full one.
"""

import dataclasses
import hashlib
import random
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _outgoing
from skylarktack.coordination.forwarding import _rate_meter
from skylarktack.coordination.forwarding import _run_places
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Shortest time between two full reports to the same peer.
REPORT_INTERVAL_S = 1.0

#: Time that each peer adds to the interval, which bounds the datagrams that
#: an instance sends and receives at 20 a second.
REPORT_INTERVAL_PER_PEER_S = 0.05

#: Number of intervals after which a silent peer's runs no longer count.
SILENT_INTERVAL_COUNT = 2.5

#: A peer that was silent for this time is forgotten.
PEER_LIFETIME_S = 120.0


class LossListener(Protocol):
    """Learns of targets that another instance found lost."""

    def report_suspicion(self, name: str) -> None:
        """Take over that a target is lost."""
        ...

    def report_gone(self, name: str) -> None:
        """Take over that another target has a target's address."""
        ...


class RepeatCounter(Protocol):
    """Counts requests and repeats of this instance."""

    def counts(self) -> tuple[data.RetryCounts, ...]:
        """Return the counts of this instance, for its peers."""
        ...


@dataclasses.dataclass
class _Peer:
    endpoint: data.Address
    started_at_ms: int = 0
    sequence: int = -1
    heard_at_s: float = 0.0
    valid_until_s: float = 0.0
    runs: dict[str, data.RunStatus] = dataclasses.field(default_factory=dict)
    counts: tuple[data.RetryCounts, ...] = ()


class FleetView:
    """Runs of all instances, as far as they were told."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        instance: str,
        endpoint: data.Address | None,
    ) -> None:
        self._clock = clock
        self._log = log
        self.instance = instance
        self._endpoint = endpoint or data.Address('', 0)
        self._started_at_ms = int(clock.wall_s() * 1000)
        self._lock = threading.Lock()
        self._sequence = 0
        self._own_runs: dict[str, data.RunStatus] = {}
        self._peers: dict[str, _Peer] = {}
        #: What is to be told to the peers.
        self.outgoing = _outgoing.OutgoingChanges(clock)
        self._repeat_counter: RepeatCounter | None = None
        self._places = _run_places.RunPlaces()
        self._loss_listener: LossListener | None = None
        self._is_greeting = True
        self._has_listed = False
        self._change_meter = _rate_meter.RateMeter()

    def set_loss_listener(self, listener: LossListener) -> None:
        """Tell the listener of targets that peers found lost."""
        self._loss_listener = listener

    def note_run(self, notice: data.RunStatus) -> None:
        """Note a run of this instance that began, went on or ended."""
        with self._lock:
            if notice.has_ended:
                self._own_runs.pop(notice.attempt_id, None)
            else:
                self._own_runs[notice.attempt_id] = notice
            self._places.remember(notice, self._clock.monotonic_s())
            self.outgoing.add_run(notice)

    def note_run_end(self, notice: data.RunStatus) -> None:
        """Note that a run of this instance has ended at its engine."""
        self.note_run(dataclasses.replace(notice, has_ended=True))

    def note_lost_target(self, name: str) -> None:
        """Tell the peers of a target that this instance found lost."""
        with self._lock:
            self.outgoing.add_lost_target(name)

    def note_gone_target(self, name: str) -> None:
        """Tell the peers that another target has a target's address."""
        with self._lock:
            self.outgoing.add_gone_target(name)

    def set_repeat_counter(self, counter: RepeatCounter) -> None:
        """Tell the peers the counts of the counter."""
        self._repeat_counter = counter

    def peer_counts(self, service: str) -> data.RetryCounts:
        """Return the sums over all peers that are heard."""
        request_count = 0
        repeat_count = 0
        with self._lock:
            for peer in self._heard_peers().values():
                for counts in peer.counts:
                    if counts.service != service:
                        continue
                    request_count += counts.request_count
                    repeat_count += counts.retry_count
        return data.RetryCounts(service, request_count, repeat_count)

    def heard_share(self) -> float:
        """Return which part of the known instances is heard, with this."""
        heard_count = self.instance_count()
        with self._lock:
            return heard_count / (1 + len(self._peers))

    def add_peers(self, peers: tuple[data.ListedPeer, ...]) -> None:
        """Add instances that the store lists."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for listed in peers:
                if listed.instance == self.instance:
                    continue
                if listed.endpoint == self._endpoint:
                    continue
                held = self._peers.get(listed.instance)
                if held is None or held.sequence < 0:
                    self._peers[listed.instance] = _Peer(
                        listed.endpoint, heard_at_s=now_s
                    )
            self._is_greeting = True
            self._has_listed = True
            self.outgoing.wake()

    def receive(self, report: data.InstanceReport) -> None:
        """Take over a report of another instance."""
        if report.instance == self.instance:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            peer = self._peers.get(report.instance)
            is_new = peer is None
            if peer is None:
                peer = _Peer(report.endpoint)
                self._peers[report.instance] = peer
                self._is_greeting = True
                self.outgoing.wake()
            if report.started_at_ms != peer.started_at_ms:
                peer.started_at_ms = report.started_at_ms
                peer.sequence = -1
                peer.runs.clear()
            peer.endpoint = report.endpoint
            peer.heard_at_s = now_s
            if not report.is_full:
                self._change_meter.count(now_s)
            self._take_runs(peer, report)
            valid_s = SILENT_INTERVAL_COUNT * report.next_report_ms / 1000
            peer.valid_until_s = now_s + valid_s
        if is_new:
            self._log.record(
                _events.PeerKnown(report.instance, str(report.endpoint))
            )
        if self._loss_listener is None:
            return
        for name in report.lost_targets:
            self._loss_listener.report_suspicion(name)
        for name in report.replaced_targets:
            self._loss_listener.report_gone(name)

    def loads(self) -> dict[str, float]:
        """Return the weighted count of runs of each engine."""
        loads: dict[str, float] = {}
        with self._lock:
            for notice in self._own_runs.values():
                _run_places.add_load(loads, notice)
            for peer in self._heard_peers().values():
                for notice in peer.runs.values():
                    _run_places.add_load(loads, notice)
        return loads

    def find_place(self, subject: str) -> _run_places.RunPlace | None:
        """Return where a run with the same last part was last seen."""
        with self._lock:
            return self._places.find(subject, self._clock.monotonic_s())

    def instance_count(self) -> int:
        """Return the number of instances that were heard of lately."""
        with self._lock:
            return 1 + len(self._heard_peers())

    def expected_count(self) -> int:
        """Return the instances that are listed or were heard of, with this.

        0 before the store's list of instances is known: an instance that has
        just started cannot tell how many others there are.
        """
        with self._lock:
            return 1 + len(self._peers) if self._has_listed else 0

    def is_small(self, limit_count: int) -> bool:
        """Return whether the store listed at most so many instances."""
        with self._lock:
            return self._has_listed and len(self._peers) < limit_count

    def precedes(self, name: str) -> bool:
        """Return whether an instance comes before this one by rank."""
        return _order_key(name) < _order_key(self.instance)

    def rank(self) -> int:
        """Return the place of this instance in an order of all heard of."""
        with self._lock:
            heard = self._heard_peers()
        return sum(self.precedes(name) for name in heard)

    def leaders(self, count: int) -> dict[str, data.Address]:
        """Return the first instances in that order, with their endpoints.

        This instance may be among them.
        """
        endpoints = {self.instance: self._endpoint}
        with self._lock:
            for name, peer in self._heard_peers().items():
                endpoints[name] = peer.endpoint
        ranked = sorted(endpoints, key=_order_key)
        return {name: endpoints[name] for name in ranked[:count]}

    def report_interval_s(self) -> float:
        """Return the time between two full reports."""
        with self._lock:
            extra_s = REPORT_INTERVAL_PER_PEER_S * len(self._peers)
        return max(REPORT_INTERVAL_S, extra_s)

    def peer_count(self) -> int:
        """Return the number of known peers."""
        with self._lock:
            return len(self._peers)

    def change_rate(self) -> float:
        """Return how many changes of peers arrive in a second."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._change_meter.rate(now_s)

    def full_report(self) -> data.InstanceReport:
        """Return a report with all runs of this instance."""
        counts = self._own_counts()
        interval_s = self.report_interval_s()
        with self._lock:
            self.outgoing.take_runs()
            self._is_greeting = False
            return self._report(
                True, tuple(self._own_runs.values()), interval_s, counts
            )

    def change_report(self) -> data.InstanceReport | None:
        """Return a report of what changed since the last, or None."""
        counts = self._own_counts()
        interval_s = self.report_interval_s()
        with self._lock:
            if self._is_greeting or self.outgoing.is_empty():
                return None
            changed = self.outgoing.take_runs()
            return self._report(False, changed, interval_s, counts)

    def is_greeting(self) -> bool:
        """Return whether new peers wait for a full report."""
        with self._lock:
            return self._is_greeting

    def peers(self) -> tuple[data.Address, ...]:
        """Return where the peers receive reports, in random order."""
        oldest_s = self._clock.monotonic_s() - PEER_LIFETIME_S
        with self._lock:
            for name in list(self._peers):
                if self._peers[name].heard_at_s < oldest_s:
                    del self._peers[name]
            endpoints = [peer.endpoint for peer in self._peers.values()]
        random.shuffle(endpoints)
        return tuple(endpoints)

    def broadcast_order(self) -> tuple[data.Address, ...]:
        """Return where all peers receive messages, those heard of first."""
        heard: list[data.Address] = []
        others: list[data.Address] = []
        with self._lock:
            heard_peers = self._heard_peers()
            for name, peer in self._peers.items():
                group = heard if name in heard_peers else others
                group.append(peer.endpoint)
        random.shuffle(heard)
        return (*heard, *others)

    def _report(
        self,
        is_full: bool,
        runs: tuple[data.RunStatus, ...],
        interval_s: float,
        counts: tuple[data.RetryCounts, ...],
    ) -> data.InstanceReport:
        self._sequence += 1
        return data.InstanceReport(
            instance=self.instance,
            endpoint=self._endpoint,
            started_at_ms=self._started_at_ms,
            sequence=self._sequence,
            is_full=is_full,
            runs=runs,
            lost_targets=self.outgoing.take_lost_targets(),
            next_report_ms=int(interval_s * 1000),
            replaced_targets=self.outgoing.take_gone_targets(),
            counts=counts,
        )

    def _own_counts(self) -> tuple[data.RetryCounts, ...]:
        if self._repeat_counter is None:
            return ()
        return self._repeat_counter.counts()

    def _take_runs(self, peer: _Peer, report: data.InstanceReport) -> None:
        if report.sequence <= peer.sequence:
            return
        peer.sequence = report.sequence
        peer.counts = report.counts
        if report.is_full:
            peer.runs.clear()
        for notice in report.runs:
            if notice.has_ended:
                peer.runs.pop(notice.attempt_id, None)
            else:
                peer.runs[notice.attempt_id] = notice
            self._places.remember(notice, self._clock.monotonic_s())

    def _heard_peers(self) -> dict[str, _Peer]:
        """Return the peers that were heard of lately, by name."""
        now_s = self._clock.monotonic_s()
        heard = {}
        for name, peer in self._peers.items():
            if now_s <= peer.valid_until_s:
                heard[name] = peer
        return heard


def _order_key(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
