"""Hop-by-hop header fields, which are not forwarded.

Source: RFC 9110, section 7.6.1.
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
