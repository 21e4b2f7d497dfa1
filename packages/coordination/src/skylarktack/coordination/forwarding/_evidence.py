"""What an instance has seen of targets and of their failure domains."""

import dataclasses
import math

from skylarktack.state import forwarding as data

#: Failed targets of one failure domain within this time that put the other
#: targets of the domain behind those of other domains.
DOMAIN_LOSS_COUNT = 2
DOMAIN_LOSS_WINDOW_S = 0.6

#: Time for which targets of a domain that lost several stay behind the
#: others unless they are heard. The entry of a dead target stays for three
#: heartbeats, or for as long as the store is away.
DOMAIN_DOUBT_S = 10.0


@dataclasses.dataclass
class TargetEvidence:
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
    rumoured_at_s: float = -math.inf

    #: When it last showed that it is alive, and when it was first listed.
    heard_at_s: float = -math.inf
    known_at_s: float = -math.inf

    #: Load that it reported, and when.
    load: data.TargetLoad | None = None
    load_at_s: float = -math.inf


class DomainDoubts:
    """Failure domains that lost several targets a moment ago."""

    def __init__(self) -> None:
        self._losses: dict[tuple[str, str], dict[str, float]] = {}
        self._since_s: dict[tuple[str, str], float] = {}

    def count_loss(self, target: data.ListedTarget, now_s: float) -> None:
        """Note that a target of a domain was lost."""
        domain = (target.service, target.failure_domain)
        losses = self._losses.setdefault(domain, {})
        losses[target.name] = now_s
        for name, lost_at_s in list(losses.items()):
            if now_s - lost_at_s >= DOMAIN_LOSS_WINDOW_S:
                del losses[name]
        if len(losses) >= DOMAIN_LOSS_COUNT:
            self._since_s[domain] = now_s

    def is_doubtful(
        self,
        target: data.ListedTarget,
        evidence: TargetEvidence,
        now_s: float,
    ) -> bool:
        """Return whether the target may have died with its domain."""
        domain = (target.service, target.failure_domain)
        since_s = self._since_s.get(domain)
        if since_s is None or now_s >= since_s + DOMAIN_DOUBT_S:
            return False
        return max(evidence.heard_at_s, evidence.known_at_s) <= since_s
