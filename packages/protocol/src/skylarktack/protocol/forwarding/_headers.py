"""Header fields of message framing, and hop-by-hop ones (RFC 9110, 7.6.1).

Hop-by-hop fields are not forwarded.
"""

from skylarktack.state import forwarding as data

_HOP_BY_HOP = frozenset(
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

_FRAMING = frozenset((b'content-length', b'transfer-encoding'))


def has_framing(headers: data.Headers) -> bool:
    """Return whether a body has a length or chunks (RFC 9112, 6.3)."""
    return any(name.lower() in _FRAMING for name, _ in headers)


def connection_bound_names(headers: data.Headers) -> frozenset[bytes]:
    """Return the lower-case names of the fields that are not forwarded.

    They include the fields that ``Connection`` lists.
    """
    named = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() != b'connection':
            continue
        for token in value.split(b','):
            named.add(token.strip().lower())
    return frozenset(named)


def without_names(
    headers: data.Headers, names: frozenset[bytes]
) -> data.Headers:
    """Return the header fields except those with the given names.

    :param names: names in lower case.
    """
    kept = []
    for name, value in headers:
        if name.lower() in names:
            continue
        kept.append((name, value))
    return tuple(kept)
