"""Table of listed targets with their load, failures and own requests."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
import threading

from skylarktack import state
from skylarktack.coordination import ports
from skylarktack.coordination.routing import _records
from skylarktack.coordination.routing import _snapshot
from skylarktack.coordination.routing import _subsets

#: Batch slots assumed for a target that has not reported its load yet.
DEFAULT_SLOT_COUNT = 32

#: Smoothing factor of the typical load, an exponential moving average over
#: the samples of all targets.
TYPICAL_LOAD_SMOOTHING = 0.05

#: A digest must be newer than the current sample by this margin. The age in a
#: digest excludes transmission time, so a sample that returns through other
#: peers looks slightly newer than it is.
DIGEST_MARGIN_S = 0.3

#: A load report revokes a leaving notice only if it is this much newer.
LEAVING_HOLD_S = 2.0

#: Outcomes that count as failures of a target.
FAILURE_KINDS = frozenset(
    {
        state.OutcomeKind.ERROR,
        state.OutcomeKind.CONNECTION_LOST,
        state.OutcomeKind.UNRESPONSIVE,
        state.OutcomeKind.TRUNCATED,
        state.OutcomeKind.REFUSED,
    }
)


class TargetTable:
    """Thread-safe state of all listed targets."""

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
        self._listed = _snapshot.TargetSnapshot({}, {}, (), {})
        self._statuses: dict[state.TargetName, _records.TargetStatus] = {}
        self._in_flight: dict[state.TargetName, int] = {}
        self._typical_load = 0.0
        #: Serial number of the latest change of each target, oldest first;
        #: determines which digests a peer has not been sent.
        self._change_serials: collections.OrderedDict[
            state.TargetName, int
        ] = collections.OrderedDict()
        self._last_serial = 0

    def update(
        self,
        targets: Sequence[state.Target],
        instances: Sequence[state.ListedInstance] = (),
    ) -> tuple[state.TargetName, ...]:
        """Apply the platform's list and return the removed targets."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            is_first_list = not self._listed.targets
            removed = set(self._listed.targets) - {
                listed_target.name for listed_target in targets
            }
            self._listed = _snapshot.build_snapshot(
                self._name, targets, instances, self._settings
            )
            for target in targets:
                observed = self._statuses.get(target.name)
                if observed is not None:
                    continue
                # All targets of the first list are unknown to an instance
                # that has just started, but need no slow start.
                started_s = float('-inf') if is_first_list else now_s
                self._statuses[target.name] = _records.TargetStatus(started_s)
            for name in removed:
                self._statuses.pop(name, None)
                self._change_serials.pop(name, None)
            return tuple(sorted(removed))

    def watched(self) -> tuple[state.Target, ...]:
        """Return the targets whose load this instance polls."""
        with self._lock:
            return self._listed.watched

    def target(self, name: state.TargetName) -> state.Target | None:
        """Return a listed target by name."""
        with self._lock:
            return self._listed.targets.get(name)

    def targets(self) -> tuple[state.Target, ...]:
        """Return all listed targets, including leaving ones."""
        with self._lock:
            return tuple(self._listed.targets.values())

    def used(self, version: state.VersionName) -> _snapshot.TargetSubset:
        """Return the targets of a version used by this instance."""
        with self._lock:
            return self._listed.used.get(version, _snapshot.TargetSubset())

    def status(self, name: state.TargetName) -> _records.TargetStatus | None:
        """Return the observed status of a target, None if not listed."""
        with self._lock:
            return self._statuses.get(name)

    def in_flight_count(self, name: state.TargetName) -> int:
        """Return the in-flight requests of this instance on a target."""
        with self._lock:
            return self._in_flight.get(name, 0)

    def increment_in_flight(self, name: state.TargetName) -> None:
        """Increment the in-flight count of a target."""
        with self._lock:
            self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def decrement_in_flight(self, name: state.TargetName) -> None:
        """Decrement the in-flight count of a target."""
        with self._lock:
            remaining = self._in_flight.get(name, 0) - 1
            if remaining > 0:
                self._in_flight[name] = remaining
                return
            self._in_flight.pop(name, None)

    def record_load_report(
        self, name: state.TargetName, load: ports.EngineLoad
    ) -> tuple[bool, bool]:
        """Update the status of a target from its load report.

        :returns: whether the target restarted, and whether this report is
            the first information that it is leaving.
        """
        with self._lock:
            observed = self._statuses.get(name)
            if observed is None:
                return False, False
            now_s = self._clock.monotonic_s()
            restarted = observed.incarnation not in ('', load.incarnation)
            if restarted:
                observed = dataclasses.replace(
                    observed, leaving_since_s=None, started_s=now_s
                )
            self._statuses[name] = dataclasses.replace(
                observed, incarnation=load.incarnation
            )
            newly_leaving = load.leaving and self._mark_leaving(name)
            sampled_s = now_s - load.age_ms / 1000
            self._record_sample(
                name,
                load.running_count + load.waiting_count,
                load.slot_count,
                sampled_s,
            )
            if not load.leaving:
                self._unmark_leaving(name, sampled_s)
            return restarted, newly_leaving

    def merge_digests(
        self, digests: Iterable[_records.LoadDigest]
    ) -> tuple[state.TargetName, ...]:
        """Merge a peer's digests; return targets newly known as leaving."""
        leaving: list[state.TargetName] = []
        with self._lock:
            now_s = self._clock.monotonic_s()
            for digest in digests:
                if digest.age_ms > self._settings.digest_age_limit_ms:
                    continue
                name = self._listed.names_by_hash.get(digest.target_hash)
                if name is None:
                    continue
                sampled_s = now_s - digest.age_ms / 1000
                current = self._statuses[name].sample
                current_s = current.sampled_s if current else float('-inf')
                if sampled_s < current_s - DIGEST_MARGIN_S:
                    continue
                if digest.leaving and self._mark_leaving(name):
                    leaving.append(name)
                if sampled_s <= current_s + DIGEST_MARGIN_S:
                    continue
                self._record_sample(
                    name, digest.load_count, digest.slot_count, sampled_s
                )
                if not digest.leaving:
                    self._unmark_leaving(name, sampled_s)
        return tuple(leaving)

    def mark_leaving(self, name: state.TargetName) -> bool:
        """Stop new requests to a target; return False if already stopped."""
        with self._lock:
            return self._mark_leaving(name)

    def digests_since(
        self, serial: int, limit_count: int
    ) -> tuple[int, tuple[_records.LoadDigest, ...]]:
        """Return digests of the targets changed after a serial number.

        :returns: serial number to pass in the peer's next call, and the
            digests, latest change first.
        """
        with self._lock:
            found: list[_records.LoadDigest] = []
            now_s = self._clock.monotonic_s()
            for name in reversed(self._change_serials):
                if (
                    self._change_serials[name] <= serial
                    or len(found) == limit_count
                ):
                    break
                observed = self._statuses[name]
                sample = observed.sample
                if sample is None:
                    continue
                age_ms = round((now_s - sample.sampled_s) * 1000)
                if age_ms > self._settings.digest_age_limit_ms:
                    continue
                found.append(
                    _records.LoadDigest(
                        target_hash=_subsets.name_hash(name),
                        load_count=sample.load_count,
                        slot_count=sample.slot_count,
                        age_ms=age_ms,
                        leaving=observed.leaving,
                    )
                )
            return self._last_serial, tuple(found)

    def record_outcome(
        self, name: state.TargetName, kind: state.OutcomeKind
    ) -> bool:
        """Record an attempt's outcome; return whether it ejects the target."""
        with self._lock:
            observed = self._statuses.get(name)
            if observed is None:
                return False
            if kind is state.OutcomeKind.SUCCESS:
                if observed.failure_count or observed.ejection_count:
                    self._statuses[name] = dataclasses.replace(
                        observed, failure_count=0, ejection_count=0
                    )
                return False
            if kind not in FAILURE_KINDS:
                return False
            failures = observed.failure_count + 1
            observed = dataclasses.replace(observed, failure_count=failures)
            self._statuses[name] = observed
            if failures < self._settings.ejection_failure_count:
                return False
            return self._eject(name, observed)

    def candidate(
        self, name: state.TargetName, avoided: state.FailureDomain | None
    ) -> _records.Candidate | None:
        """Return a target if it may receive new requests, else None.

        :param avoided: failure domain that gets a penalty, or None.
        """
        with self._lock:
            target = self._listed.targets.get(name)
            observed = self._statuses.get(name)
            if target is None or observed is None:
                return None
            now_s = self._clock.monotonic_s()
            if target.leaving or observed.leaving:
                return None
            if observed.ejected_until_s > now_s:
                return None
            own = self._in_flight.get(name, 0)
            slot_count = DEFAULT_SLOT_COUNT
            if observed.sample is not None:
                slot_count = max(1, observed.sample.slot_count)
            return _records.Candidate(
                target=target,
                in_flight_count=own,
                load=own + self._remote_load(observed.sample, now_s),
                slot_count=slot_count,
                weight=self._weight(observed, now_s),
                penalty=self._penalty(target, avoided),
                rendezvous_hash=_subsets.name_hash(name),
            )

    def ejected_count(self) -> int:
        """Return the number of currently ejected targets."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            return sum(
                1
                for observed in self._statuses.values()
                if observed.ejected_until_s > now_s
            )

    def _record_sample(
        self,
        name: state.TargetName,
        load_count: int,
        slot_count: int,
        sampled_s: float,
    ) -> bool:
        observed = self._statuses[name]
        if (
            observed.sample is not None
            and sampled_s <= observed.sample.sampled_s
        ):
            return False
        own = self._in_flight.get(name, 0)
        self._statuses[name] = dataclasses.replace(
            observed,
            sample=_records.LoadSample(sampled_s, load_count, slot_count, own),
        )
        remote = max(0, load_count - own)
        self._typical_load += TYPICAL_LOAD_SMOOTHING * (
            remote - self._typical_load
        )
        self._last_serial += 1
        self._change_serials[name] = self._last_serial
        self._change_serials.move_to_end(name)
        return True

    def _mark_leaving(self, name: state.TargetName) -> bool:
        observed = self._statuses.get(name)
        if observed is None or observed.leaving:
            return False
        self._statuses[name] = dataclasses.replace(
            observed, leaving_since_s=self._clock.monotonic_s()
        )
        self._last_serial += 1
        self._change_serials[name] = self._last_serial
        self._change_serials.move_to_end(name)
        return True

    def _unmark_leaving(
        self, name: state.TargetName, sampled_s: float
    ) -> None:
        """Allow new requests again if a later report is not leaving.

        Reports may lag behind the notice, so one measured before it does not
        revoke it.
        """
        observed = self._statuses[name]
        if observed.leaving_since_s is None:
            return
        if sampled_s > observed.leaving_since_s + LEAVING_HOLD_S:
            self._statuses[name] = dataclasses.replace(
                observed, leaving_since_s=None
            )

    def _remote_load(
        self, sample: _records.LoadSample | None, now_s: float
    ) -> float:
        """Return the load from other instances, estimated from a sample.

        The estimate decays with age towards the typical load. If it decayed
        towards zero, targets without recent samples would attract all
        requests.
        """
        if sample is None:
            return self._typical_load
        remote = max(0, sample.load_count - sample.own_count)
        age_s = max(0.0, now_s - sample.sampled_s)
        half_life_s = self._settings.report_half_life_ms / 1000
        sample_weight = math.exp2(-age_s / half_life_s)
        return (
            sample_weight * remote + (1 - sample_weight) * self._typical_load
        )

    def _weight(self, observed: _records.TargetStatus, now_s: float) -> float:
        slow_start_s = self._settings.slow_start_ms / 1000
        age_s = now_s - max(observed.started_s, observed.ejected_until_s)
        if age_s >= slow_start_s or observed.started_s == float('-inf'):
            if observed.ejected_until_s == 0.0 or age_s >= slow_start_s:
                return 1.0
        floor = self._settings.slow_start_floor
        return floor + (1 - floor) * max(0.0, age_s) / slow_start_s

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
        self, name: state.TargetName, observed: _records.TargetStatus
    ) -> bool:
        target = self._listed.targets.get(name)
        now_s = self._clock.monotonic_s()
        if target is None or observed.ejected_until_s > now_s:
            return False
        for version in target.versions:
            if not self._may_eject(version, now_s):
                return False
        duration_ms = min(
            self._settings.ejection_limit_ms,
            self._settings.ejection_ms * 2 ** min(10, observed.ejection_count),
        )
        self._statuses[name] = dataclasses.replace(
            observed,
            failure_count=0,
            ejection_count=observed.ejection_count + 1,
            ejected_until_s=now_s + duration_ms / 1000,
        )
        return True

    def _may_eject(self, version: state.VersionName, now_s: float) -> bool:
        """Return whether one more target of the version may be ejected.

        The bound keeps a fault common to all targets from ejecting all.
        """
        names = self._listed.used.get(version, _snapshot.TargetSubset()).names
        already_ejected = 0
        for name in names:
            observed = self._statuses.get(name)
            if observed is not None and observed.ejected_until_s > now_s:
                already_ejected += 1
        return already_ejected + 1 <= self._settings.ejection_share * len(
            names
        )
