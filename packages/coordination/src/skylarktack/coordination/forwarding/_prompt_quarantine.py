"""Refuses requests with a prompt part that crashes the engines it runs on.

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
from skylarktack.coordination.forwarding import _prompt_evidence_log
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

#: Fraction of the idle time by which a quarantine is extended at least: each
#: extension is reported and stored, and ends are sent as ages, which a report
#: delays.
EXTENSION_STEP_FRACTION = 0.1

#: Fraction of such a step by which a reported end must be later than the
#: known one to count as an extension; the rest allows for the delay.
MIN_EXTENSION_FRACTION = 2 / 3

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


@dataclasses.dataclass(frozen=True)
class _Decision:
    """What is decided on a request."""

    #: Why it must not be sent, or None.
    refusal: _quarantine_records.QuarantineRefusal | None

    #: The quarantine whose probe it is, or None.
    probe: _quarantine_records.Quarantine | None

    #: Parts whose quarantine has ended because no request named them.
    expired_part_ids: tuple[str, ...] = ()


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
        self._evidence = _prompt_evidence_log.PromptEvidenceLog(
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
        """Count a new request and decide whether it is sent.

        The first one after a quarantine becomes its probe.
        """
        with self._lock:
            self._recent_requests.append(part_ids)
            decision = self._decide(part_ids, may_probe=True)
        self._record_expired(decision)
        probe = decision.probe
        if probe is not None:
            self._log.record(
                _events.PromptPartProbed(probe.part_id, probe.probe_count)
            )
            self._fleet.report_prompt_evidence()
        return _quarantine_records.PromptAdmission(
            decision.refusal, is_probe=probe is not None
        )

    def check_send(
        self, part_ids: tuple[str, ...]
    ) -> _quarantine_records.QuarantineRefusal | None:
        """Return why an admitted request must not be sent now, or None.

        Callers skip this for a probe that has not been sent yet, since it
        would refuse the probe itself.
        """
        with self._lock:
            decision = self._decide(part_ids, may_probe=False)
        self._record_expired(decision)
        return decision.refusal

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
            events.extend(self._apply_outputs(evidence.outputs, now_s))
            has_new_loss = self._apply_losses(evidence.losses, now_s)
            for quarantined in evidence.quarantined:
                events.extend(
                    self._adopt(
                        quarantined, now_s, _events.DecisionSource.PEER
                    )
                )
            if has_new_loss:
                events.extend(self._evaluate())
        self._record(events)

    def _apply_outputs(
        self, outputs: Sequence[data.PromptOutput], now_s: float
    ) -> list[_events.LogEvent]:
        events: list[_events.LogEvent] = []
        for output in outputs:
            at_s = now_s - output.age_ms / 1000
            self._evidence.apply_output(output.part_id, at_s)
            quarantine = self._quarantines.get(output.part_id)
            if quarantine is None or at_s <= quarantine.began_at_s:
                continue
            if self._release(output.part_id):
                events.append(_released(output.part_id, 'reported by a peer'))
        return events

    def _apply_losses(
        self, losses: Sequence[data.PromptLoss], now_s: float
    ) -> bool:
        """Add the losses of a report; return whether one was new."""
        has_new_loss = False
        for reported in losses:
            part_ids = reported.part_ids[: _quarantine_records.MAX_PART_COUNT]
            at_s = now_s - reported.age_ms / 1000
            loss = _prompt_losses.Loss(reported.engine, part_ids, at_s)
            has_new_loss |= self._evidence.apply_loss(loss, now_s)
            for part_id in part_ids:
                self._evidence.offer_output(part_id)
        return has_new_loss

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
                stored_part = data.QuarantinedPart(
                    item.part_id,
                    max(0, round(now_ms - item.began_at_ms)),
                    round(min(max(0.0, remaining_ms), longest_ms)),
                    min(item.probe_count, self.settings.max_probe_count),
                )
                events.extend(
                    self._adopt(
                        stored_part, now_s, _events.DecisionSource.STORE
                    )
                )
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
        _prompt_evidence_log.drop_oldest(self._unsaved, MAX_QUARANTINE_COUNT)
        self.has_changes.set()

    def _decide(self, part_ids: tuple[str, ...], may_probe: bool) -> _Decision:
        """Decide on a request; extend, end or probe its quarantines."""
        now_s = self._clock.monotonic_s()
        probe: _quarantine_records.Quarantine | None = None
        expired: list[str] = []
        for part_id in part_ids:
            quarantine = self._quarantines.get(part_id)
            if quarantine is None:
                continue
            if quarantine.probe_count >= self.settings.max_probe_count:
                if now_s >= quarantine.until_s:
                    self._release(part_id)
                    self._set_unsaved(part_id)
                    expired.append(part_id)
                    continue
                quarantine = self._extend(quarantine, now_s)
            elif may_probe and self._is_probe_due(quarantine, now_s):
                probe = self._claim_probe(quarantine, now_s)
                continue
            remaining_s = max(MIN_RETRY_AFTER_S, quarantine.until_s - now_s)
            refusal = _quarantine_records.QuarantineRefusal(
                part_id, round(remaining_s, 3)
            )
            return _Decision(refusal, None, tuple(expired))
        return _Decision(None, probe, tuple(expired))

    def _extend(
        self, quarantine: _quarantine_records.Quarantine, now_s: float
    ) -> _quarantine_records.Quarantine:
        """Extend a quarantine that has no further probes, at all instances."""
        until_s = now_s + self.settings.idle_s
        if until_s < quarantine.until_s + self._extension_step_s():
            return quarantine
        extended = dataclasses.replace(quarantine, until_s=until_s)
        self._quarantines[quarantine.part_id] = extended
        self._new_quarantines[quarantine.part_id] = None
        self._set_unsaved(quarantine.part_id)
        return extended

    def _extension_step_s(self) -> float:
        return EXTENSION_STEP_FRACTION * self.settings.idle_s

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
        if probe_count >= self.settings.max_probe_count:
            length_s = max(length_s, self.settings.idle_s)
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
        causes = _prompt_losses.find_causes(
            self._evidence.losses,
            self._evidence.output_at_s,
            self.settings.limits,
        )
        return [
            *self._quarantine_causes(causes),
            *self._release_explained(causes),
        ]

    def _quarantine_causes(
        self, causes: Sequence[_prompt_losses.Cause]
    ) -> list[_events.LogEvent]:
        events: list[_events.LogEvent] = []
        for cause in causes:
            if cause.part_id in self._quarantines:
                continue
            if self._is_in_most_requests(cause.part_id):
                continue
            self._begin(cause.part_id)
            events.append(
                _events.PromptPartQuarantined(
                    cause.part_id,
                    cause.moment_count,
                    _events.DecisionSource.OWN_EVIDENCE.value,
                )
            )
        return events

    def _release_explained(
        self, causes: Sequence[_prompt_losses.Cause]
    ) -> list[_events.LogEvent]:
        """Release parts whose losses another part explains."""
        caused = {cause.part_id for cause in causes}
        events: list[_events.LogEvent] = []
        for part_id in list(self._quarantines):
            if part_id in caused or not _prompt_losses.is_sufficient(
                part_id,
                self._evidence.losses,
                self._evidence.output_at_s,
                self.settings.limits,
            ):
                continue
            now_s = self._clock.monotonic_s()
            self._evidence.discount_losses(part_id, now_s)
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
        self._put(
            _quarantine_records.Quarantine(
                part_id, now_s, now_s + self.settings.quarantine_s
            )
        )
        self._new_quarantines[part_id] = None
        self._set_unsaved(part_id)

    def _put(self, quarantine: _quarantine_records.Quarantine) -> None:
        self._quarantines[quarantine.part_id] = quarantine
        _prompt_evidence_log.drop_oldest(
            self._quarantines, MAX_QUARANTINE_COUNT
        )

    def _release(self, part_id: str) -> bool:
        """End a quarantine; return whether there was one."""
        self._new_quarantines.pop(part_id, None)
        return self._quarantines.pop(part_id, None) is not None

    def _adopt(
        self,
        reported: data.QuarantinedPart,
        now_s: float,
        source: _events.DecisionSource,
    ) -> list[_events.LogEvent]:
        """Apply a quarantine from elsewhere; return an event if it is new."""
        part_id = reported.part_id
        known = self._quarantines.get(part_id)
        until_s = now_s + reported.remaining_ms / 1000
        if known is not None and not self._is_newer(reported, until_s, known):
            return []
        began_at_s = now_s - reported.age_ms / 1000
        if self._evidence.output_at_s.get(part_id, -math.inf) > began_at_s:
            self._evidence.offer_output(part_id)
            return []
        self._put(
            _quarantine_records.Quarantine(
                part_id, began_at_s, until_s, reported.probe_count
            )
        )
        if known is not None:
            return []
        return [_events.PromptPartQuarantined(part_id, 0, source.value)]

    def _is_newer(
        self,
        reported: data.QuarantinedPart,
        until_s: float,
        known: _quarantine_records.Quarantine,
    ) -> bool:
        """Return whether a report has a later probe or extension."""
        if reported.probe_count != known.probe_count:
            return reported.probe_count > known.probe_count
        if known.probe_count < self.settings.max_probe_count:
            return False
        min_extension_s = MIN_EXTENSION_FRACTION * self._extension_step_s()
        return until_s > known.until_s + min_extension_s

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
                    _prompt_evidence_log.age_ms(now_s, quarantine.began_at_s),
                    _prompt_evidence_log.age_ms(quarantine.until_s, now_s),
                    quarantine.probe_count,
                )
            )
        return tuple(quarantined)

    def _record_expired(self, decision: _Decision) -> None:
        for part_id in decision.expired_part_ids:
            self._log.record(_released(part_id, 'no request named it'))

    def _record(self, events: Sequence[_events.LogEvent]) -> None:
        for event in events:
            self._log.record(event)


def _released(part_id: str, cause: str) -> _events.LogEvent:
    return _events.PromptPartReleased(part_id, cause)
