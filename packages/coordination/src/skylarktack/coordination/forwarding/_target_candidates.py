"""Which targets of a service a request may be sent to."""

import dataclasses

from skylarktack.coordination.forwarding import _target_exclusions
from skylarktack.coordination.forwarding import _target_ramp
from skylarktack.coordination.forwarding import _target_records
from skylarktack.coordination.forwarding import _version_rules
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Minimum share of the targets that are not ejected which remains when
#: suspect ones are passed over. Where domains fail one after the other, the
#: few targets that nothing is suspected of would get the work of all.
MIN_REMAINING_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class _Suspect:
    """A target that may have failed with its domain."""

    since_s: float

    target: data.ListedTarget


class TargetCandidates:
    """Filters targets by version, exclusion, ejection and suspicion.

    The owner of the records serialises the calls.
    """

    def __init__(
        self,
        clock: Clock,
        records: _target_records.TargetRecords,
        exclusions: _target_exclusions.TargetExclusions,
        ramps: _target_ramp.TargetRamps,
    ) -> None:
        self._clock = clock
        self._records = records
        self._exclusions = exclusions
        self._ramps = ramps

    def usable(
        self,
        service: str,
        excluded: frozenset[str],
        rule: _version_rules.VersionRule,
    ) -> list[data.ListedTarget]:
        """Return the best targets of a service, empty if there is none.

        Healthy targets come first, those of the preferred version before
        others. Suspect ones are passed over while enough others remain, and
        ramping ones while another one of the same choice is free; ejected
        ones are returned only without any.
        """
        now_s = self._clock.monotonic_s()
        self._records.remove_expired()
        rule = self._apply_last_resort(service, rule)
        healthy = []
        suspect: list[_Suspect] = []
        ejected = []
        for target in self._records.by_name.values():
            if target.name in excluded:
                continue
            if not self._may_use(target, service, rule):
                continue
            if now_s < self._exclusions.pause_end_s(target):
                continue
            if self._records.is_ejected(target, now_s):
                ejected.append(target)
                continue
            since_s = self._records.suspect_since_s(target, now_s)
            if since_s is not None:
                suspect.append(_Suspect(since_s, target))
                continue
            healthy.append(target)
        healthy.extend(_readmitted(suspect, len(healthy)))
        preferred = []
        for target in healthy:
            if rule.prefers(target.version):
                preferred.append(target)
        available = preferred or healthy
        if not available:
            return ejected
        return self._ramps.admit(available, self._records)

    def next_pause_end_s(
        self, service: str, rule: _version_rules.VersionRule
    ) -> float | None:
        """Return when the first paused target of a service may be used.

        None if there is a target that is not paused, or no target at all.
        """
        now_s = self._clock.monotonic_s()
        rule = self._apply_last_resort(service, rule)
        end_s: float | None = None
        for target in self._records.by_name.values():
            if not self._may_use(target, service, rule):
                continue
            pause_end_s = self._exclusions.pause_end_s(target)
            if pause_end_s <= now_s:
                return None
            end_s = min(pause_end_s, end_s or pause_end_s)
        return end_s

    def is_unavailable(self, target: data.ListedTarget) -> bool:
        """Return whether the target must get no new request now.

        It was removed, is leaving or paused, or is ejected.
        """
        now_s = self._clock.monotonic_s()
        listed = self._records.by_name.get(target.name)
        if listed is None or listed.is_leaving:
            return True
        if self._exclusions.is_leaving(listed):
            return True
        if now_s < self._exclusions.pause_end_s(listed):
            return True
        return self._records.is_ejected(target, now_s)

    def _apply_last_resort(
        self, service: str, rule: _version_rules.VersionRule
    ) -> _version_rules.VersionRule:
        """Return the rule that excludes the last resort beside others."""
        if not rule.last_resort:
            return rule
        unproven = rule.excluded | rule.last_resort | {rule.preferred}
        for target in self._records.by_name.values():
            if target.service == service and target.version not in unproven:
                return dataclasses.replace(
                    rule, excluded=rule.excluded | rule.last_resort
                )
        return rule

    def _may_use(
        self,
        target: data.ListedTarget,
        service: str,
        rule: _version_rules.VersionRule,
    ) -> bool:
        """Return whether requests for a service may ever go to a target."""
        if target.service != service or target.is_leaving:
            return False
        if target.version in rule.excluded:
            return False
        return not self._exclusions.is_leaving(target)


def _readmitted(
    suspects: list[_Suspect], healthy_count: int
) -> list[data.ListedTarget]:
    """Return the suspect targets that are used beside the healthy ones.

    Domains that were suspected last are passed over first, each as a whole,
    while enough targets remain. All are used if there is no other.
    """
    total_count = healthy_count + len(suspects)
    remaining_count = total_count
    readmitted = []
    for since_s in sorted({one.since_s for one in suspects}, reverse=True):
        targets = [one.target for one in suspects if one.since_s == since_s]
        rest_count = remaining_count - len(targets)
        if rest_count and rest_count >= MIN_REMAINING_SHARE * total_count:
            remaining_count = rest_count
            continue
        readmitted.extend(targets)
    return readmitted
