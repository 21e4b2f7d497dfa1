"""The runs of all instances of the fleet, as reported by each.

Many instances select among the same engines. Each reports to the others the
runs that it started and the targets that it found failed, so that selection
is based on loads that are milliseconds old. The next full report makes up for
a report that was lost.
"""

import dataclasses
import hashlib
import random
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _outgoing
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _rate_meter
from skylarktack.coordination.forwarding import _run_placements
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Minimum time between two full reports to the same peer.
REPORT_INTERVAL_S = 1.0

#: The interval is at least this times the number of peers, which limits an
#: instance to sending and receiving 20 datagrams of full reports a second.
REPORT_INTERVAL_PER_PEER_S = 0.05

#: A peer is live until it has sent no report for this number of its intervals.
LIVENESS_INTERVAL_COUNT = 2.5

#: Time for which full reports repeat that a target is leaving.
LEAVING_REPEAT_S = 30.0

#: Time after the start for which loads may be missing. Engines keep copies of
#: runs that have ended for some seconds.
WARM_UP_S = 15.0

#: A peer that has sent no report for this time is removed.
PEER_LIFETIME_S = 120.0


class TargetFailureListener(Protocol):
    """Receives what peers report about failed targets."""

    def report_suspicion(self, name: str) -> None:
        """Handle the report that a target failed."""
        ...

    def report_replaced(self, name: str) -> None:
        """Handle the report that another target has a target's address."""
        ...

    def report_leaving(self, leaving: data.LeavingTarget) -> None:
        """Handle the report that a target is about to stop."""
        ...


class PromptEvidenceExchange(Protocol):
    """Gives and receives evidence about prompt parts."""

    def evidence(self, is_full: bool) -> data.PromptEvidence:
        """Return the evidence for a report.

        :param is_full: whether recent evidence is repeated.
        """
        ...

    def receive(self, evidence: data.PromptEvidence) -> None:
        """Apply the evidence of another instance."""
        ...


class RetryCounter(Protocol):
    """Counts requests and retries of this instance."""

    def counts(self) -> tuple[data.RetryCounts, ...]:
        """Return the counts to report to the peers."""
        ...


@dataclasses.dataclass
class _Peer:
    endpoint: data.Address
    started_at_ms: int = 0
    #: Sequence number of the last report, or -1 before the first.
    sequence: int = -1
    #: Monotonic time of the last report or, before it, of the listing.
    last_seen_at_s: float = 0.0
    live_until_s: float = 0.0
    runs: dict[str, data.RunStatus] = dataclasses.field(default_factory=dict)
    counts: tuple[data.RetryCounts, ...] = ()


class FleetView:
    """The live instances of the fleet and the runs that they reported."""

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
        self._warm_at_s = clock.monotonic_s() + WARM_UP_S
        self._lock = threading.Lock()
        self._sequence = 0
        self._own_runs: dict[str, data.RunStatus] = {}
        self._peers: dict[str, _Peer] = {}
        #: Changes that have not been reported to the peers yet.
        self.outgoing = _outgoing.OutgoingChanges(clock)
        self._retry_counter: RetryCounter | None = None
        self._prompt_exchange: PromptEvidenceExchange | None = None
        self._placements = _run_placements.RunPlacements()
        self._failure_listener: TargetFailureListener | None = None
        self._is_full_report_due = True
        self._has_listed = False
        self._change_meter = _rate_meter.RateMeter()
        #: Leaving targets, and until when full reports repeat each.
        self._leaving: dict[data.LeavingTarget, float] = {}

    def set_failure_listener(self, listener: TargetFailureListener) -> None:
        """Set the listener for failed targets that peers report."""
        self._failure_listener = listener

    def record_run(self, run: data.RunStatus) -> None:
        """Record that a run of this instance began, changed or ended."""
        with self._lock:
            if run.has_ended:
                self._own_runs.pop(run.attempt_id, None)
            else:
                self._own_runs[run.attempt_id] = run
            self._placements.record(run, self._clock.monotonic_s())
            self.outgoing.add_run(run)

    def record_run_end(self, run: data.RunStatus) -> None:
        """Record that a run of this instance has ended at its engine."""
        self.record_run(dataclasses.replace(run, has_ended=True))

    def record_failed_target(self, name: str) -> None:
        """Report to the peers that a target failed."""
        with self._lock:
            self.outgoing.add_failed_target(name)

    def record_replaced_target(self, name: str) -> None:
        """Report to the peers that another target has a target's address."""
        with self._lock:
            self.outgoing.add_replaced_target(name)

    def record_leaving_target(self, leaving: data.LeavingTarget) -> None:
        """Report to the peers that a target is about to stop.

        Full reports repeat it for a while, since a datagram may be lost.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._leaving[leaving] = now_s + LEAVING_REPEAT_S
            self.outgoing.add_leaving_target(leaving)

    def set_retry_counter(self, counter: RetryCounter) -> None:
        """Set the counter whose counts are reported to the peers."""
        self._retry_counter = counter

    def set_prompt_exchange(self, exchange: PromptEvidenceExchange) -> None:
        """Set what gives and receives the evidence about prompt parts."""
        self._prompt_exchange = exchange

    def report_prompt_evidence(self) -> None:
        """Report new evidence about prompt parts at once."""
        with self._lock:
            self.outgoing.add_prompt_evidence()

    def peer_counts(self, service: str) -> data.RetryCounts:
        """Return the sums of a service's counts over all live peers."""
        request_count = 0
        retry_count = 0
        with self._lock:
            for peer in self._live_peers().values():
                for counts in peer.counts:
                    if counts.service != service:
                        continue
                    request_count += counts.request_count
                    retry_count += counts.retry_count
        return data.RetryCounts(service, request_count, retry_count)

    def live_share(self) -> float:
        """Return the share of the known instances that is live."""
        live_count = self.instance_count()
        with self._lock:
            return live_count / (1 + len(self._peers))

    def add_peers(self, peers: tuple[data.ListedPeer, ...]) -> None:
        """Add the instances that the store lists."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            for listed in peers:
                if listed.instance == self.instance:
                    continue
                if listed.endpoint == self._endpoint:
                    continue
                known = self._peers.get(listed.instance)
                if known is None or known.sequence < 0:
                    self._peers[listed.instance] = _Peer(
                        listed.endpoint, last_seen_at_s=now_s
                    )
            self._is_full_report_due = True
            self._has_listed = True
            self.outgoing.wake()

    def receive(self, report: data.InstanceReport) -> None:
        """Apply a report of another instance."""
        if report.instance == self.instance:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            peer = self._peers.get(report.instance)
            is_new = peer is None
            if peer is None:
                peer = _Peer(report.endpoint)
                self._peers[report.instance] = peer
                self._is_full_report_due = True
                self.outgoing.wake()
            if report.started_at_ms != peer.started_at_ms:
                peer.started_at_ms = report.started_at_ms
                peer.sequence = -1
                peer.runs.clear()
            peer.endpoint = report.endpoint
            peer.last_seen_at_s = now_s
            if not report.is_full:
                self._change_meter.count(now_s)
            self._apply_runs(peer, report)
            valid_s = LIVENESS_INTERVAL_COUNT * report.next_report_ms / 1000
            peer.live_until_s = now_s + valid_s
        if is_new:
            self._log.record(
                _events.PeerDiscovered(report.instance, str(report.endpoint))
            )
        if self._prompt_exchange is not None:
            self._prompt_exchange.receive(report.prompt_evidence)
        if self._failure_listener is None:
            return
        for name in report.lost_targets:
            self._failure_listener.report_suspicion(name)
        for name in report.replaced_targets:
            self._failure_listener.report_replaced(name)
        for leaving in report.leaving_targets:
            self._failure_listener.report_leaving(leaving)

    def is_warming_up(self) -> bool:
        """Return whether this instance started a short time ago.

        It may then not know of all runs and copies, least of all of those
        that instances left at the engines when they were killed.
        """
        return self._clock.monotonic_s() < self._warm_at_s

    def loads(self) -> dict[str, _placement.EngineLoad]:
        """Return the load of each engine that has a run or a copy."""
        loads: dict[str, _placement.EngineLoad] = {}
        with self._lock:
            for run in self._own_runs.values():
                _run_placements.add_load(loads, run)
            for peer in self._live_peers().values():
                for run in peer.runs.values():
                    _run_placements.add_load(loads, run)
        return loads

    def find_placement(
        self, affinity_key: str
    ) -> _run_placements.RunPlacement | None:
        """Return where a run with the same last prompt part was last seen."""
        with self._lock:
            return self._placements.find(
                affinity_key, self._clock.monotonic_s()
            )

    def instance_count(self) -> int:
        """Return the number of live instances, with this one."""
        with self._lock:
            return 1 + len(self._live_peers())

    def expected_count(self) -> int:
        """Return the number of known instances, live or not, with this one.

        It is 0 before the store's list of instances is known: an instance
        that has just started cannot tell how many others there are.
        """
        with self._lock:
            return 1 + len(self._peers) if self._has_listed else 0

    def is_small(self, limit_count: int) -> bool:
        """Return whether the fleet is known to have few instances.

        :param limit_count: maximum number of instances, with this one.
        """
        with self._lock:
            return self._has_listed and len(self._peers) < limit_count

    def is_outranked_by(self, name: str) -> bool:
        """Return whether an instance has a lower rank than this one."""
        return _order_key(name) < _order_key(self.instance)

    def rank(self) -> int:
        """Return the rank of this instance among the live ones, from 0.

        The order of the ranks is the same at all instances.
        """
        with self._lock:
            live = self._live_peers()
        return sum(self.is_outranked_by(name) for name in live)

    def leaders(self, count: int) -> dict[str, data.Address]:
        """Return the live instances of the lowest ranks by name.

        This instance may be among them.
        """
        endpoints = {self.instance: self._endpoint}
        with self._lock:
            for name, peer in self._live_peers().items():
                endpoints[name] = peer.endpoint
        ranked = sorted(endpoints, key=_order_key)
        return {name: endpoints[name] for name in ranked[:count]}

    def report_interval_s(self) -> float:
        """Return the time between two full reports."""
        with self._lock:
            extra_s = REPORT_INTERVAL_PER_PEER_S * len(self._peers)
        return max(REPORT_INTERVAL_S, extra_s)

    def peer_count(self) -> int:
        """Return the number of known peers, live or not."""
        with self._lock:
            return len(self._peers)

    def change_rate(self) -> float:
        """Return how many change reports of peers arrive each second."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            return self._change_meter.rate(now_s)

    def full_report(self) -> data.InstanceReport:
        """Return a report with all runs of this instance."""
        counts = self._own_counts()
        interval_s = self.report_interval_s()
        with self._lock:
            self.outgoing.take_runs()
            self._is_full_report_due = False
            self.outgoing.clear_prompt_evidence()
            report = self._report(
                True, tuple(self._own_runs.values()), interval_s, counts
            )
        return self._with_prompt_evidence(report)

    def change_report(self) -> data.InstanceReport | None:
        """Return a report of the changes since the last one, or None.

        There is none while peers wait for a full report.
        """
        counts = self._own_counts()
        interval_s = self.report_interval_s()
        with self._lock:
            if self._is_full_report_due or self.outgoing.is_empty():
                return None
            changed = self.outgoing.take_runs()
            self.outgoing.clear_prompt_evidence()
            report = self._report(False, changed, interval_s, counts)
        return self._with_prompt_evidence(report)

    def is_full_report_due(self) -> bool:
        """Return whether new peers wait for a full report."""
        with self._lock:
            return self._is_full_report_due

    def peers(self) -> tuple[data.Address, ...]:
        """Return the endpoints of all peers in random order.

        Peers that have been silent for too long are removed first.
        """
        expired_before_s = self._clock.monotonic_s() - PEER_LIFETIME_S
        with self._lock:
            for name in list(self._peers):
                if self._peers[name].last_seen_at_s < expired_before_s:
                    del self._peers[name]
            endpoints = [peer.endpoint for peer in self._peers.values()]
        random.shuffle(endpoints)
        return tuple(endpoints)

    def broadcast_order(self) -> tuple[data.Address, ...]:
        """Return the endpoints of all peers, those of live ones first."""
        live: list[data.Address] = []
        others: list[data.Address] = []
        with self._lock:
            live_peers = self._live_peers()
            for name, peer in self._peers.items():
                group = live if name in live_peers else others
                group.append(peer.endpoint)
        random.shuffle(live)
        return (*live, *others)

    def _report(
        self,
        is_full: bool,
        runs: tuple[data.RunStatus, ...],
        interval_s: float,
        counts: tuple[data.RetryCounts, ...],
    ) -> data.InstanceReport:
        self._sequence += 1
        leaving = self.outgoing.take_leaving_targets()
        if is_full:
            leaving = self._repeated_leaving()
        return data.InstanceReport(
            instance=self.instance,
            endpoint=self._endpoint,
            started_at_ms=self._started_at_ms,
            sequence=self._sequence,
            is_full=is_full,
            runs=runs,
            lost_targets=self.outgoing.take_failed_targets(),
            next_report_ms=int(interval_s * 1000),
            replaced_targets=self.outgoing.take_replaced_targets(),
            counts=counts,
            leaving_targets=leaving,
        )

    def _with_prompt_evidence(
        self, report: data.InstanceReport
    ) -> data.InstanceReport:
        if self._prompt_exchange is None:
            return report
        return dataclasses.replace(
            report,
            prompt_evidence=self._prompt_exchange.evidence(report.is_full),
        )

    def _repeated_leaving(self) -> tuple[data.LeavingTarget, ...]:
        now_s = self._clock.monotonic_s()
        for leaving, until_s in list(self._leaving.items()):
            if now_s >= until_s:
                del self._leaving[leaving]
        return tuple(self._leaving)

    def _own_counts(self) -> tuple[data.RetryCounts, ...]:
        if self._retry_counter is None:
            return ()
        return self._retry_counter.counts()

    def _apply_runs(self, peer: _Peer, report: data.InstanceReport) -> None:
        if report.sequence <= peer.sequence:
            return
        peer.sequence = report.sequence
        peer.counts = report.counts
        if report.is_full:
            peer.runs.clear()
        for run in report.runs:
            if run.has_ended:
                peer.runs.pop(run.attempt_id, None)
            else:
                peer.runs[run.attempt_id] = run
            self._placements.record(run, self._clock.monotonic_s())

    def _live_peers(self) -> dict[str, _Peer]:
        """Return the peers whose last report is still valid, by name."""
        now_s = self._clock.monotonic_s()
        live = {}
        for name, peer in self._peers.items():
            if now_s <= peer.live_until_s:
                live[name] = peer
        return live


def _order_key(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
