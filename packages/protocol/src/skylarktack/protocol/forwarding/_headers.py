"""Header fields that concern only one connection.

Source: RFC 9110, section 7.6.1.
"""

from skylarktack.state import forwarding as data

_CONNECTION_BOUND = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def connection_bound_names(headers: data.Headers) -> frozenset[bytes]:
    """Return the names, in lower case, that are not forwarded."""
    named = set(_CONNECTION_BOUND)
    for name, value in headers:
        if name.lower() != b'connection':
            continue
        for token in value.split(b','):
            named.add(token.strip().lower())
    return frozenset(named)


def without_names(
    headers: data.Headers, names: frozenset[bytes]
) -> data.Headers:
    """Return the header fields whose names are not among the given."""
    kept = []
    for name, value in headers:
        if name.lower() in names:
            continue
        kept.append((name, value))
    return tuple(kept)
