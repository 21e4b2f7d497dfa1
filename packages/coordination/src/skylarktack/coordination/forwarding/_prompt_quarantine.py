"""Refuses requests with a prompt part that crashes the engines it runs on.

Each instance records which runs were lost with their engine before they
produced output, and with which parts runs did produce output. Instances share
this evidence, so that a part is quarantined after a few losses wherever its
requests arrive, and only that part.
"""

from collections.abc import Sequence
import math
import threading
from typing import Protocol

from skylarktack.coordination.forwarding import _events
from skylarktack.coordination.forwarding import _fleet_ports
from skylarktack.coordination.forwarding import _prompt_evidence_log
from skylarktack.coordination.forwarding import _prompt_losses
from skylarktack.coordination.forwarding import _quarantine_admission
from skylarktack.coordination.forwarding import _quarantine_keeper
from skylarktack.coordination.forwarding import _quarantine_records
from skylarktack.coordination.forwarding import _quarantine_table
from skylarktack.coordination.ports import Clock
from skylarktack.state import forwarding as data


class EvidenceReporter(_quarantine_admission.InstanceRank, Protocol):
    """Reports evidence to the other instances."""

    def set_prompt_exchange(
        self, exchange: _fleet_ports.PromptEvidenceExchange
    ) -> None:
        """Set what gives and receives the evidence in reports."""
        ...

    def report_prompt_evidence(self) -> None:
        """Report new evidence at once."""
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
        self._evidence = _prompt_evidence_log.PromptEvidenceLog(
            self.settings.limits.window_s
        )
        self._table = _quarantine_table.QuarantineTable(clock, self.settings)
        self._admission = _quarantine_admission.QuarantineAdmission(
            clock, self.settings, self._table, fleet
        )
        self.has_changes = self._table.has_changes
        fleet.set_prompt_exchange(self)

    def admit(
        self, part_ids: tuple[str, ...]
    ) -> _quarantine_records.PromptAdmission:
        """Count a new request and decide whether it is sent.

        The first one after a quarantine becomes its probe.
        """
        with self._lock:
            self._admission.count_request(part_ids)
            decision = self._admission.decide(part_ids, may_probe=True)
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
            decision = self._admission.decide(part_ids, may_probe=False)
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
                if self._table.release(part_id, is_own_decision=True):
                    events.append(_released(part_id, 'a run produced output'))
            has_new_outputs = self._evidence.has_new_outputs
        self._record(events)
        if has_new_outputs:
            self._fleet.report_prompt_evidence()

    def quarantined_count(self) -> int:
        """Return the number of parts that are quarantined."""
        with self._lock:
            return len(self._table.part_ids())

    def evidence(self, is_full: bool) -> data.PromptEvidence:
        """Return the evidence for a report to the other instances.

        :param is_full: whether recent evidence is repeated.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            return data.PromptEvidence(
                self._evidence.take_losses(is_full, now_s),
                self._evidence.take_outputs(is_full, now_s),
                self._table.take_reported(is_full, now_s),
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
            quarantine = self._table.find(output.part_id)
            if quarantine is None or at_s <= quarantine.began_at_s:
                continue
            if self._table.release(output.part_id, is_own_decision=False):
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
                    self._table.set_unsaved(item.part_id)
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

    def compare(self, stored: tuple[data.StoredQuarantine, ...]) -> None:
        """Mark for writing what a restored store lacks or has again.

        Stored quarantines that are unknown here are not taken over: they were
        released, or a peer is about to report them.
        """
        now_ms = 1000 * self._clock.wall_s()
        stored_by_part = {item.part_id: item for item in stored}
        with self._lock:
            now_s = self._clock.monotonic_s()
            for part_id in self._table.part_ids():
                stored_part = stored_by_part.get(part_id)
                if not self._table.is_saved(part_id, stored_part):
                    self._table.set_unsaved(part_id)
            for item in stored:
                began_at_s = now_s - (now_ms - item.began_at_ms) / 1000
                output_at_s = self._evidence.output_at_s.get(item.part_id)
                if output_at_s is not None and output_at_s > began_at_s:
                    self._table.set_unsaved(item.part_id)
                    continue
                if self._table.find(item.part_id) is not None:
                    continue
                remaining_ms = item.until_ms - now_ms
                if self._table.has_ended(item.probe_count, remaining_ms):
                    self._table.set_unsaved(item.part_id)

    def take_changes(
        self,
    ) -> tuple[_quarantine_keeper.QuarantineChange, ...]:
        """Return the decisions that the store does not have yet."""
        with self._lock:
            return self._table.take_changes()

    def _is_output_awaited(self, part_id: str, now_s: float) -> bool:
        """Return whether the others have to learn of an output."""
        if self._table.find(part_id) is not None:
            return True
        return self._evidence.is_output_awaited(part_id, now_s)

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
            if self._table.find(cause.part_id) is not None:
                continue
            if self._admission.is_in_most_requests(cause.part_id):
                continue
            self._table.begin(cause.part_id)
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
        for part_id in self._table.part_ids():
            if part_id in caused or not _prompt_losses.is_sufficient(
                part_id,
                self._evidence.losses,
                self._evidence.output_at_s,
                self.settings.limits,
            ):
                continue
            now_s = self._clock.monotonic_s()
            self._evidence.discount_losses(part_id, now_s)
            self._table.release(part_id, is_own_decision=True)
            events.append(_released(part_id, 'another part is the cause'))
        return events

    def _adopt(
        self,
        reported: data.QuarantinedPart,
        now_s: float,
        source: _events.DecisionSource,
    ) -> list[_events.LogEvent]:
        """Apply a quarantine from elsewhere; return an event if it is new."""
        part_id = reported.part_id
        is_known = self._table.find(part_id) is not None
        until_s = now_s + reported.remaining_ms / 1000
        if self._table.is_current(reported, until_s):
            return []
        began_at_s = now_s - reported.age_ms / 1000
        if self._evidence.output_at_s.get(part_id, -math.inf) > began_at_s:
            self._evidence.offer_output(part_id)
            return []
        self._table.put(
            _quarantine_records.Quarantine(
                part_id, began_at_s, until_s, reported.probe_count
            )
        )
        if is_known:
            return []
        return [_events.PromptPartQuarantined(part_id, 0, source.value)]

    def _record_expired(
        self, decision: _quarantine_admission.AdmissionDecision
    ) -> None:
        for part_id in decision.expired_part_ids:
            self._log.record(_released(part_id, 'no request named it'))

    def _record(self, events: Sequence[_events.LogEvent]) -> None:
        for event in events:
            self._log.record(event)


def _released(part_id: str, cause: str) -> _events.LogEvent:
    return _events.PromptPartReleased(part_id, cause)
