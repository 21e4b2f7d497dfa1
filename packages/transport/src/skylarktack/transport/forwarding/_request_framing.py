"""What the head of a request says about its body."""

import h11

from skylarktack.state import forwarding as data

#: Maximum number of header fields. A field takes over 100 bytes of memory
#: beside its text, so a head of short ones would take many times its size.
MAX_FIELD_COUNT = 256

_HEADER_TOO_LARGE_STATUS = 431


def bad_request(error: h11.RemoteProtocolError) -> data.Refusal:
    """Return the refusal of a request that violates HTTP."""
    if error.error_status_hint == _HEADER_TOO_LARGE_STATUS:
        return data.Refusal(
            data.RefusalReason.HEADER_TOO_LARGE, detail=str(error)
        )
    return data.Refusal(data.RefusalReason.BAD_REQUEST, detail=str(error))


def has_body(headers: data.Headers) -> bool:
    """Return whether the head announces a body."""
    for name, _ in headers:
        if name.lower() in (b'content-length', b'transfer-encoding'):
            return True
    return False


def is_chunked(headers: data.Headers) -> bool:
    """Return whether the body comes in chunks, the only transfer coding."""
    return any(name.lower() == b'transfer-encoding' for name, _ in headers)


def content_length(head: data.RequestHead) -> int:
    """Return the length of a body, or 0 if it comes in chunks."""
    for name, value in head.headers:
        if name.lower() == b'content-length':
            return int(value)
    return 0


def has_conflicting_lengths(headers: data.Headers) -> bool:
    """Return whether the end of the body is ambiguous (RFC 9112, 6.1)."""
    names = [name.lower() for name, _ in headers]
    return b'content-length' in names and b'transfer-encoding' in names
