"""What an instance has seen of targets and of their failure domains."""

import dataclasses
import math

from skylarktack.state import forwarding as data

#: Weight of the newest sample in the means of latency and errors.
SAMPLE_WEIGHT = 0.2

#: A mean without a new sample for this time no longer counts.
SAMPLE_LIFETIME_S = 3.0

#: Latency that is assumed of a target without samples.
DEFAULT_LATENCY_MS = 25.0

#: Disadvantage of a target in another failure domain.
REMOTE_PENALTY_MS = 4.0

#: Factor on the expected latency of a target whose answers are all errors.
ERROR_PENALTY = 6.0

#: Age at which a reported load no longer counts.
LOAD_LIFETIME_S = 1.0

#: Failed targets of one failure domain within this time that put the other
#: targets of the domain behind those of other domains.
DOMAIN_LOSS_COUNT = 2
DOMAIN_LOSS_WINDOW_S = 0.6

#: Time for which targets of a domain that lost several stay behind the
#: others unless they are heard. The entry of a dead target stays for three
#: heartbeats, or for as long as the store is away.
DOMAIN_DOUBT_S = 10.0


@dataclasses.dataclass
class TargetStats:
    """What this instance has seen of one target."""

    #: Requests of this instance in progress.
    in_flight_count: int = 0

    #: Means over recent answers, and the time of the newest.
    latency_ms: float = 0.0
    error_share: float = 0.0
    sampled_at_s: float = -math.inf

    #: Failures since the last answer, and until when it is passed over.
    failure_count: int = 0
    ejected_until_s: float = -math.inf

    #: When another instance found it lost.
    suspected_at_s: float = -math.inf

    #: When it last showed that it is alive, and when it was first listed.
    last_seen_at_s: float = -math.inf
    listed_at_s: float = -math.inf

    #: Load that it reported, and when.
    load: data.TargetLoad | None = None
    load_at_s: float = -math.inf

    def record_latency(self, latency_ms: float, now_s: float) -> None:
        """Take the latency of an answer into the mean."""
        if now_s - self.sampled_at_s > SAMPLE_LIFETIME_S:
            self.latency_ms = latency_ms
            self.error_share = 0.0
        self.sampled_at_s = now_s
        self.latency_ms += SAMPLE_WEIGHT * (latency_ms - self.latency_ms)

    def record_response(self, is_error: bool) -> None:
        """Take an answer into the share of errors."""
        self.error_share += SAMPLE_WEIGHT * (
            float(is_error) - self.error_share
        )

    def busy_count(self, now_s: float) -> int:
        """Return the requests at the target, as far as known."""
        age_s = now_s - self.load_at_s
        if self.load is None or age_s >= LOAD_LIFETIME_S:
            return self.in_flight_count
        reported = self.load.running_count + self.load.waiting_count
        return max(self.in_flight_count, reported)


def expected_latency_ms(
    evidence: TargetStats,
    target: data.ListedTarget,
    failure_domain: str,
    now_s: float,
) -> float:
    """Return how long a call to the target is expected to take.

    :param failure_domain: where the call comes from.
    """
    latency_ms = DEFAULT_LATENCY_MS
    error_share = 0.0
    if now_s - evidence.sampled_at_s < SAMPLE_LIFETIME_S:
        latency_ms = evidence.latency_ms
        error_share = evidence.error_share
    slots = max(1, target.slot_count)
    expected = latency_ms * (1 + evidence.busy_count(now_s) / slots)
    expected *= 1 + ERROR_PENALTY * error_share
    if target.failure_domain != failure_domain:
        expected += REMOTE_PENALTY_MS
    return expected


class DomainSuspicions:
    """Failure domains that lost several targets a moment ago."""

    def __init__(self) -> None:
        self._losses: dict[tuple[str, str], dict[str, float]] = {}
        self._since_s: dict[tuple[str, str], float] = {}

    def record_loss(self, target: data.ListedTarget, now_s: float) -> None:
        """Note that a target of a domain was lost."""
        domain = (target.service, target.failure_domain)
        losses = self._losses.setdefault(domain, {})
        losses[target.name] = now_s
        for name, lost_at_s in list(losses.items()):
            if now_s - lost_at_s >= DOMAIN_LOSS_WINDOW_S:
                del losses[name]
        if len(losses) >= DOMAIN_LOSS_COUNT:
            self._since_s[domain] = now_s

    def is_suspect(
        self,
        target: data.ListedTarget,
        evidence: TargetStats,
        now_s: float,
    ) -> bool:
        """Return whether the target may have died with its domain."""
        domain = (target.service, target.failure_domain)
        since_s = self._since_s.get(domain)
        if since_s is None or now_s >= since_s + DOMAIN_DOUBT_S:
            return False
        return max(evidence.last_seen_at_s, evidence.listed_at_s) <= since_s
