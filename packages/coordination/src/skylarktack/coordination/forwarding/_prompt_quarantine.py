"""Refuses requests with a prompt part that ends the engines it runs on.

Each instance records which runs were lost with their engine before they
produced output, and with which parts runs did produce output. Instances share
this evidence, so that a part is quarantined after a few losses wherever its
requests arrive, and only that part.
"""

import collections
from collections.abc import Sequence
import dataclasses
import math
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet
from skylarktack.coordination.forwarding import _prompt_evidence
from skylarktack.coordination.forwarding import _prompt_losses
from skylarktack.coordination.forwarding import _quarantine_keeper
from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data

#: Maximum number of quarantined parts; the oldest is forgotten first.
MAX_QUARANTINE_COUNT = 64

#: Number of recent requests from which the share of a part is estimated, and
#: the least number that allows an estimate.
RECENT_REQUEST_COUNT = 64
MIN_REQUEST_COUNT = 16

#: Shortest Retry-After of a refusal.
MIN_RETRY_AFTER_S = 1.0


class EvidenceReporter(Protocol):
    """Reports evidence to the other instances."""

    def set_prompt_exchange(
        self, exchange: _fleet.PromptEvidenceExchange
    ) -> None:
        """Set what gives and receives the evidence in reports."""
        ...

    def report_prompt_evidence(self) -> None:
        """Report new evidence at once."""
        ...

    def rank(self) -> int:
        """Return the rank of this instance among the live ones, from 0."""
        ...


class PromptQuarantine:
    """Evidence about prompt parts, and the parts that are quarantined."""

    def __init__(
        self,
        clock: Clock,
        log: _events.EventLog,
        fleet: EvidenceReporter,
        settings: _quarantine_records.QuarantineSettings | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._fleet = fleet
        self.settings = settings or _quarantine_records.QuarantineSettings()
        self._lock = threading.Lock()
        self._evidence = _prompt_evidence.PromptEvidenceLog(
            self.settings.limits.window_s
        )
        self._quarantines: dict[str, _quarantine_records.Quarantine] = {}
        self._recent_requests: collections.deque[tuple[str, ...]] = (
            collections.deque(maxlen=RECENT_REQUEST_COUNT)
        )
        #: Quarantines that the next report has.
        self._new_quarantines: dict[str, None] = {}
        #: Parts whose stored quarantine is out of date.
        self._unsaved: dict[str, None] = {}
        self.has_changes = threading.Event()
        fleet.set_prompt_exchange(self)

    def admit(
        self, part_ids: tuple[str, ...]
    ) -> _quarantine_records.PromptAdmission:
        """Return whether a new request may be sent.

        At the end of a quarantine one request is let through as a probe.
        """
        with self._lock:
            self._recent_requests.append(part_ids)
            refusal, probe = self._find(part_ids, may_probe=True)
        if probe is not None:
            self._log.record(
                _events.PromptPartProbed(probe.part_id, probe.probe_count)
            )
            self._fleet.report_prompt_evidence()
        return _quarantine_records.PromptAdmission(
            refusal, is_probe=probe is not None
        )

    def check_send(
        self, part_ids: tuple[str, ...]
    ) -> _quarantine_records.QuarantineRefusal | None:
        """Return why an admitted request must not be sent now, or None.

        A probe is not to be checked before it was sent.
        """
        with self._lock:
            refusal, _ = self._find(part_ids, may_probe=False)
        return refusal

    def record_loss(self, engine: str, part_ids: tuple[str, ...]) -> None:
        """Record that a run was lost with its engine before its output."""
        if not part_ids:
            return
        loss = _prompt_losses.Loss(engine, part_ids, self._clock.monotonic_s())
        with self._lock:
            self._evidence.record_loss(loss)
            events = self._evaluate()
        self._record(events)
        self._fleet.report_prompt_evidence()

    def record_output(self, part_ids: tuple[str, ...]) -> None:
        """Record that a run produces output, which clears its parts."""
        now_s = self._clock.monotonic_s()
        events: list[_events.LogEvent] = []
        with self._lock:
            for part_id in part_ids:
                self._evidence.put_output(part_id, now_s)
                if self._is_output_awaited(part_id, now_s):
                    self._evidence.report_output(part_id)
                if self._release(part_id):
                    self._set_unsaved(part_id)
                    events.append(_released(part_id, 'a run produced output'))
            has_news = self._evidence.has_new_outputs
        self._record(events)
        if has_news:
            self._fleet.report_prompt_evidence()

    def quarantined_count(self) -> int:
        """Return the number of parts that are quarantined."""
        with self._lock:
            return len(self._quarantines)

    def evidence(self, is_full: bool) -> data.PromptEvidence:
        """Return the evidence for a report to the other instances.

        :param is_full: whether recent evidence is repeated.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            quarantined = list(self._new_quarantines)
            self._new_quarantines.clear()
            if is_full:
                quarantined = list(self._quarantines)
            return data.PromptEvidence(
                self._evidence.take_losses(is_full, now_s),
                self._evidence.take_outputs(is_full, now_s),
                self._reported_quarantines(quarantined, now_s),
            )

    def receive(self, evidence: data.PromptEvidence) -> None:
        """Apply the evidence of another instance."""
        if not evidence:
            return
        now_s = self._clock.monotonic_s()
        events: list[_events.LogEvent] = []
        with self._lock:
            for output in evidence.outputs:
                at_s = now_s - output.age_ms / 1000
                self._evidence.apply_output(output.part_id, at_s)
                quarantine = self._quarantines.get(output.part_id)
                if quarantine is None or at_s <= quarantine.began_at_s:
                    continue
                if self._release(output.part_id):
                    events.append(
                        _released(output.part_id, 'reported by a peer')
                    )
            has_new_loss = False
            for reported in evidence.losses:
                has_new_loss |= self._evidence.apply_loss(
                    _prompt_losses.Loss(
                        reported.engine,
                        reported.part_ids[
                            : _quarantine_records.MAX_PART_COUNT
                        ],
                        now_s - reported.age_ms / 1000,
                    ),
                    now_s,
                )
                for part_id in reported.part_ids:
                    self._evidence.offer_output(part_id)
            for quarantined in evidence.quarantined:
                event = self._adopt(quarantined, now_s)
                if event is not None:
                    events.append(event)
            if has_new_loss:
                events.extend(self._evaluate())
        self._record(events)

    def restore(self, stored: tuple[data.StoredQuarantine, ...]) -> None:
        """Apply the quarantines that the store has."""
        now_ms = 1000 * self._clock.wall_s()
        longest_ms = 1000 * self.settings.idle_s
        events: list[_events.LogEvent] = []
        with self._lock:
            now_s = self._clock.monotonic_s()
            for item in stored:
                if len(item.part_id) > _quarantine_records.MAX_PART_ID_CHARS:
                    continue
                remaining_ms = item.until_ms - now_ms
                if remaining_ms < -1000 * self.settings.idle_s:
                    self._set_unsaved(item.part_id)
                    continue
                event = self._adopt(
                    data.QuarantinedPart(
                        item.part_id,
                        max(0, round(now_ms - item.began_at_ms)),
                        round(min(max(0.0, remaining_ms), longest_ms)),
                        min(item.probe_count, self.settings.max_probe_count),
                    ),
                    now_s,
                )
                if event is not None:
                    events.append(event)
        self._record(events)

    def take_changes(
        self,
    ) -> tuple[_quarantine_keeper.QuarantineChange, ...]:
        """Return the decisions that the store does not have yet."""
        with self._lock:
            self.has_changes.clear()
            part_ids = tuple(self._unsaved)
            self._unsaved.clear()
            return tuple(
                _quarantine_keeper.QuarantineChange(
                    part_id, self._stored(part_id)
                )
                for part_id in part_ids
            )

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

    def _set_unsaved(self, part_id: str) -> None:
        self._unsaved[part_id] = None
        while len(self._unsaved) > MAX_QUARANTINE_COUNT:
            del self._unsaved[next(iter(self._unsaved))]
        self.has_changes.set()

    def _find(
        self, part_ids: tuple[str, ...], may_probe: bool
    ) -> tuple[
        _quarantine_records.QuarantineRefusal | None,
        _quarantine_records.Quarantine | None,
    ]:
        """Return the refusal of a request, and the probe that it becomes."""
        now_s = self._clock.monotonic_s()
        probe: _quarantine_records.Quarantine | None = None
        for part_id in part_ids:
            quarantine = self._quarantines.get(part_id)
            if quarantine is None:
                continue
            if quarantine.probe_count >= self.settings.max_probe_count:
                quarantine = self._prolong(quarantine, now_s)
                if quarantine is None:
                    continue
            elif may_probe and self._is_probe_due(quarantine, now_s):
                probe = self._claim_probe(quarantine, now_s)
                continue
            remaining_s = max(MIN_RETRY_AFTER_S, quarantine.until_s - now_s)
            return _quarantine_records.QuarantineRefusal(
                part_id, round(remaining_s, 3)
            ), None
        return None, probe

    def _prolong(
        self, quarantine: _quarantine_records.Quarantine, now_s: float
    ) -> _quarantine_records.Quarantine | None:
        """Extend a quarantine without further probes; None if it ended."""
        if now_s >= quarantine.until_s:
            self._release(quarantine.part_id)
            self._set_unsaved(quarantine.part_id)
            return None
        prolonged = dataclasses.replace(
            quarantine,
            until_s=max(quarantine.until_s, now_s + self.settings.idle_s),
        )
        self._quarantines[quarantine.part_id] = prolonged
        return prolonged

    def _is_probe_due(
        self, quarantine: _quarantine_records.Quarantine, now_s: float
    ) -> bool:
        if now_s < quarantine.until_s:
            return False
        stagger_s = self.settings.probe_stagger_s * self._fleet.rank()
        return now_s >= quarantine.until_s + stagger_s

    def _claim_probe(
        self, quarantine: _quarantine_records.Quarantine, now_s: float
    ) -> _quarantine_records.Quarantine:
        probe_count = quarantine.probe_count + 1
        length_s = self.settings.quarantine_s * 2**probe_count
        probe = dataclasses.replace(
            quarantine, until_s=now_s + length_s, probe_count=probe_count
        )
        self._quarantines[quarantine.part_id] = probe
        self._new_quarantines[quarantine.part_id] = None
        self._set_unsaved(quarantine.part_id)
        return probe

    def _is_output_awaited(self, part_id: str, now_s: float) -> bool:
        """Return whether the others have to learn of an output."""
        return (
            part_id in self._quarantines
            or self._evidence.is_output_awaited(part_id, now_s)
        )

    def _evaluate(self) -> list[_events.LogEvent]:
        """Quarantine the parts that explain the losses; release others."""
        limits = self.settings.limits
        losses = self._evidence.losses
        causes = _prompt_losses.find_causes(
            losses, self._evidence.output_at_s, limits
        )
        events: list[_events.LogEvent] = []
        for cause in causes:
            if cause.part_id in self._quarantines:
                continue
            if self._is_in_most_requests(cause.part_id):
                continue
            self._begin(cause.part_id)
            events.append(
                _events.PromptPartQuarantined(
                    cause.part_id, cause.moment_count, False
                )
            )
        caused = {cause.part_id for cause in causes}
        for part_id in list(self._quarantines):
            if part_id in caused or not _prompt_losses.is_sufficient(
                part_id, losses, self._evidence.output_at_s, limits
            ):
                continue
            # Another part explains the same losses and more.
            self._evidence.put_output(part_id, self._clock.monotonic_s())
            self._evidence.report_output(part_id)
            self._release(part_id)
            self._set_unsaved(part_id)
            events.append(_released(part_id, 'another part is the cause'))
        return events

    def _is_in_most_requests(self, part_id: str) -> bool:
        request_count = len(self._recent_requests)
        if request_count < MIN_REQUEST_COUNT:
            return False
        count = 0
        for part_ids in self._recent_requests:
            count += part_id in part_ids
        return count > self.settings.max_request_share * request_count

    def _begin(self, part_id: str) -> None:
        now_s = self._clock.monotonic_s()
        self._quarantines[part_id] = _quarantine_records.Quarantine(
            part_id, now_s, now_s + self.settings.quarantine_s
        )
        self._new_quarantines[part_id] = None
        self._set_unsaved(part_id)
        while len(self._quarantines) > MAX_QUARANTINE_COUNT:
            del self._quarantines[next(iter(self._quarantines))]

    def _release(self, part_id: str) -> bool:
        """End a quarantine; return whether there was one."""
        self._new_quarantines.pop(part_id, None)
        return self._quarantines.pop(part_id, None) is not None

    def _adopt(
        self, reported: data.QuarantinedPart, now_s: float
    ) -> _events.LogEvent | None:
        """Apply a quarantine of another instance; return a new event."""
        part_id = reported.part_id
        known = self._quarantines.get(part_id)
        if known is not None and reported.probe_count <= known.probe_count:
            return None
        began_at_s = now_s - reported.age_ms / 1000
        if self._evidence.output_at_s.get(part_id, -math.inf) > began_at_s:
            self._evidence.offer_output(part_id)
            return None
        self._quarantines[part_id] = _quarantine_records.Quarantine(
            part_id,
            began_at_s,
            now_s + reported.remaining_ms / 1000,
            reported.probe_count,
        )
        while len(self._quarantines) > MAX_QUARANTINE_COUNT:
            del self._quarantines[next(iter(self._quarantines))]
        if known is not None:
            return None
        return _events.PromptPartQuarantined(part_id, 0, True)

    def _reported_quarantines(
        self, part_ids: Sequence[str], now_s: float
    ) -> tuple[data.QuarantinedPart, ...]:
        quarantined = []
        for part_id in part_ids:
            quarantine = self._quarantines.get(part_id)
            if quarantine is None:
                continue
            quarantined.append(
                data.QuarantinedPart(
                    part_id,
                    _prompt_evidence.age_ms(now_s, quarantine.began_at_s),
                    _prompt_evidence.age_ms(quarantine.until_s, now_s),
                    quarantine.probe_count,
                )
            )
        return tuple(quarantined)

    def _record(self, events: Sequence[_events.LogEvent]) -> None:
        for event in events:
            self._log.record(event)


def _released(part_id: str, cause: str) -> _events.LogEvent:
    return _events.PromptPartReleased(part_id, cause)
