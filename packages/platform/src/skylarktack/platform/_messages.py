"""Translation of the platform's HTTP headers and status codes.

Each header name is defined in this module only. ``Replica-Signature`` is a
signature of the response that only the target can create; the front end
forwards it and never verifies it.
"""

from collections.abc import Callable
import json
import math
import re
import time
from urllib import parse

from skylarktack import protocol
from skylarktack.platform import _fields
from skylarktack.protocol import forwarding as messages
from skylarktack.state import forwarding as data

_ATTEMPT_ID = b'attempt-id'
_DEADLINE = b'deadline-ms'
_KEY = b'key'
_LAST_EVENT = b'last-event-id'
_MODEL = b'model'
_TOKEN_USAGE = b'token-usage'
_PROMPT_PREFIX = b'prompt-prefix'
_SIGNATURE = b'replica-signature'
_NOT_EXECUTED = b'not-executed'
_LOAD = b'replica-load'
_ENCODING = b'content-encoding'
_LEAVING = b'server-leaving'
_RETRY_AFTER = b'retry-after'
_CONTENT_TYPE = b'content-type'

_EVENT_STREAM = b'text/event-stream'

#: Figures of a load that must be there, and the largest slowdown that is
#: taken over.
LOAD_COUNT = 3
MAX_SLOWDOWN = 100.0

#: Bytes of an unusable load header that are logged.
MAX_DEFECT_BYTES = 64

#: Header fields that are not forwarded from the caller: those that only the
#: front end may set, and those that it sets again for each target.
_RESERVED_NAMES = frozenset(
    (
        _DEADLINE,
        _KEY,
        _LAST_EVENT,
        b'content-length',
        b'expected-replica',
        b'expected-version',
        b'hold',
        b'kv-backup',
        b'kv-fetch',
        b'kv-from',
        b'pin-ms',
        b'request-priority',
        b'tenant',
    )
)

_STATUS_BY_REASON = {
    data.RefusalReason.NO_CONFIGURATION: 503,
    data.RefusalReason.NO_ROUTE: 404,
    data.RefusalReason.UNKNOWN_KEY: 401,
    data.RefusalReason.BAD_REQUEST: 400,
    data.RefusalReason.HEADER_TOO_LARGE: 431,
    data.RefusalReason.BODY_TOO_LARGE: 413,
    data.RefusalReason.READ_TIMEOUT: 408,
    data.RefusalReason.NO_TARGET: 503,
    data.RefusalReason.PROMPT_QUARANTINED: 503,
    data.RefusalReason.MEMORY_FULL: 503,
    data.RefusalReason.OVER_SHARE: 503,
    data.RefusalReason.STOPPING: 503,
    data.RefusalReason.TIME_UP_NOT_RUN: 503,
    data.RefusalReason.TIME_UP: 504,
    data.RefusalReason.TARGET_FAILED: 502,
    data.RefusalReason.INTERNAL_ERROR: 502,
    data.RefusalReason.INTERNAL_ERROR_NOT_RUN: 503,
}

_PROBE_PATH = b'/report'
_CACHED_PARTS_PATH = b'/kv-list'

#: A handle is sent in a header field, so it is one word of ASCII.
_HANDLE = re.compile(r'[!-~]{1,256}')

#: Counts have at most 15 ASCII digits, so that they are exact in JSON too.
_COUNT = re.compile(rb'[0-9]{1,15}')


class PlatformMessageCodec:
    """Translates between the platform's HTTP messages and typed ones."""

    def __init__(
        self, read_wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._read_wall_clock = read_wall_clock

    def decode_request(
        self, head: data.RequestHead, body: bytes, has_body: bool
    ) -> data.FrontRequest | data.Refusal:
        """Return the request of a caller, or the refusal of a bad one."""
        values = _first_values(head.headers)
        tokens = _parse_counts(values.get(_TOKEN_USAGE, b''))
        dropped = (
            messages.connection_bound_names(head.headers) | _RESERVED_NAMES
        )
        time_limit = values.get(_DEADLINE)
        time_limit_ms = (
            None if time_limit is None else _parse_time_limit(time_limit)
        )
        if time_limit is not None and time_limit_ms is None:
            return data.Refusal(
                data.RefusalReason.BAD_REQUEST,
                detail='header deadline-ms is not a number',
            )
        return data.FrontRequest(
            attempt_id=_decode_text(values.get(_ATTEMPT_ID)) or '',
            method=head.method,
            path=head.target,
            host=_decode_host(values.get(b'host', b'')),
            headers=messages.without_names(head.headers, dropped),
            body=body,
            has_body=has_body,
            time_limit_ms=time_limit_ms,
            key=_decode_text(values.get(_KEY)),
            last_event_id=_parse_count(values.get(_LAST_EVENT, b'')),
            model=_decode_text(values.get(_MODEL)),
            prompt_parts=_decode_prompt_parts(values.get(_PROMPT_PREFIX, b'')),
            prompt_tokens=tokens[0] if tokens else 0,
            output_tokens=tokens[1] if len(tokens) > 1 else 0,
        )

    def encode_request(
        self, request: data.FrontRequest, delivery: data.DispatchContext
    ) -> data.Headers:
        """Return the header fields of the request to a target."""
        target = delivery.target
        headers = list(request.headers)
        headers.append((b'Expected-Replica', target.name.encode()))
        if delivery.time_left_ms is not None:
            left_ms = max(1, int(delivery.time_left_ms))
            headers.append((b'Deadline-Ms', str(left_ms).encode()))
        if delivery.organisation is not None:
            headers.append((b'Tenant', delivery.organisation.encode()))
        if delivery.last_event_id is not None:
            last_event = str(delivery.last_event_id).encode()
            headers.append((b'Last-Event-Id', last_event))
        if delivery.standby is not None:
            headers.append((b'Kv-Backup', str(delivery.standby).encode()))
        if delivery.priority is not None:
            headers.append(
                (b'Request-Priority', str(delivery.priority).encode())
            )
        if delivery.copy is not None:
            # A copy that an engine keeps by itself is named after the attempt.
            source = delivery.copy.source or target.endpoint
            handle = delivery.copy.handle or request.attempt_id
            headers.append((b'Kv-From', f'{source}/{handle}'.encode()))
        return tuple(headers)

    def decode_response(
        self, status: int, headers: data.Headers
    ) -> data.ResponseHead:
        """Return the head of a target's response."""
        values = _first_values(headers)
        media_type = values.get(_CONTENT_TYPE, _EVENT_STREAM)
        load = _decode_load(values.get(_LOAD, b''))
        return data.ResponseHead(
            status=status,
            headers=headers,
            attempt_id=_decode_text(values.get(_ATTEMPT_ID)),
            is_signed=_SIGNATURE in values,
            is_not_executed=_NOT_EXECUTED in values,
            is_encoded=_ENCODING in values,
            load=load,
            is_leaving=values.get(_LEAVING) == b'1',
            retry_after_s=_parse_retry_after(
                values.get(_RETRY_AFTER, b''), self._read_wall_clock()
            ),
            has_other_content=(
                media_type.partition(b';')[0].strip().lower() != _EVENT_STREAM
            ),
            ends_with_connection=not messages.has_framing(headers),
            load_defect=_find_load_defect(values.get(_LOAD), load),
        )

    def encode_refusal(self, refusal: data.Refusal) -> data.FrontResponse:
        """Return the response that a refused caller receives."""
        headers: list[tuple[bytes, bytes]] = [
            (b'Content-Type', b'text/plain; charset=utf-8')
        ]
        if refusal.retry_after_s is not None:
            seconds = f'{refusal.retry_after_s:g}'.encode()
            headers.append((b'Retry-After', seconds))
        return data.FrontResponse(
            _STATUS_BY_REASON[refusal.reason],
            tuple(headers),
            f'{refusal.reason.value}\n'.encode(),
        )

    def encode_copy_order(self, order: data.CopyOrder) -> data.RequestMessage:
        """Return the request that asks an engine to copy a run."""
        body = {
            'identifier': order.attempt_id,
            'target': str(order.destination),
            'is_last': False,
        }
        return data.RequestMessage(
            b'POST',
            b'/kv-move',
            (
                (b'Host', str(order.engine.endpoint).encode()),
                (b'Expected-Replica', order.engine.name.encode()),
                (b'Content-Type', b'application/json'),
            ),
            json.dumps(body).encode(),
        )

    def decode_copy(self, body: bytes) -> str | None:
        """Return the handle of a copy, or None if it is malformed."""
        try:
            decoded = protocol.decode_json(body)
        except ValueError:
            return None
        reader = _fields.FieldReader.from_document('copy', decoded, [])
        handle = reader.text('kv_handle')
        return handle if _HANDLE.fullmatch(handle) else None

    def encode_copy_release(
        self, engine: data.ListedTarget, handle: str
    ) -> data.RequestMessage:
        """Return the request that frees a copy at both engines."""
        path = parse.quote(handle, safe='')
        return data.RequestMessage(
            b'DELETE',
            f'/kv-handle/{path}'.encode(),
            (
                (b'Host', str(engine.endpoint).encode()),
                (b'Expected-Replica', engine.name.encode()),
            ),
            b'',
        )

    def cached_parts_path(self) -> bytes:
        """Return the path at which an engine lists its cached parts."""
        return _CACHED_PARTS_PATH

    def decode_cached_parts(self, body: bytes) -> frozenset[str]:
        """Return the ids of cached parts; malformed entries are skipped."""
        try:
            decoded = protocol.decode_json(body)
        except ValueError:
            return frozenset()
        held = decoded.get('held') if isinstance(decoded, dict) else None
        if not isinstance(held, list):
            return frozenset()
        part_ids = []
        for entry in held:
            # An entry holds an empty text, the id, tokens and the model.
            if not isinstance(entry, list) or len(entry) < 2:
                continue
            if isinstance(entry[1], str):
                part_ids.append(entry[1])
        return frozenset(part_ids)

    def probe_path(self) -> bytes:
        """Return the path at which a target reports its load."""
        return _PROBE_PATH

    def decode_report(self, body: bytes) -> data.TargetReport | None:
        """Return a target's report on itself, or None if it is malformed."""
        try:
            decoded = protocol.decode_json(body)
        except ValueError:
            return None
        reader = _fields.FieldReader.from_document('report', decoded, [])
        queued_count = reader.optional_integer('queued_requests') or 0
        started_at_ms = reader.optional_integer('born')
        used_tokens = reader.optional_integer('kv_used_tokens')
        if reader.findings:
            return None
        return data.TargetReport(
            queued_count, started_at_ms, used_tokens=used_tokens
        )


def _first_values(headers: data.Headers) -> dict[bytes, bytes]:
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        values.setdefault(name.lower(), value.strip())
    return values


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _parse_time_limit(value: bytes) -> float | None:
    try:
        limit_ms = float(value)
    except ValueError:
        return None
    return max(0.0, limit_ms) if math.isfinite(limit_ms) else None


def _parse_retry_after(value: bytes, wall_s: float) -> float | None:
    """Return the delay in a ``Retry-After`` field (RFC 9110, 10.2.3).

    Fractions of a second are accepted beside the standard's whole seconds
    and dates. Anything else, and a negative or infinite delay, is None.
    """
    text = value.decode('latin-1')
    try:
        delay_s = float(text)
    except ValueError:
        return _parse_retry_date(text, wall_s)
    return delay_s if 0 <= delay_s < math.inf else None


def _parse_retry_date(text: str, wall_s: float) -> float | None:
    if not text:
        return None
    # Imported here because dates are rare, and the import would slow down
    # each start of an instance.
    from email import utils

    try:
        delay_s = utils.parsedate_to_datetime(text).timestamp() - wall_s
    except (ValueError, OverflowError, IndexError, TypeError):
        return None
    return max(0.0, delay_s)


def _parse_count(value: bytes) -> int | None:
    return int(value) if _COUNT.fullmatch(value) else None


def _parse_counts(value: bytes) -> tuple[int, ...]:
    """Return the counts in a list separated by commas; others are skipped."""
    counts = []
    for text in value.split(b','):
        count = _parse_count(text.strip())
        if count is not None:
            counts.append(count)
    return tuple(counts)


def _decode_host(value: bytes) -> str:
    name, separator, port = value.lower().rpartition(b':')
    if separator and port.isdigit():
        return name.decode('latin-1')
    return value.decode('latin-1').lower()


def _decode_prompt_parts(value: bytes) -> tuple[data.PromptPart, ...]:
    parts = []
    for entry in value.split(b','):
        part_id, _, tokens = entry.strip().partition(b':')
        token_count = _parse_count(tokens)
        if token_count is not None:
            parts.append(
                data.PromptPart(part_id.decode('latin-1'), token_count)
            )
    return tuple(parts)


def _decode_load(value: bytes) -> data.TargetLoad | None:
    """Return the load; figures behind the known ones are ignored.

    None if one of the first three is not a count. The fourth, in per cent,
    is left out if it is unusable.
    """
    texts = value.split(b',')
    counts = [_parse_count(text.strip()) for text in texts[:4]]
    if len(counts) < LOAD_COUNT or None in counts[:LOAD_COUNT]:
        return None
    running_count, waiting_count, slot_count = counts[:LOAD_COUNT]
    slowdown = None
    if len(counts) > LOAD_COUNT and counts[LOAD_COUNT]:
        slowdown = min(MAX_SLOWDOWN, (counts[LOAD_COUNT] or 0) / 100)
    return data.TargetLoad(
        running_count or 0, waiting_count or 0, slot_count or 0, slowdown
    )


def _find_load_defect(
    value: bytes | None, load: data.TargetLoad | None
) -> str | None:
    """Return the start of a load header whose figures were not all usable."""
    if value is None:
        return None
    has_slowdown = value.count(b',') >= LOAD_COUNT
    if load is not None and (load.slowdown is not None or not has_slowdown):
        return None
    return value[:MAX_DEFECT_BYTES].decode('latin-1')
