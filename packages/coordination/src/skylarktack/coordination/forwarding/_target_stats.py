"""Statistics and suspicions of an instance about targets and domains."""

import dataclasses
import math

from skylarktack.state import forwarding as data

#: Weight of the newest sample in the moving averages of latency and errors.
SAMPLE_WEIGHT = 0.2

#: An average without a new sample for this time is no longer used.
SAMPLE_LIFETIME_S = 3.0

#: Latency that is assumed of a target without samples.
DEFAULT_LATENCY_MS = 25.0

#: Added to the expected latency of a target in another failure domain.
REMOTE_PENALTY_MS = 4.0

#: Increase of the expected latency, as a factor, at an error share of 1.
ERROR_PENALTY = 6.0

#: Age from which a reported load is no longer used.
LOAD_LIFETIME_S = 1.0

#: Number of lost targets within the time window that makes their failure
#: domain suspect: its other targets rank behind those of other domains.
DOMAIN_LOSS_COUNT = 2
DOMAIN_LOSS_WINDOW_S = 0.6

#: Time for which the targets of a suspect domain rank behind others unless
#: they respond, or too few others remain. The entry of a dead target stays in
#: the store for three heartbeats, or for as long as the store is unavailable.
DOMAIN_SUSPICION_S = 10.0


@dataclasses.dataclass
class TargetStats:
    """Statistics of this instance about one target."""

    #: Requests of this instance that are in progress at the target.
    in_flight_count: int = 0

    #: Moving averages over recent responses, and the time of the newest.
    latency_ms: float = 0.0
    error_share: float = 0.0
    sampled_at_s: float = -math.inf

    #: Failures since the last response, and the end of the ejection.
    failure_count: int = 0
    ejected_until_s: float = -math.inf

    #: Time at which another instance last reported the target as lost.
    suspected_at_s: float = -math.inf

    #: Times at which the target last responded and was first listed.
    last_seen_at_s: float = -math.inf
    listed_at_s: float = -math.inf

    #: Last load that the target reported, and the time of the report.
    load: data.TargetLoad | None = None
    load_at_s: float = -math.inf

    def record_latency(self, latency_ms: float, now_s: float) -> None:
        """Add the latency of a response to the moving average."""
        if now_s - self.sampled_at_s > SAMPLE_LIFETIME_S:
            self.latency_ms = latency_ms
            self.error_share = 0.0
        self.sampled_at_s = now_s
        self.latency_ms += SAMPLE_WEIGHT * (latency_ms - self.latency_ms)

    def record_response(self, is_error: bool) -> None:
        """Add a response to the moving average of the error share."""
        self.error_share += SAMPLE_WEIGHT * (
            float(is_error) - self.error_share
        )

    def request_count(self, now_s: float) -> int:
        """Return the known number of requests at the target.

        It is the reported load, or the requests of this instance if these
        are more or the report is too old.
        """
        age_s = now_s - self.load_at_s
        if self.load is None or age_s >= LOAD_LIFETIME_S:
            return self.in_flight_count
        reported = self.load.running_count + self.load.waiting_count
        return max(self.in_flight_count, reported)


def expected_latency_ms(
    stats: TargetStats,
    target: data.ListedTarget,
    failure_domain: str,
    now_s: float,
) -> float:
    """Return the expected latency of a call to the target.

    :param failure_domain: failure domain of the calling instance.
    """
    latency_ms = DEFAULT_LATENCY_MS
    error_share = 0.0
    if now_s - stats.sampled_at_s < SAMPLE_LIFETIME_S:
        latency_ms = stats.latency_ms
        error_share = stats.error_share
    slots = max(1, target.slot_count)
    expected = latency_ms * (1 + stats.request_count(now_s) / slots)
    expected *= 1 + ERROR_PENALTY * error_share
    if target.failure_domain != failure_domain:
        expected += REMOTE_PENALTY_MS
    return expected


class DomainSuspicions:
    """Tracks failure domains that recently lost several targets."""

    def __init__(self) -> None:
        self._losses: dict[tuple[str, str], dict[str, float]] = {}
        self._suspect_since_s: dict[tuple[str, str], float] = {}

    def record_loss(
        self, target: data.ListedTarget, stats: TargetStats, now_s: float
    ) -> None:
        """Record a lost target; its domain may become suspect.

        The loss of a target that is suspect already does not renew the
        suspicion: it may be found seconds after the failure, when other
        targets of the domain have been replaced.
        """
        if self.suspect_since_s(target, stats, now_s) is not None:
            return
        domain = (target.service, target.failure_domain)
        losses = self._losses.setdefault(domain, {})
        losses[target.name] = now_s
        for name, lost_at_s in list(losses.items()):
            if now_s - lost_at_s >= DOMAIN_LOSS_WINDOW_S:
                del losses[name]
        if len(losses) >= DOMAIN_LOSS_COUNT:
            self._suspect_since_s[domain] = now_s

    def suspect_since_s(
        self,
        target: data.ListedTarget,
        stats: TargetStats,
        now_s: float,
    ) -> float | None:
        """Return since when the target may have failed with its domain.

        None for a target that is not suspect: one that responded or was
        listed since then, or one whose domain has lost few targets.
        """
        domain = (target.service, target.failure_domain)
        since_s = self._suspect_since_s.get(domain)
        if since_s is None or now_s >= since_s + DOMAIN_SUSPICION_S:
            return None
        if max(stats.last_seen_at_s, stats.listed_at_s) > since_s:
            return None
        return since_s
