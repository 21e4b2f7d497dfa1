"""Encodes datagrams between instances as positional CBOR arrays."""

from collections.abc import Callable
import dataclasses
import ipaddress
from typing import Any
from typing import TypeVar
import zlib

import cbor2

from skylarktack import state
from skylarktack.state import forwarding as data

#: First item of each datagram: the type and layout of the message.
REPORT_TYPE = 1
CHANGE_TYPE = 2
HEARTBEAT_TYPE = 3
BROADCAST_TYPE = 5
#: 4 was move evidence without routes. Releases that know only type 4 ignore
#: datagrams of type 6.
MOVE_TYPE = 6

#: Sums of logarithms are sent as integers, in thousandths, which takes fewer
#: bytes than a float.
LOGARITHM_SCALE = 1000

#: Maximum size of compressed content after decompression.
CONTENT_LIMIT_BYTES = 4 * 1024 * 1024

#: Integers in datagrams fit into 64 bits.
MAX_INTEGER = 2**63 - 1

#: Longest time between two reports that is accepted of a peer.
MAX_REPORT_INTERVAL_MS = 600_000

MAX_PORT = 65535

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


def encode_message(message: data.FleetMessage) -> bytes:
    """Encode a message as a datagram."""
    if isinstance(message, data.StoreChange):
        return cbor2.dumps(
            (
                CHANGE_TYPE,
                message.kind,
                message.previous_revision,
                message.revision,
                zlib.compress(message.content),
                message.follows_outage,
                message.era,
            )
        )
    if isinstance(message, data.WatchHeartbeat):
        kinds = [(kind.kind, kind.changed_revision) for kind in message.kinds]
        # Earlier releases read pairs, so the eras are a list of their own.
        eras = [kind.era for kind in message.kinds]
        return cbor2.dumps((HEARTBEAT_TYPE, message.instance, kinds, eras))
    if isinstance(message, data.BroadcastMessage):
        peers = [(peer.host, peer.port) for peer in message.peers]
        return cbor2.dumps((BROADCAST_TYPE, peers, message.content))
    if isinstance(message, data.MoveReport):
        return _encode_move(message)
    return _encode_report(message)


def decode_message(datagram: bytes) -> data.FleetMessage | None:
    """Decode a datagram; return None if it is malformed or of unknown type.

    Numbers out of range and invalid addresses make it malformed: they would
    fail later, in the tasks that use them.
    """
    try:
        fields = cbor2.loads(datagram)
        if fields[0] == REPORT_TYPE:
            return _decode_report(fields)
        if fields[0] == CHANGE_TYPE:
            return _decode_change(fields)
        if fields[0] == HEARTBEAT_TYPE:
            return _decode_heartbeat(fields)
        if fields[0] == MOVE_TYPE:
            return _decode_move(fields)
        if fields[0] == BROADCAST_TYPE:
            return _decode_broadcast(fields)
    except Exception:  # cbor2 and conversions raise many types on bad input
        return None
    return None


def _encode_report(report: data.InstanceReport) -> bytes:
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


def _decode_report(fields: Any) -> data.InstanceReport:
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
                token_count=_integer(run[6]) if len(run) > 6 else 0,
            )
        )
    counts = []
    for service, request_count, retry_count in fields[11]:
        counts.append(
            data.RetryCounts(
                str(service), _integer(request_count), _integer(retry_count)
            )
        )
    leaving = []
    # Earlier releases send no leaving targets.
    for name, started_at_ms in fields[12] if len(fields) > 12 else ():
        leaving.append(
            data.LeavingTarget(
                str(name),
                None if started_at_ms is None else _integer(started_at_ms),
            )
        )
    return data.InstanceReport(
        instance=str(fields[1]),
        endpoint=_address(fields[2], fields[3]),
        started_at_ms=_integer(fields[4]),
        sequence=_integer(fields[5]),
        is_full=bool(fields[6]),
        runs=tuple(runs),
        lost_targets=tuple(str(name) for name in fields[8]),
        next_report_ms=_integer(fields[9], MAX_REPORT_INTERVAL_MS),
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
            _integer(fields[14]) if len(fields) > 14 else 0
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
            None if started_at_ms is None else _integer(started_at_ms)
        ),
        unit_time_us=_integer(entry[2], MAX_UNIT_TIME_US),
        sample_count=_integer(entry[3], MAX_SAMPLE_COUNT),
        running_count=_integer(entry[4], MAX_SAMPLE_COUNT),
        waiting_count=_integer(entry[5], MAX_SAMPLE_COUNT),
        load_age_ms=None if load_age_ms is None else _integer(load_age_ms),
        answered_count=_integer(entry[7], MAX_SAMPLE_COUNT),
        failed_count=_integer(entry[8], MAX_SAMPLE_COUNT),
    )


def _decode_demand(entry: Any) -> data.ServiceDemand:
    window_ms = _integer(entry[3], MAX_REPORT_INTERVAL_MS)
    if window_ms <= 0:
        raise ValueError('the window of a demand is empty')
    return data.ServiceDemand(
        service=_name(entry[0]),
        organisation=_name(entry[1]),
        request_count=_integer(entry[2], MAX_SAMPLE_COUNT),
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
                _integer(age_ms),
            )
        )
    outputs = []
    for part_id, age_ms in fields[1][:MAX_PROMPT_ITEMS]:
        outputs.append(data.PromptOutput(_part_id(part_id), _integer(age_ms)))
    quarantined = []
    for part_id, age_ms, remaining_ms, probes in fields[2][:MAX_PROMPT_ITEMS]:
        quarantined.append(
            data.QuarantinedPart(
                _part_id(part_id),
                _integer(age_ms),
                _integer(remaining_ms, MAX_QUARANTINE_MS),
                _integer(probes, MAX_PROBE_COUNT),
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


def _decode_change(fields: Any) -> data.StoreChange:
    return data.StoreChange(
        kind=str(fields[1]),
        previous_revision=_integer(fields[2]),
        revision=_integer(fields[3]),
        content=_decompress(fields[4]),
        follows_outage=bool(fields[5]),
        # Earlier releases send no era.
        era=_integer(fields[6]) if len(fields) > 6 else 0,
    )


def _decode_heartbeat(fields: Any) -> data.WatchHeartbeat:
    # Earlier releases send no eras.
    eras = fields[3] if len(fields) > 3 else [0] * len(fields[2])
    kinds = []
    for (kind, changed_revision), era in zip(fields[2], eras, strict=True):
        kinds.append(
            data.ConfirmedKind(
                str(kind), _integer(changed_revision), _integer(era)
            )
        )
    return data.WatchHeartbeat(str(fields[1]), tuple(kinds))


def _decode_broadcast(fields: Any) -> data.BroadcastMessage:
    peers = []
    for host, port in fields[1]:
        peers.append(_address(host, port))
    content = fields[2]
    if not isinstance(content, bytes):
        raise TypeError('content of a broadcast is not bytes')
    return data.BroadcastMessage(content, tuple(peers))


def _encode_move(report: data.MoveReport) -> bytes:
    # Names recur in many rows, so a row holds their indexes in a list.
    names: dict[str, int] = {}
    rows = []
    for evidence in report.counts.rows:
        row = evidence.row
        latency = row.first_token
        rows.append(
            (
                names.setdefault(row.version, len(names)),
                names.setdefault(row.failure_domain, len(names)),
                names.setdefault(evidence.route, len(names)),
                row.attempt_count,
                row.error_count,
                row.lost_count,
                row.lost_targets,
                latency.count,
                round(latency.log_sum * LOGARITHM_SCALE),
                round(latency.log_square_sum * LOGARITHM_SCALE),
            )
        )
    histograms = []
    for histogram in report.counts.latencies:
        histograms.append(
            (
                names.setdefault(histogram.version, len(names)),
                names.setdefault(histogram.route, len(names)),
                histogram.response_counts,
                histogram.abandoned_counts,
            )
        )
    return cbor2.dumps(
        (
            MOVE_TYPE,
            report.instance,
            report.service,
            report.to_version,
            report.scope.value,
            report.counts.member_count,
            report.age_ms,
            report.counts.request_count,
            report.counts.sent_count,
            report.is_shifting,
            report.stop_reason,
            # The rows are much alike, so compression halves their size.
            zlib.compress(cbor2.dumps((tuple(names), rows))),
            zlib.compress(cbor2.dumps(histograms)),
        )
    )


def _decode_move(fields: Any) -> data.MoveReport:
    names, fields_of_rows = cbor2.loads(_decompress(fields[11]))
    rows = []
    for fields_of_row in fields_of_rows:
        rows.append(_decode_evidence(fields_of_row, names))
    histograms = []
    # Earlier releases send no latency histograms.
    if len(fields) > 12:
        for histogram in cbor2.loads(_decompress(fields[12])):
            histograms.append(_decode_histogram(histogram, names))
    return data.MoveReport(
        instance=str(fields[1]),
        service=str(fields[2]),
        to_version=str(fields[3]),
        scope=data.MoveScope(fields[4]),
        counts=data.MoveCounts(
            request_count=_integer(fields[7]),
            sent_count=_integer(fields[8]),
            member_count=_integer(fields[5]),
            rows=tuple(rows),
            latencies=tuple(histograms),
        ),
        age_ms=_integer(fields[6]),
        is_shifting=bool(fields[9]),
        stop_reason=str(fields[10]),
    )


def _decode_evidence(fields: Any, names: Any) -> data.RouteEvidence:
    version, domain, route, attempts, errors, lost, targets = fields[:7]
    count, log_sum, log_square_sum = fields[7:]
    return data.RouteEvidence(
        str(names[_integer(route)]),
        state.EvidenceRow(
            version=state.VersionName(str(names[_integer(version)])),
            failure_domain=state.FailureDomain(str(names[_integer(domain)])),
            attempt_count=_integer(attempts),
            error_count=_integer(errors),
            lost_count=_integer(lost),
            lost_targets=tuple(
                state.TargetName(str(name)) for name in targets
            ),
            first_token=state.LatencySums(
                _integer(count),
                _signed_integer(log_sum) / LOGARITHM_SCALE,
                _integer(log_square_sum) / LOGARITHM_SCALE,
            ),
        ),
    )


def _decode_histogram(fields: Any, names: Any) -> data.LatencyHistogram:
    version, route, response_counts, abandoned_counts = fields
    return data.LatencyHistogram(
        str(names[_integer(route)]),
        str(names[_integer(version)]),
        tuple(_integer(count) for count in response_counts),
        tuple(_integer(count) for count in abandoned_counts),
    )


def _integer(value: Any, maximum: int = MAX_INTEGER) -> int:
    """Return an integer from 0 to the maximum.

    :raises ValueError: if the value is anything else.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError('not an integer')
    if not 0 <= value <= maximum:
        raise ValueError('integer out of range')
    return value


def _signed_integer(value: Any) -> int:
    """Return an integer of 64 bits.

    :raises ValueError: if the value is anything else.
    """
    return -_integer(-value) if value < 0 else _integer(value)


def _address(host: Any, port: Any) -> data.Address:
    """Return an address to which a datagram can be sent.

    A name instead of an IP address would block the sender in a lookup.

    :raises ValueError: if the host is no IP address or the port is invalid.
    """
    text = str(ipaddress.IPv4Address(str(host)))
    if _integer(port, MAX_PORT) == 0:
        raise ValueError('port out of range')
    return data.Address(text, port)


def _decompress(compressed: bytes) -> bytes:
    """Decompress the content of a message.

    :raises ValueError: if it exceeds the limit or is truncated.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(compressed, CONTENT_LIMIT_BYTES)
    if not decompressor.eof:
        raise ValueError('content is truncated or exceeds the limit')
    return content
