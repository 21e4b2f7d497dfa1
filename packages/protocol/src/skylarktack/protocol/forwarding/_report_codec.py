"""Encodes the reports of instances as positional CBOR arrays."""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import cbor2

from skylarktack.protocol.forwarding import _datagram_values
from skylarktack.state import forwarding as data

#: First item of the datagram.
REPORT_TYPE = 1

#: Bounds of the evidence about prompt parts that is accepted of a peer.
MAX_PROMPT_ITEMS = 64
MAX_PART_ID_CHARS = 64
MAX_QUARANTINE_MS = 3_600_000
MAX_PROBE_COUNT = 16

#: Bounds of the observations and demands that are accepted of a peer.
MAX_REPORT_ENTRIES = 16
MAX_NAME_CHARS = 256
MAX_UNIT_TIME_US = 600_000_000
MAX_SAMPLE_COUNT = 1_000_000

_Entry = TypeVar('_Entry')


def encode_report(report: data.InstanceReport) -> bytes:
    runs = []
    for run in report.runs:
        runs.append(
            (
                run.attempt_id,
                run.affinity_key,
                run.engine,
                run.standby,
                run.is_prefilling,
                run.has_ended,
                run.token_count,
            )
        )
    return cbor2.dumps(
        (
            REPORT_TYPE,
            report.instance,
            report.endpoint.host,
            report.endpoint.port,
            report.started_at_ms,
            report.sequence,
            report.is_full,
            runs,
            report.lost_targets,
            report.next_report_ms,
            report.replaced_targets,
            [dataclasses.astuple(counts) for counts in report.counts],
            [
                (leaving.name, leaving.started_at_ms)
                for leaving in report.leaving_targets
            ],
            _encode_prompt_evidence(report.prompt_evidence),
            report.configuration_version,
            [dataclasses.astuple(seen) for seen in report.observations],
            [dataclasses.astuple(demand) for demand in report.demands],
        )
    )


def decode_report(fields: Any) -> data.InstanceReport:
    runs = []
    for run in fields[7]:
        runs.append(
            data.RunStatus(
                attempt_id=str(run[0]),
                affinity_key=str(run[1]),
                engine=str(run[2]),
                standby=None if run[3] is None else str(run[3]),
                is_prefilling=bool(run[4]),
                has_ended=bool(run[5]),
                # Earlier releases send no number of tokens.
                token_count=_datagram_values.integer(run[6])
                if len(run) > 6
                else 0,
            )
        )
    counts = []
    for service, request_count, retry_count in fields[11]:
        counts.append(
            data.RetryCounts(
                str(service),
                _datagram_values.integer(request_count),
                _datagram_values.integer(retry_count),
            )
        )
    leaving = []
    # Earlier releases send no leaving targets.
    for name, started_at_ms in fields[12] if len(fields) > 12 else ():
        leaving.append(
            data.LeavingTarget(
                str(name),
                None
                if started_at_ms is None
                else _datagram_values.integer(started_at_ms),
            )
        )
    return data.InstanceReport(
        instance=str(fields[1]),
        endpoint=_datagram_values.address(fields[2], fields[3]),
        started_at_ms=_datagram_values.integer(fields[4]),
        sequence=_datagram_values.integer(fields[5]),
        is_full=bool(fields[6]),
        runs=tuple(runs),
        lost_targets=tuple(str(name) for name in fields[8]),
        next_report_ms=_datagram_values.integer(
            fields[9], _datagram_values.MAX_REPORT_INTERVAL_MS
        ),
        replaced_targets=tuple(str(name) for name in fields[10]),
        counts=tuple(counts),
        leaving_targets=tuple(leaving),
        # Earlier releases send no evidence about prompt parts.
        prompt_evidence=(
            _decode_prompt_evidence(fields[13])
            if len(fields) > 13
            else data.PromptEvidence()
        ),
        # Earlier releases send no version of the configuration.
        configuration_version=(
            _datagram_values.integer(fields[14]) if len(fields) > 14 else 0
        ),
        # Earlier releases send no observations and no demands.
        observations=_decode_entries(fields, 15, _decode_observation),
        demands=_decode_entries(fields, 16, _decode_demand),
    )


def _decode_entries(
    fields: Any, index: int, decode: Callable[[Any], _Entry]
) -> tuple[_Entry, ...]:
    """Return the entries of a list that can be read, without the others."""
    if len(fields) <= index:
        return ()
    entries = []
    for entry in fields[index][:MAX_REPORT_ENTRIES]:
        try:
            entries.append(decode(entry))
        except (TypeError, ValueError, IndexError, OverflowError):
            # The rest of the report does not depend on this entry.
            continue
    return tuple(entries)


def _decode_observation(entry: Any) -> data.TargetObservation:
    started_at_ms, load_age_ms = entry[1], entry[6]
    return data.TargetObservation(
        target=_name(entry[0]),
        started_at_ms=(
            None
            if started_at_ms is None
            else _datagram_values.integer(started_at_ms)
        ),
        unit_time_us=_datagram_values.integer(entry[2], MAX_UNIT_TIME_US),
        sample_count=_datagram_values.integer(entry[3], MAX_SAMPLE_COUNT),
        running_count=_datagram_values.integer(entry[4], MAX_SAMPLE_COUNT),
        waiting_count=_datagram_values.integer(entry[5], MAX_SAMPLE_COUNT),
        load_age_ms=None
        if load_age_ms is None
        else _datagram_values.integer(load_age_ms),
        answered_count=_datagram_values.integer(entry[7], MAX_SAMPLE_COUNT),
        failed_count=_datagram_values.integer(entry[8], MAX_SAMPLE_COUNT),
    )


def _decode_demand(entry: Any) -> data.ServiceDemand:
    window_ms = _datagram_values.integer(
        entry[3], _datagram_values.MAX_REPORT_INTERVAL_MS
    )
    if window_ms <= 0:
        raise ValueError('the window of a demand is empty')
    return data.ServiceDemand(
        service=_name(entry[0]),
        organisation=_name(entry[1]),
        request_count=_datagram_values.integer(entry[2], MAX_SAMPLE_COUNT),
        window_ms=window_ms,
    )


def _name(value: Any) -> str:
    """Return a name.

    :raises ValueError: if it is no text or too long.
    """
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError('not a name')
    return value


def _encode_prompt_evidence(evidence: data.PromptEvidence) -> Any:
    return (
        [dataclasses.astuple(loss) for loss in evidence.losses],
        [dataclasses.astuple(output) for output in evidence.outputs],
        [dataclasses.astuple(part) for part in evidence.quarantined],
    )


def _decode_prompt_evidence(fields: Any) -> data.PromptEvidence:
    losses = []
    for engine, part_ids, age_ms in fields[0][:MAX_PROMPT_ITEMS]:
        losses.append(
            data.PromptLoss(
                str(engine),
                tuple(_part_id(part) for part in part_ids[:MAX_PROMPT_ITEMS]),
                _datagram_values.integer(age_ms),
            )
        )
    outputs = []
    for part_id, age_ms in fields[1][:MAX_PROMPT_ITEMS]:
        outputs.append(
            data.PromptOutput(
                _part_id(part_id), _datagram_values.integer(age_ms)
            )
        )
    quarantined = []
    for part_id, age_ms, remaining_ms, probes in fields[2][:MAX_PROMPT_ITEMS]:
        quarantined.append(
            data.QuarantinedPart(
                _part_id(part_id),
                _datagram_values.integer(age_ms),
                _datagram_values.integer(remaining_ms, MAX_QUARANTINE_MS),
                _datagram_values.integer(probes, MAX_PROBE_COUNT),
            )
        )
    return data.PromptEvidence(
        tuple(losses), tuple(outputs), tuple(quarantined)
    )


def _part_id(value: Any) -> str:
    """Return the identifier of a prompt part.

    :raises ValueError: if it is too long.
    """
    part_id = str(value)
    if len(part_id) > MAX_PART_ID_CHARS:
        raise ValueError('identifier of a prompt part is too long')
    return part_id
