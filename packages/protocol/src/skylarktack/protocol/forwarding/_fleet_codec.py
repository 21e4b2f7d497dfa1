"""Datagrams between instances, in CBOR arrays of fixed order."""

import cbor2

from skylarktack.state import forwarding as data

#: First item of each datagram; other numbers are of other versions.
FORMAT_NUMBER = 1


def encode_report(report: data.FleetReport) -> bytes:
    """Return the datagram of a report."""
    runs = []
    for run in report.runs:
        runs.append(
            (
                run.attempt_id,
                run.subject,
                run.engine,
                run.standby,
                run.is_reading,
                run.has_ended,
            )
        )
    return cbor2.dumps(
        (
            FORMAT_NUMBER,
            report.instance,
            report.endpoint.host,
            report.endpoint.port,
            report.started_at_ms,
            report.sequence,
            report.is_full,
            runs,
            report.lost_targets,
            report.next_report_ms,
        )
    )


def decode_report(datagram: bytes) -> data.FleetReport | None:
    """Return the report of a datagram, or None if it is not one."""
    try:
        fields = cbor2.loads(datagram)
        if fields[0] != FORMAT_NUMBER:
            return None
        runs = []
        for run in fields[7]:
            runs.append(
                data.RunNotice(
                    attempt_id=str(run[0]),
                    subject=str(run[1]),
                    engine=str(run[2]),
                    standby=None if run[3] is None else str(run[3]),
                    is_reading=bool(run[4]),
                    has_ended=bool(run[5]),
                )
            )
        return data.FleetReport(
            instance=str(fields[1]),
            endpoint=data.Endpoint(str(fields[2]), int(fields[3])),
            started_at_ms=int(fields[4]),
            sequence=int(fields[5]),
            is_full=bool(fields[6]),
            runs=tuple(runs),
            lost_targets=tuple(str(name) for name in fields[8]),
            next_report_ms=int(fields[9]),
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError, LookupError):
        return None
