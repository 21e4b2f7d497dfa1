"""Entries, statistics and ejections of the listed targets."""

import math

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _removed_targets
from skylarktack.coordination.forwarding import _restored_entries
from skylarktack.coordination.forwarding import _store_events
from skylarktack.coordination.forwarding import _target_list
from skylarktack.coordination.forwarding import _target_stats
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Initial and maximum time for which a failed target is ejected.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0

#: A suspicion that a peer reports is ignored if the target responded to
#: this instance more recently than this.
SUSPICION_OVERRIDE_S = 0.3


class TargetRecords:
    """Entries and statistics of targets; the owner serialises the calls."""

    def __init__(self, clock: Clock, log: _events.EventLog) -> None:
        self._clock = clock
        self._log = log
        self._list = _target_list.TargetList()
        self._restored = _restored_entries.RestoredEntries()
        self._removed = _removed_targets.RemovedTargets(self._restored)
        self._stats: dict[str, _target_stats.TargetStats] = {}
        self._suspicions = _target_stats.DomainSuspicions()

    @property
    def by_name(self) -> dict[str, data.ListedTarget]:
        """Return the listed targets by name."""
        return self._list.by_name

    def keep_expired(self) -> None:
        """Keep targets whose entries expire within the grace of an outage."""
        self._list.keep_expired(self._clock.monotonic_s())

    def record_restore(self) -> None:
        """Record that the next list is that of a restored store."""
        now_s = self._clock.monotonic_s()
        self._restored.record_restore(now_s)
        self._removed.record_restore(now_s)

    def record_list(self, names: frozenset[str]) -> None:
        """Record that all entries of a complete list were put."""
        self._restored.record_list(self._clock.monotonic_s())
        self._removed.discard_others(names)

    def hold(self, target: data.ListedTarget) -> bool:
        """Hold a listed entry back if it is older than a removal.

        :return: whether it must not be put now.
        """
        if not self._removed.hold(target, self._clock.monotonic_s()):
            return False
        self._log.record(_store_events.RemovedTargetHeld(target.name))
        return True

    def take_rewritten(self) -> tuple[data.ListedTarget, ...]:
        """Return entries that were held back and have been written again."""
        return self._removed.take_rewritten(self._clock.monotonic_s())

    def put(self, target: data.ListedTarget) -> bool:
        """Add or replace an entry; return whether its name is new.

        An entry of a restored store that is older than the known one only
        shows that the target is listed.
        """
        now_s = self._clock.monotonic_s()
        known = self.by_name.get(target.name)
        if known and self._restored.is_outdated(target, known, now_s):
            self._log.record(_store_events.OutdatedTargetIgnored(target.name))
            target = known
        previous = self._list.put(target)
        self._removed.record_listed(target.name)
        if previous is None:
            self.stats_of(target).listed_at_s = now_s
            self._log.record(
                _events.TargetAdded(
                    target.name,
                    target.service,
                    str(target.endpoint),
                    target.version,
                )
            )
            return True
        if previous.started_at_ms != target.started_at_ms:
            # A new process uses the name; old statistics do not apply to it.
            self._stats.pop(target.name, None)
        if target.is_leaving and not previous.is_leaving:
            self._log.record(_events.TargetDraining(target.name))
        return False

    def remove(self, name: str) -> None:
        """Remove a target, or mark it as expired after an outage."""
        self._removed.discard(name)
        target = self.by_name.get(name)
        if target is None:
            return
        now_s = self._clock.monotonic_s()
        was_kept = self._list.is_kept(name)
        if not self._list.remove(name, now_s):
            if not was_kept:
                self._log.record(_store_events.TargetKept(name))
            return
        self._removed.record_removal(target, now_s)
        self._stats.pop(name, None)
        self._log.record(_events.TargetRemoved(name))

    def remove_expired(self) -> None:
        """Remove the targets that did not register again after an outage."""
        for name in self._list.take_expired(self._clock.monotonic_s()):
            self.remove(name)

    def stats_of(self, target: data.ListedTarget) -> _target_stats.TargetStats:
        """Return the statistics of a target, empty ones if it has none."""
        stats = self._stats.get(target.name)
        if stats is None:
            stats = _target_stats.TargetStats()
            self._stats[target.name] = stats
        return stats

    def record_request_end(self, target: data.ListedTarget) -> None:
        """Count that a request at the target has ended."""
        stats = self._stats.get(target.name)
        if stats is not None and stats.in_flight_count > 0:
            stats.in_flight_count -= 1

    def record_load(
        self, target: data.ListedTarget, load: data.TargetLoad
    ) -> None:
        """Record the load that a target reports."""
        stats = self.stats_of(target)
        stats.load = load
        stats.load_at_s = self._clock.monotonic_s()

    def record_response(
        self,
        target: data.ListedTarget,
        latency_ms: float | None,
        is_error: bool,
    ) -> None:
        """Record a response or a complete stream; end the ejection.

        :param latency_ms: None if it is not known.
        """
        now_s = self._clock.monotonic_s()
        stats = self.stats_of(target)
        if latency_ms is not None:
            stats.record_latency(latency_ms, now_s)
        stats.record_response(is_error)
        stats.last_seen_at_s = now_s
        stats.failure_count = 0
        stats.ejected_until_s = -math.inf

    def record_failure(
        self, target: data.ListedTarget, is_loss: bool
    ) -> float:
        """Eject a target for a while that doubles with each failure.

        :param is_loss: whether the failure counts towards the suspicion of
            the failure domain.
        :returns: length of the ejection in seconds.
        """
        now_s = self._clock.monotonic_s()
        stats = self.stats_of(target)
        stats.failure_count += 1
        ejection_s: float = min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (stats.failure_count - 1)
        )
        stats.ejected_until_s = now_s + ejection_s
        if is_loss:
            self._suspicions.record_loss(target, stats, now_s)
        return ejection_s

    def record_suspicion(self, name: str) -> bool:
        """Eject a target that a peer found failed.

        :returns: whether it was ejected: a target that responded just now
            is not, nor one that is not listed.
        """
        target = self.by_name.get(name)
        if target is None:
            return False
        now_s = self._clock.monotonic_s()
        stats = self.stats_of(target)
        if now_s - stats.sampled_at_s < SUSPICION_OVERRIDE_S:
            return False
        until_s = now_s + FIRST_EJECTION_S
        stats.ejected_until_s = max(stats.ejected_until_s, until_s)
        stats.suspected_at_s = now_s
        self._suspicions.record_loss(target, stats, now_s)
        return True

    def eject(self, name: str, ejection_s: float) -> None:
        """Eject a listed target for at least the given time."""
        target = self.by_name.get(name)
        if target is None:
            return
        stats = self.stats_of(target)
        until_s = self._clock.monotonic_s() + ejection_s
        stats.ejected_until_s = max(stats.ejected_until_s, until_s)

    def is_ejected(self, target: data.ListedTarget, now_s: float) -> bool:
        """Return whether the target's ejection has not ended."""
        return now_s < self.stats_of(target).ejected_until_s

    def suspect_since_s(
        self, target: data.ListedTarget, now_s: float
    ) -> float | None:
        """Return since when the target may have failed with its domain.

        None for a target that is not suspect.
        """
        return self._suspicions.suspect_since_s(
            target, self.stats_of(target), now_s
        )
