"""Whether a request with quarantined prompt parts may be sent."""

import collections
import dataclasses
from typing import Protocol

from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.forwarding import _quarantine_table
from skylarktack.coordination.ports import Clock

#: Number of recent requests from which the share of a part is estimated, and
#: the least number that allows an estimate.
RECENT_REQUEST_COUNT = 64
MIN_REQUEST_COUNT = 16

#: Shortest Retry-After of a refusal.
MIN_RETRY_AFTER_S = 1.0


class InstanceRank(Protocol):
    """Tells the order in which instances send probes."""

    def rank(self) -> int:
        """Return the rank of this instance among the live ones, from 0."""
        ...


@dataclasses.dataclass(frozen=True)
class AdmissionDecision:
    """What is decided on a request."""

    #: Why it must not be sent, or None.
    refusal: _quarantine_records.QuarantineRefusal | None

    #: The quarantine whose probe it is, or None.
    probe: _quarantine_records.Quarantine | None

    #: Parts whose quarantine has ended because no request named them.
    expired_part_ids: tuple[str, ...] = ()


class QuarantineAdmission:
    """Decides on requests by the quarantines of their parts.

    The owner of the table serialises the calls.
    """

    def __init__(
        self,
        clock: Clock,
        settings: _quarantine_records.QuarantineSettings,
        table: _quarantine_table.QuarantineTable,
        fleet: InstanceRank,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._table = table
        self._fleet = fleet
        self._recent_requests: collections.deque[tuple[str, ...]] = (
            collections.deque(maxlen=RECENT_REQUEST_COUNT)
        )

    def count_request(self, part_ids: tuple[str, ...]) -> None:
        """Count a new request in the shares of its parts."""
        self._recent_requests.append(part_ids)

    def is_in_most_requests(self, part_id: str) -> bool:
        """Return whether refusing a part would refuse nearly all requests."""
        request_count = len(self._recent_requests)
        if request_count < MIN_REQUEST_COUNT:
            return False
        count = 0
        for part_ids in self._recent_requests:
            count += part_id in part_ids
        return count > self._settings.max_request_share * request_count

    def decide(
        self, part_ids: tuple[str, ...], may_probe: bool
    ) -> AdmissionDecision:
        """Decide on a request; extend, end or probe its quarantines."""
        now_s = self._clock.monotonic_s()
        probe: _quarantine_records.Quarantine | None = None
        expired: list[str] = []
        for part_id in part_ids:
            quarantine = self._table.find(part_id)
            if quarantine is None:
                continue
            if quarantine.probe_count >= self._settings.max_probe_count:
                if now_s >= quarantine.until_s:
                    self._table.release(part_id, is_own_decision=True)
                    expired.append(part_id)
                    continue
                quarantine = self._table.extend(quarantine, now_s)
            elif may_probe and self._is_probe_due(quarantine, now_s):
                probe = self._table.claim_probe(quarantine, now_s)
                continue
            remaining_s = max(MIN_RETRY_AFTER_S, quarantine.until_s - now_s)
            refusal = _quarantine_records.QuarantineRefusal(
                part_id, round(remaining_s, 3)
            )
            return AdmissionDecision(refusal, None, tuple(expired))
        return AdmissionDecision(None, probe, tuple(expired))

    def _is_probe_due(
        self, quarantine: _quarantine_records.Quarantine, now_s: float
    ) -> bool:
        if now_s < quarantine.until_s:
            return False
        stagger_s = self._settings.probe_stagger_s * self._fleet.rank()
        return now_s >= quarantine.until_s + stagger_s
