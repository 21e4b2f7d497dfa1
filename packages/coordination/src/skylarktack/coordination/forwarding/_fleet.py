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

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet_ports
from skylarktack.coordination.forwarding import _outgoing
from skylarktack.coordination.forwarding import _peer_table
from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _rate_meter
from skylarktack.coordination.forwarding import _report_builder
from skylarktack.coordination.forwarding import _run_placements
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Minimum time between two full reports to the same peer.
REPORT_INTERVAL_S = 1.0

#: The interval is at least this times the number of peers, which limits an
#: instance to sending and receiving 20 datagrams of full reports a second.
REPORT_INTERVAL_PER_PEER_S = 0.05

#: Time after the start for which loads may be missing. Engines keep copies of
#: runs that have ended for some seconds.
WARM_UP_S = 15.0


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
        self._started_at_s = clock.monotonic_s()
        self._lock = threading.Lock()
        self._own_runs: dict[str, data.RunStatus] = {}
        #: Changes that have not been reported to the peers yet.
        self.outgoing = _outgoing.OutgoingChanges(clock)
        self._reports = _report_builder.ReportBuilder(
            clock, instance, self._endpoint, self.outgoing
        )
        self._retry_counter: _fleet_ports.RetryCounter | None = None
        self._prompt_exchange: _fleet_ports.PromptEvidenceExchange | None = (
            None
        )
        self._configurations: _fleet_ports.ConfigurationVersions | None = None
        self._observations: _fleet_ports.ObservationExchange | None = None
        self._demands: _fleet_ports.DemandExchange | None = None
        self._placements = _run_placements.RunPlacements()
        self._peers = _peer_table.PeerTable(clock, self._placements)
        self._failure_listener: _fleet_ports.TargetFailureListener | None = (
            None
        )
        self._is_full_report_due = True
        self._first_listed_at_s: float | None = None
        self._change_meter = _rate_meter.RateMeter()

    def set_failure_listener(
        self, listener: _fleet_ports.TargetFailureListener
    ) -> None:
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
        with self._lock:
            self._reports.add_leaving_target(leaving)

    def set_retry_counter(self, counter: _fleet_ports.RetryCounter) -> None:
        """Set the counter whose counts are reported to the peers."""
        self._retry_counter = counter

    def set_prompt_exchange(
        self, exchange: _fleet_ports.PromptEvidenceExchange
    ) -> None:
        """Set what gives and receives the evidence about prompt parts."""
        self._prompt_exchange = exchange

    def set_configurations(
        self, versions: _fleet_ports.ConfigurationVersions
    ) -> None:
        """Set whose version is reported to the peers."""
        self._configurations = versions

    def set_observations(
        self, exchange: _fleet_ports.ObservationExchange
    ) -> None:
        """Set what gives and receives the observations of targets."""
        self._observations = exchange

    def set_demands(self, exchange: _fleet_ports.DemandExchange) -> None:
        """Set what gives and receives the demand of organisations."""
        self._demands = exchange

    def report_prompt_evidence(self) -> None:
        """Report new evidence about prompt parts at once."""
        with self._lock:
            self.outgoing.add_prompt_evidence()

    def report_observations(self) -> None:
        """Report what was seen of targets at once."""
        with self._lock:
            self.outgoing.add_observations()

    def report_demands(self) -> None:
        """Report the changed demand of organisations soon."""
        with self._lock:
            self.outgoing.add_demands()

    def peer_counts(self, service: str) -> data.RetryCounts:
        """Return the sums of a service's counts over all live peers."""
        with self._lock:
            return self._peers.retry_counts(service)

    def live_share(self) -> float:
        """Return the share of the known instances that is live."""
        live_count = self.instance_count()
        with self._lock:
            return live_count / (1 + len(self._peers.by_name))

    def established_share(self, age_s: float) -> float:
        """Return the share of the live instances that have the given age."""
        began_before_s = self._clock.monotonic_s() - age_s
        established_count = int(self._started_at_s <= began_before_s)
        with self._lock:
            live = self._peers.live().values()
            for peer in live:
                established_count += peer.started_at_s <= began_before_s
            return established_count / (1 + len(live))

    def add_peers(self, peers: tuple[data.ListedPeer, ...]) -> None:
        """Add the instances that the store lists."""
        with self._lock:
            for listed in peers:
                if listed.instance == self.instance:
                    continue
                if listed.endpoint == self._endpoint:
                    continue
                self._peers.add(listed)
            self._is_full_report_due = True
            if self._first_listed_at_s is None:
                self._first_listed_at_s = self._clock.monotonic_s()
            self.outgoing.wake()

    def receive(self, report: data.InstanceReport) -> None:
        """Apply a report of another instance."""
        if report.instance == self.instance:
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_new = self._peers.apply(report)
            if is_new:
                self._is_full_report_due = True
                self.outgoing.wake()
            if not report.is_full:
                self._change_meter.count(now_s)
        if is_new:
            self._log.record(
                _events.PeerDiscovered(report.instance, str(report.endpoint))
            )
        if self._prompt_exchange is not None:
            self._prompt_exchange.receive(report.prompt_evidence)
        if self._configurations is not None:
            self._configurations.record_peer_version(
                report.configuration_version
            )
        if self._observations is not None:
            self._observations.receive(report.observations)
        if self._demands is not None:
            self._demands.receive(report.instance, report.demands)
        if self._failure_listener is None:
            return
        for name in report.lost_targets:
            self._failure_listener.report_suspicion(name)
        for name in report.replaced_targets:
            self._failure_listener.report_replaced(name)
        for leaving in report.leaving_targets:
            self._failure_listener.report_leaving(leaving)
        if report.is_full:
            return
        for run in report.runs:
            if not run.is_prefilling and not run.has_ended:
                self._failure_listener.report_output(run.engine)

    def is_warming_up(self) -> bool:
        """Return whether this instance started a short time ago.

        It may then not know of all runs and copies, least of all of those
        that instances left at the engines when they were killed.
        """
        return self._clock.monotonic_s() < self._started_at_s + WARM_UP_S

    def loads(self) -> dict[str, _placement.EngineLoad]:
        """Return the load of each engine that has a run or a copy."""
        loads: dict[str, _placement.EngineLoad] = {}
        with self._lock:
            for run in self._own_runs.values():
                _run_placements.add_load(loads, run)
            self._peers.add_loads(loads)
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
            return 1 + len(self._peers.live())

    def expected_count(self) -> int:
        """Return the number of known instances, live or not, with this one.

        It is 0 before the store's list of instances is known: an instance
        that has just started cannot tell how many others there are.
        """
        with self._lock:
            if self._first_listed_at_s is None:
                return 0
            return 1 + len(self._peers.by_name)

    def first_listed_at_s(self) -> float | None:
        """Return the monotonic time of the first list of instances."""
        with self._lock:
            return self._first_listed_at_s

    def is_small(self, limit_count: int) -> bool:
        """Return whether the fleet is known to have few instances.

        :param limit_count: maximum number of instances, with this one.
        """
        with self._lock:
            if self._first_listed_at_s is None:
                return False
            return len(self._peers.by_name) < limit_count

    def ranked_names(self) -> frozenset[str]:
        """Return the live instances, or all known ones if few are live.

        This instance is among them. While reports do not arrive, as after a
        start, each instance would else be the first of the few that it hears.
        """
        with self._lock:
            live = self._peers.live()
            is_cut_off = 2 * len(live) < len(self._peers.by_name)
            others = self._peers.by_name if is_cut_off else live
            return frozenset((self.instance, *others))

    def is_outranked_by(self, name: str) -> bool:
        """Return whether an instance has a lower rank than this one."""
        return _order_key(name) < _order_key(self.instance)

    def rank(self) -> int:
        """Return the rank of this instance among the live ones, from 0.

        The order of the ranks is the same at all instances.
        """
        with self._lock:
            live = self._peers.live()
        return sum(self.is_outranked_by(name) for name in live)

    def leaders(self, count: int) -> dict[str, data.Address]:
        """Return the live instances of the lowest ranks by name.

        This instance may be among them.
        """
        endpoints = {self.instance: self._endpoint}
        with self._lock:
            for name, peer in self._peers.live().items():
                endpoints[name] = peer.endpoint
        ranked = sorted(endpoints, key=_order_key)
        return {name: endpoints[name] for name in ranked[:count]}

    def report_interval_s(self) -> float:
        """Return the time between two full reports."""
        with self._lock:
            extra_s = REPORT_INTERVAL_PER_PEER_S * len(self._peers.by_name)
        return max(REPORT_INTERVAL_S, extra_s)

    def peer_count(self) -> int:
        """Return the number of known peers, live or not."""
        with self._lock:
            return len(self._peers.by_name)

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
            self.outgoing.clear_demands()
            report = self._reports.build(
                True, tuple(self._own_runs.values()), interval_s, counts
            )
        return self._with_exchanges(report)

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
            self.outgoing.clear_demands()
            report = self._reports.build(False, changed, interval_s, counts)
        return self._with_exchanges(report)

    def is_full_report_due(self) -> bool:
        """Return whether new peers wait for a full report."""
        with self._lock:
            return self._is_full_report_due

    def peers(self) -> tuple[data.Address, ...]:
        """Return the endpoints of all peers in random order.

        Expired peers are removed first.
        """
        with self._lock:
            self._peers.remove_expired()
            endpoints = [
                peer.endpoint for peer in self._peers.by_name.values()
            ]
        random.shuffle(endpoints)
        return tuple(endpoints)

    def broadcast_order(self) -> tuple[data.Address, ...]:
        """Return the endpoints of all peers, those of live ones first."""
        live: list[data.Address] = []
        others: list[data.Address] = []
        with self._lock:
            live_peers = self._peers.live()
            for name, peer in self._peers.by_name.items():
                group = live if name in live_peers else others
                group.append(peer.endpoint)
        random.shuffle(live)
        return (*live, *others)

    def _with_exchanges(
        self, report: data.InstanceReport
    ) -> data.InstanceReport:
        """Add what other parts tell the peers."""
        version = 0
        if self._configurations is not None:
            version = self._configurations.version
        evidence = data.PromptEvidence()
        if self._prompt_exchange is not None:
            evidence = self._prompt_exchange.evidence(report.is_full)
        observations: tuple[data.TargetObservation, ...] = ()
        if self._observations is not None:
            self.outgoing.clear_observations()
            observations = self._observations.take()
        demands: tuple[data.ServiceDemand, ...] = ()
        if self._demands is not None:
            demands = self._demands.demands()
        return dataclasses.replace(
            report,
            prompt_evidence=evidence,
            configuration_version=version,
            observations=observations,
            demands=demands,
        )

    def _own_counts(self) -> tuple[data.RetryCounts, ...]:
        if self._retry_counter is None:
            return ()
        return self._retry_counter.counts()


def _order_key(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
