"""The other instances of the fleet, and what each last reported."""

import dataclasses

from skylarktack.coordination.forwarding import _placement
from skylarktack.coordination.forwarding import _run_placements
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: A peer is live until it has sent no report for this number of its intervals.
LIVENESS_INTERVAL_COUNT = 2.5

#: A peer that has sent no report for this time is removed.
PEER_LIFETIME_S = 120.0


@dataclasses.dataclass
class Peer:
    """Another instance; updated with each of its reports."""

    endpoint: data.Address
    started_at_ms: int = 0
    #: Monotonic time of the start, as far as the wall clocks agree.
    started_at_s: float = 0.0
    #: Sequence number of the last report, or -1 before the first.
    sequence: int = -1
    #: Monotonic time of the last report or, before it, of the listing.
    last_seen_at_s: float = 0.0
    live_until_s: float = 0.0
    runs: dict[str, data.RunStatus] = dataclasses.field(default_factory=dict)
    counts: tuple[data.RetryCounts, ...] = ()


class PeerTable:
    """Peers by name; the owner serialises the calls."""

    def __init__(
        self, clock: Clock, placements: _run_placements.RunPlacements
    ) -> None:
        """Create an empty table.

        :param placements: where the runs of peers are recorded.
        """
        self._clock = clock
        self._placements = placements
        self.by_name: dict[str, Peer] = {}

    def add(self, listed: data.ListedPeer) -> None:
        """Add a listed peer, unless it has reported itself."""
        known = self.by_name.get(listed.instance)
        if known is None or known.sequence < 0:
            self.by_name[listed.instance] = Peer(
                listed.endpoint, last_seen_at_s=self._clock.monotonic_s()
            )

    def apply(self, report: data.InstanceReport) -> bool:
        """Apply a report; return whether its sender is new."""
        now_s = self._clock.monotonic_s()
        peer = self.by_name.get(report.instance)
        is_new = peer is None
        if peer is None:
            peer = Peer(report.endpoint)
            self.by_name[report.instance] = peer
        if report.started_at_ms != peer.started_at_ms:
            peer.started_at_ms = report.started_at_ms
            age_s = self._clock.wall_s() - report.started_at_ms / 1000
            peer.started_at_s = now_s - max(0.0, age_s)
            peer.sequence = -1
            peer.runs.clear()
        peer.endpoint = report.endpoint
        peer.last_seen_at_s = now_s
        self._apply_runs(peer, report)
        valid_s = LIVENESS_INTERVAL_COUNT * report.next_report_ms / 1000
        peer.live_until_s = now_s + valid_s
        return is_new

    def live(self) -> dict[str, Peer]:
        """Return the peers whose last report is still valid, by name."""
        now_s = self._clock.monotonic_s()
        live = {}
        for name, peer in self.by_name.items():
            if now_s <= peer.live_until_s:
                live[name] = peer
        return live

    def remove_expired(self) -> None:
        """Remove the peers that have sent no report for their lifetime."""
        expired_before_s = self._clock.monotonic_s() - PEER_LIFETIME_S
        for name in list(self.by_name):
            if self.by_name[name].last_seen_at_s < expired_before_s:
                del self.by_name[name]

    def retry_counts(self, service: str) -> data.RetryCounts:
        """Return the sums of a service's counts over all live peers."""
        request_count = 0
        retry_count = 0
        for peer in self.live().values():
            for counts in peer.counts:
                if counts.service != service:
                    continue
                request_count += counts.request_count
                retry_count += counts.retry_count
        return data.RetryCounts(service, request_count, retry_count)

    def add_loads(self, loads: dict[str, _placement.EngineLoad]) -> None:
        """Add the runs and copies of all live peers to the loads."""
        for peer in self.live().values():
            for run in peer.runs.values():
                _run_placements.add_load(loads, run)

    def _apply_runs(self, peer: Peer, report: data.InstanceReport) -> None:
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
