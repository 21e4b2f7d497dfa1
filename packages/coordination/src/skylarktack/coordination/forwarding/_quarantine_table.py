"""The quarantined prompt parts, and which of them to report and store."""

from collections.abc import Sequence
import dataclasses
import threading

from skylarktack.coordination.forwarding import _prompt_evidence_log
from skylarktack.coordination.forwarding import _quarantine_keeper
from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Maximum number of quarantined parts; the oldest is forgotten first.
MAX_QUARANTINE_COUNT = 64

#: Fraction of the idle time by which a quarantine is extended at least: each
#: extension is reported and stored, and ends are sent as ages, which a report
#: delays.
EXTENSION_STEP_FRACTION = 0.1

#: Fraction of such a step by which a reported end must be later than the
#: known one to count as an extension; the rest allows for the delay.
MIN_EXTENSION_FRACTION = 2 / 3


class QuarantineTable:
    """Quarantines by part; the owner serialises the calls."""

    def __init__(
        self, clock: Clock, settings: _quarantine_records.QuarantineSettings
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._quarantines: dict[str, _quarantine_records.Quarantine] = {}
        #: Quarantines that the next report has.
        self._unreported: dict[str, None] = {}
        #: Parts whose stored quarantine is out of date.
        self._unsaved: dict[str, None] = {}
        #: Set when a part becomes unsaved; ``take_changes`` clears it.
        self.has_changes = threading.Event()

    def find(self, part_id: str) -> _quarantine_records.Quarantine | None:
        """Return the quarantine of a part, or None."""
        return self._quarantines.get(part_id)

    def part_ids(self) -> tuple[str, ...]:
        """Return the quarantined parts, the oldest first."""
        return tuple(self._quarantines)

    def begin(self, part_id: str) -> None:
        """Quarantine a part, at all instances."""
        now_s = self._clock.monotonic_s()
        self.put(
            _quarantine_records.Quarantine(
                part_id, now_s, now_s + self._settings.quarantine_s
            )
        )
        self._announce(part_id)

    def put(self, quarantine: _quarantine_records.Quarantine) -> None:
        """Add or replace a quarantine that the other instances know."""
        self._quarantines[quarantine.part_id] = quarantine
        _prompt_evidence_log.drop_oldest(
            self._quarantines, MAX_QUARANTINE_COUNT
        )

    def extend(
        self, quarantine: _quarantine_records.Quarantine, now_s: float
    ) -> _quarantine_records.Quarantine:
        """Extend a quarantine that has no further probes, at all instances."""
        until_s = now_s + self._settings.idle_s
        if until_s < quarantine.until_s + self._extension_step_s():
            return quarantine
        extended = dataclasses.replace(quarantine, until_s=until_s)
        self._quarantines[quarantine.part_id] = extended
        self._announce(quarantine.part_id)
        return extended

    def claim_probe(
        self, quarantine: _quarantine_records.Quarantine, now_s: float
    ) -> _quarantine_records.Quarantine:
        """Count a probe of this instance, which lengthens the quarantine."""
        probe_count = quarantine.probe_count + 1
        length_s = self._settings.quarantine_s * 2**probe_count
        if probe_count >= self._settings.max_probe_count:
            length_s = max(length_s, self._settings.idle_s)
        probe = dataclasses.replace(
            quarantine, until_s=now_s + length_s, probe_count=probe_count
        )
        self._quarantines[quarantine.part_id] = probe
        self._announce(quarantine.part_id)
        return probe

    def release(self, part_id: str, is_own_decision: bool) -> bool:
        """End a quarantine; return whether there was one.

        :param is_own_decision: whether this instance has the store updated;
            else the peer that decided does.
        """
        self._unreported.pop(part_id, None)
        if self._quarantines.pop(part_id, None) is None:
            return False
        if is_own_decision:
            self.set_unsaved(part_id)
        return True

    def is_current(
        self, reported: data.QuarantinedPart, until_s: float
    ) -> bool:
        """Return whether the known quarantine is as new as a reported one.

        :param until_s: monotonic time at which the reported one ends.
        """
        known = self._quarantines.get(reported.part_id)
        if known is None:
            return False
        if reported.probe_count != known.probe_count:
            return reported.probe_count < known.probe_count
        if known.probe_count < self._settings.max_probe_count:
            return True
        min_extension_s = MIN_EXTENSION_FRACTION * self._extension_step_s()
        return until_s <= known.until_s + min_extension_s

    def has_ended(self, probe_count: int, remaining_ms: float) -> bool:
        """Return whether a quarantine has ended without a further probe."""
        return (
            probe_count >= self._settings.max_probe_count and remaining_ms <= 0
        )

    def is_saved(
        self, part_id: str, stored: data.StoredQuarantine | None
    ) -> bool:
        """Return whether what the store has of a part is up to date.

        A quarantine that has ended here may have been extended or removed by
        another instance, so that it is never written.

        :param stored: None if the store has nothing of the part.
        """
        known = self._stored(part_id)
        if known is None:
            return stored is None
        remaining_ms = known.until_ms - 1000 * self._clock.wall_s()
        if self.has_ended(known.probe_count, remaining_ms):
            return True
        if stored is None:
            return False
        if known.probe_count != stored.probe_count:
            return known.probe_count < stored.probe_count
        min_extension_s = MIN_EXTENSION_FRACTION * self._extension_step_s()
        return known.until_ms <= stored.until_ms + 1000 * min_extension_s

    def take_reported(
        self, is_full: bool, now_s: float
    ) -> tuple[data.QuarantinedPart, ...]:
        """Return the quarantines of a report to the other instances.

        :param is_full: whether known quarantines are repeated.
        """
        part_ids: Sequence[str] = tuple(self._unreported)
        self._unreported.clear()
        if is_full:
            part_ids = self.part_ids()
        quarantined = []
        for part_id in part_ids:
            quarantine = self._quarantines.get(part_id)
            if quarantine is None:
                continue
            quarantined.append(
                data.QuarantinedPart(
                    part_id,
                    _prompt_evidence_log.age_ms(now_s, quarantine.began_at_s),
                    _prompt_evidence_log.age_ms(quarantine.until_s, now_s),
                    quarantine.probe_count,
                )
            )
        return tuple(quarantined)

    def take_changes(
        self,
    ) -> tuple[_quarantine_keeper.QuarantineChange, ...]:
        """Return the decisions that the store does not have yet."""
        self.has_changes.clear()
        part_ids = tuple(self._unsaved)
        self._unsaved.clear()
        return tuple(
            _quarantine_keeper.QuarantineChange(part_id, self._stored(part_id))
            for part_id in part_ids
        )

    def set_unsaved(self, part_id: str) -> None:
        """Have the stored quarantine of a part updated or removed."""
        self._unsaved[part_id] = None
        _prompt_evidence_log.drop_oldest(self._unsaved, MAX_QUARANTINE_COUNT)
        self.has_changes.set()

    def _announce(self, part_id: str) -> None:
        """Have a quarantine reported and stored."""
        self._unreported[part_id] = None
        self.set_unsaved(part_id)

    def _extension_step_s(self) -> float:
        return EXTENSION_STEP_FRACTION * self._settings.idle_s

    def _stored(self, part_id: str) -> data.StoredQuarantine | None:
        quarantine = self._quarantines.get(part_id)
        if quarantine is None:
            return None
        offset_s = self._clock.wall_s() - self._clock.monotonic_s()
        return data.StoredQuarantine(
            part_id,
            round(1000 * (quarantine.began_at_s + offset_s)),
            round(1000 * (quarantine.until_s + offset_s)),
            quarantine.probe_count,
        )
