"""Table of targets: the platform's list, load, failures and own requests."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.routing import _arrangement
from skylarktack.coordination.routing import _evidence
from skylarktack.coordination.routing import _subsets

#: Slots assumed of a target that has not reported.
DEFAULT_SLOT_COUNT = 32

#: Share of a new sample in the typical load of all targets.
TYPICAL_SHARE = 0.05

#: A digest must be newer by this than the sample held. The age in a digest
#: leaves out the time on the connection, so the same sample that comes back
#: by a detour looks a little newer than it is.
DIGEST_MARGIN_S = 0.3

#: A load report must be later by this than a notice of leaving to revoke it.
LEAVING_HOLD_S = 2.0

#: Outcomes that speak against a target.
FAILURE_KINDS = frozenset(
    {
        state.OutcomeKind.ERROR,
        state.OutcomeKind.CONNECTION_LOST,
        state.OutcomeKind.SILENT,
        state.OutcomeKind.TRUNCATED,
        state.OutcomeKind.REFUSED,
    }
)


class TargetTable:
    """Owner of everything known about targets; safe from any thread."""

    def __init__(
        self,
        name: state.InstanceName,
        failure_domain: state.FailureDomain,
        region: str,
        settings: state.RoutingSettings,
        clock: ports.Clock,
    ) -> None:
        self._name = name
        self._domain = failure_domain
        self._region = region
        self._settings = settings
        self._clock = clock
        self._lock = threading.RLock()
        self._listed = _arrangement.Arrangement({}, {}, (), {})
        self._evidence: dict[state.TargetName, _evidence.TargetStatus] = {}
        self._in_flight: dict[state.TargetName, int] = {}
        self._typical_load = 0.0
        #: Accepted samples by time of arrival, for the digests.
        self._recent: collections.OrderedDict[state.TargetName, int] = (
            collections.OrderedDict()
        )
        self._serial = 0

    def update(
        self,
        targets: Sequence[state.Target],
        instances: Sequence[state.ListedInstance] = (),
    ) -> tuple[state.TargetName, ...]:
        """Take in the platform's list; return the targets that are gone."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            first = not self._listed.targets
            gone = set(self._listed.targets) - {one.name for one in targets}
            self._listed = _arrangement.arrange(
                self._name, targets, instances, self._settings
            )
            for target in targets:
                known = self._evidence.get(target.name)
                if known is not None:
                    continue
                # An instance that has just started knows no target, but
                # they are not new.
                started_s = float('-inf') if first else now_s
                self._evidence[target.name] = _evidence.TargetStatus(started_s)
            for name in gone:
                self._evidence.pop(name, None)
                self._recent.pop(name, None)
            return tuple(sorted(gone))

    def watched(self) -> tuple[state.Target, ...]:
        """Return the targets whose load this instance reads."""
        with self._lock:
            return self._listed.watched

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a listed target by name."""
        with self._lock:
            return self._listed.targets.get(name)

    def targets(self) -> tuple[state.Target, ...]:
        """Return all listed targets."""
        with self._lock:
            return tuple(self._listed.targets.values())

    def used(self, version: state.VersionName) -> _arrangement.UsedSet:
        """Return the targets of a version that get work from here."""
        with self._lock:
            return self._listed.used.get(version, _arrangement.UsedSet())

    def status(self, name: state.TargetName) -> _evidence.TargetStatus | None:
        """Return what is known of a target."""
        with self._lock:
            return self._evidence.get(name)

    def in_flight_count(self, name: state.TargetName) -> int:
        """Return the requests of this instance on a target."""
        with self._lock:
            return self._in_flight.get(name, 0)

    def begin(self, name: state.TargetName) -> None:
        """Count one request more on a target."""
        with self._lock:
            self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def finish(self, name: state.TargetName) -> None:
        """Count one request less on a target."""
        with self._lock:
            left = self._in_flight.get(name, 0) - 1
            if left > 0:
                self._in_flight[name] = left
                return
            self._in_flight.pop(name, None)

    def record_load_report(
        self, name: state.TargetName, load: ports.EngineLoad
    ) -> tuple[bool, bool]:
        """Take in a load report.

        :returns: whether the target restarted, and whether it is newly
            known to be leaving.
        """
        with self._lock:
            known = self._evidence.get(name)
            if known is None:
                return False, False
            now_s = self._clock.monotonic_s()
            restarted = known.incarnation not in ('', load.incarnation)
            if restarted:
                known = dataclasses.replace(
                    known, leaving_since_s=None, started_s=now_s
                )
            self._evidence[name] = dataclasses.replace(
                known, incarnation=load.incarnation
            )
            newly_leaving = load.leaving and self._mark_leaving(name)
            sampled_s = now_s - load.age_ms / 1000
            self._take_sample(
                name,
                load.running_count + load.waiting_count,
                load.slot_count,
                sampled_s,
            )
            if not load.leaving:
                self._unmark_leaving(name, sampled_s)
            return restarted, newly_leaving

    def take_digests(
        self, digests: Iterable[_evidence.LoadDigest]
    ) -> tuple[state.TargetName, ...]:
        """Take in a peer's digests; return targets newly known to leave."""
        leaving: list[state.TargetName] = []
        with self._lock:
            now_s = self._clock.monotonic_s()
            for digest in digests:
                if digest.age_ms > self._settings.digest_age_limit_ms:
                    continue
                name = self._listed.by_hash.get(digest.target_hash)
                if name is None:
                    continue
                sampled_s = now_s - digest.age_ms / 1000
                held = self._evidence[name].sample
                held_s = held.sampled_s if held else float('-inf')
                if sampled_s < held_s - DIGEST_MARGIN_S:
                    continue
                if digest.leaving and self._mark_leaving(name):
                    leaving.append(name)
                if sampled_s <= held_s + DIGEST_MARGIN_S:
                    continue
                self._take_sample(
                    name, digest.load_count, digest.slot_count, sampled_s
                )
                if not digest.leaving:
                    self._unmark_leaving(name, sampled_s)
        return tuple(leaving)

    def mark_leaving(self, name: state.TargetName) -> bool:
        """Stop new work to a target; return whether this is news."""
        with self._lock:
            return self._mark_leaving(name)

    def digests_after(
        self, serial: int, limit_count: int
    ) -> tuple[int, tuple[_evidence.LoadDigest, ...]]:
        """Return the newest digests accepted after a serial number.

        :returns: serial number up to which the peer is served, digests.
        """
        with self._lock:
            found: list[_evidence.LoadDigest] = []
            now_s = self._clock.monotonic_s()
            for name in reversed(self._recent):
                if self._recent[name] <= serial or len(found) == limit_count:
                    break
                known = self._evidence[name]
                sample = known.sample
                if sample is None:
                    continue
                age_ms = round((now_s - sample.sampled_s) * 1000)
                if age_ms > self._settings.digest_age_limit_ms:
                    continue
                found.append(
                    _evidence.LoadDigest(
                        target_hash=_subsets.name_hash(name),
                        load_count=sample.load_count,
                        slot_count=sample.slot_count,
                        age_ms=age_ms,
                        leaving=known.leaving,
                    )
                )
            return self._serial, tuple(found)

    def observe(self, name: state.TargetName, kind: state.OutcomeKind) -> bool:
        """Take in how an attempt ended; return whether it ejects."""
        with self._lock:
            known = self._evidence.get(name)
            if known is None:
                return False
            if kind is state.OutcomeKind.SUCCESS:
                if known.failure_count or known.ejection_count:
                    self._evidence[name] = dataclasses.replace(
                        known, failure_count=0, ejection_count=0
                    )
                return False
            if kind not in FAILURE_KINDS:
                return False
            failures = known.failure_count + 1
            known = dataclasses.replace(known, failure_count=failures)
            self._evidence[name] = known
            if failures < self._settings.ejection_failure_count:
                return False
            return self._eject(name, known)

    def candidate(
        self, name: state.TargetName, avoided: state.FailureDomain | None
    ) -> _evidence.Candidate | None:
        """Return a target if it may get new work."""
        with self._lock:
            target = self._listed.targets.get(name)
            known = self._evidence.get(name)
            if target is None or known is None:
                return None
            now_s = self._clock.monotonic_s()
            if target.leaving or known.leaving:
                return None
            if known.ejected_until_s > now_s:
                return None
            own = self._in_flight.get(name, 0)
            slot_count = DEFAULT_SLOT_COUNT
            if known.sample is not None:
                slot_count = max(1, known.sample.slot_count)
            return _evidence.Candidate(
                target=target,
                in_flight_count=own,
                load=own + self._remote_load(known.sample, now_s),
                slot_count=slot_count,
                weight=self._weight(known, now_s),
                penalty=self._penalty(target, avoided),
                mix=_subsets.name_hash(name),
            )

    def ejected_count(self) -> int:
        """Return the number of targets ejected at present."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            return sum(
                1
                for known in self._evidence.values()
                if known.ejected_until_s > now_s
            )

    def _take_sample(
        self,
        name: state.TargetName,
        load_count: int,
        slot_count: int,
        sampled_s: float,
    ) -> bool:
        known = self._evidence[name]
        if known.sample is not None and sampled_s <= known.sample.sampled_s:
            return False
        own = self._in_flight.get(name, 0)
        self._evidence[name] = dataclasses.replace(
            known,
            sample=_evidence.LoadSample(
                sampled_s, load_count, slot_count, own
            ),
        )
        remote = max(0, load_count - own)
        self._typical_load += TYPICAL_SHARE * (remote - self._typical_load)
        self._serial += 1
        self._recent[name] = self._serial
        self._recent.move_to_end(name)
        return True

    def _mark_leaving(self, name: state.TargetName) -> bool:
        known = self._evidence.get(name)
        if known is None or known.leaving:
            return False
        self._evidence[name] = dataclasses.replace(
            known, leaving_since_s=self._clock.monotonic_s()
        )
        self._serial += 1
        self._recent[name] = self._serial
        self._recent.move_to_end(name)
        return True

    def _unmark_leaving(
        self, name: state.TargetName, sampled_s: float
    ) -> None:
        """Allow work again if a later report does not say leaving.

        Reports lag, so one from before the notice proves nothing.
        """
        known = self._evidence[name]
        if known.leaving_since_s is None:
            return
        if sampled_s > known.leaving_since_s + LEAVING_HOLD_S:
            self._evidence[name] = dataclasses.replace(
                known, leaving_since_s=None
            )

    def _remote_load(
        self, sample: _evidence.LoadSample | None, now_s: float
    ) -> float:
        """Discount a sample by age towards the typical load.

        Towards zero, targets without news would draw all requests.
        """
        if sample is None:
            return self._typical_load
        remote = max(0, sample.load_count - sample.own_count)
        age_s = max(0.0, now_s - sample.sampled_s)
        half_life_s = self._settings.report_half_life_ms / 1000
        trust = math.exp2(-age_s / half_life_s)
        return trust * remote + (1 - trust) * self._typical_load

    def _weight(self, known: _evidence.TargetStatus, now_s: float) -> float:
        length_s = self._settings.slow_start_ms / 1000
        age_s = now_s - max(known.started_s, known.ejected_until_s)
        if age_s >= length_s or known.started_s == float('-inf'):
            if known.ejected_until_s == 0.0 or age_s >= length_s:
                return 1.0
        floor = self._settings.slow_start_floor
        return floor + (1 - floor) * max(0.0, age_s) / length_s

    def _penalty(
        self, target: state.Target, avoided: state.FailureDomain | None
    ) -> float:
        penalty = 1.0 if target.failure_domain == avoided else 0.0
        if target.failure_domain == self._domain:
            return penalty
        if target.region == self._region:
            return penalty + self._settings.domain_penalty
        return penalty + self._settings.region_penalty

    def _eject(
        self, name: state.TargetName, known: _evidence.TargetStatus
    ) -> bool:
        target = self._listed.targets.get(name)
        now_s = self._clock.monotonic_s()
        if target is None or known.ejected_until_s > now_s:
            return False
        for version in target.versions:
            if not self._may_eject(version, now_s):
                return False
        time_ms = min(
            self._settings.ejection_limit_ms,
            self._settings.ejection_ms * 2 ** min(10, known.ejection_count),
        )
        self._evidence[name] = dataclasses.replace(
            known,
            failure_count=0,
            ejection_count=known.ejection_count + 1,
            ejected_until_s=now_s + time_ms / 1000,
        )
        return True

    def _may_eject(self, version: state.VersionName, now_s: float) -> bool:
        """Return whether one more target of the version may be ejected.

        A fault that all targets share must not empty the set.
        """
        names = self._listed.used.get(version, _arrangement.UsedSet()).names
        out_count = 0
        for name in names:
            known = self._evidence.get(name)
            if known is not None and known.ejected_until_s > now_s:
                out_count += 1
        return out_count + 1 <= self._settings.ejection_share * len(names)
