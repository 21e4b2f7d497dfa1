"""Encodes datagrams between instances as positional CBOR arrays."""

from typing import Any
import zlib

import cbor2

from skylarktack import state
from skylarktack.protocol.forwarding import _datagram_values
from skylarktack.protocol.forwarding import _report_codec
from skylarktack.state import forwarding as data

#: First item of each datagram: the type and layout of the message.
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
    return _report_codec.encode_report(message)


def decode_message(datagram: bytes) -> data.FleetMessage | None:
    """Decode a datagram; return None if it is malformed or of unknown type.

    Numbers out of range and invalid addresses make it malformed: they would
    fail later, in the tasks that use them.
    """
    try:
        fields = cbor2.loads(datagram)
        if fields[0] == _report_codec.REPORT_TYPE:
            return _report_codec.decode_report(fields)
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


def _decode_change(fields: Any) -> data.StoreChange:
    return data.StoreChange(
        kind=str(fields[1]),
        previous_revision=_datagram_values.integer(fields[2]),
        revision=_datagram_values.integer(fields[3]),
        content=_decompress(fields[4]),
        follows_outage=bool(fields[5]),
        # Earlier releases send no era.
        era=_datagram_values.integer(fields[6]) if len(fields) > 6 else 0,
    )


def _decode_heartbeat(fields: Any) -> data.WatchHeartbeat:
    # Earlier releases send no eras.
    eras = fields[3] if len(fields) > 3 else [0] * len(fields[2])
    kinds = []
    for (kind, changed_revision), era in zip(fields[2], eras, strict=True):
        kinds.append(
            data.ConfirmedKind(
                str(kind),
                _datagram_values.integer(changed_revision),
                _datagram_values.integer(era),
            )
        )
    return data.WatchHeartbeat(str(fields[1]), tuple(kinds))


def _decode_broadcast(fields: Any) -> data.BroadcastMessage:
    peers = []
    for host, port in fields[1]:
        peers.append(_datagram_values.address(host, port))
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
            request_count=_datagram_values.integer(fields[7]),
            sent_count=_datagram_values.integer(fields[8]),
            member_count=_datagram_values.integer(fields[5]),
            rows=tuple(rows),
            latencies=tuple(histograms),
        ),
        age_ms=_datagram_values.integer(fields[6]),
        is_shifting=bool(fields[9]),
        stop_reason=str(fields[10]),
    )


def _decode_evidence(fields: Any, names: Any) -> data.RouteEvidence:
    version, domain, route, attempts, errors, lost, targets = fields[:7]
    count, log_sum, log_square_sum = fields[7:]
    return data.RouteEvidence(
        str(names[_datagram_values.integer(route)]),
        state.EvidenceRow(
            version=state.VersionName(
                str(names[_datagram_values.integer(version)])
            ),
            failure_domain=state.FailureDomain(
                str(names[_datagram_values.integer(domain)])
            ),
            attempt_count=_datagram_values.integer(attempts),
            error_count=_datagram_values.integer(errors),
            lost_count=_datagram_values.integer(lost),
            lost_targets=tuple(
                state.TargetName(str(name)) for name in targets
            ),
            first_token=state.LatencySums(
                _datagram_values.integer(count),
                _datagram_values.signed_integer(log_sum) / LOGARITHM_SCALE,
                _datagram_values.integer(log_square_sum) / LOGARITHM_SCALE,
            ),
        ),
    )


def _decode_histogram(fields: Any, names: Any) -> data.LatencyHistogram:
    version, route, response_counts, abandoned_counts = fields
    return data.LatencyHistogram(
        str(names[_datagram_values.integer(route)]),
        str(names[_datagram_values.integer(version)]),
        tuple(_datagram_values.integer(count) for count in response_counts),
        tuple(_datagram_values.integer(count) for count in abandoned_counts),
    )


def _decompress(compressed: bytes) -> bytes:
    """Decompress the content of a message.

    :raises ValueError: if it exceeds the limit or is truncated.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(compressed, CONTENT_LIMIT_BYTES)
    if not decompressor.eof:
        raise ValueError('content is truncated or exceeds the limit')
    return content
