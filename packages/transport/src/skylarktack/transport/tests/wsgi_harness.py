"""Calls a WSGI application without a socket."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import io
from typing import Any
import urllib.parse


@dataclasses.dataclass(frozen=True)
class WsgiAnswer:
    """One answer of an application."""

    #: HTTP status.
    status: int

    #: Headers by lower case name.
    headers: dict[str, str]

    #: Body.
    body: bytes


def call_wsgi(
    application: Callable[[dict[str, Any], Any], Iterable[bytes]],
    method: str,
    path: str,
    body: bytes = b'',
    **headers: str,
) -> WsgiAnswer:
    """Call an application as the server does.

    :param headers: request headers, with ``_`` for ``-``.
    """
    route, _, query = path.partition('?')
    environ: dict[str, Any] = {
        'REQUEST_METHOD': method,
        'PATH_INFO': urllib.parse.unquote(route),
        'QUERY_STRING': query,
        'wsgi.input': io.BytesIO(body),
    }
    for name, value in headers.items():
        key = name.upper()
        if key != 'CONTENT_TYPE':
            key = f'HTTP_{key}'
        environ[key] = value
    heads: list[tuple[str, list[tuple[str, str]]]] = []

    def _start(status: str, sent: list[tuple[str, str]]) -> None:
        heads.append((status, sent))

    parts = application(environ, _start)
    try:
        content = b''.join(parts)
    finally:
        close = getattr(parts, 'close', None)
        if close is not None:
            close()
    status, sent = heads[0]
    return WsgiAnswer(
        int(status.split()[0]),
        {name.lower(): value for name, value in sent},
        content,
    )
