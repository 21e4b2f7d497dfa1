"""A caller of generations, for tests, the demo and load."""

import dataclasses
import http.client
import json
import time

from skylarktack import state


@dataclasses.dataclass(frozen=True)
class ReceivedAnswer:
    """What a caller received on one connection."""

    #: Request identifier from the response's header.
    request_id: str

    #: HTTP status.
    status: int

    #: Tokens in the order of their events.
    tokens: tuple[str, ...]

    #: Event id of each token.
    event_ids: tuple[str, ...]

    #: Time of arrival of each token, in monotonic seconds.
    arrivals_s: tuple[float, ...]

    #: Fields of the end event, or None if the stream broke off.
    end: dict[str, object] | None

    #: Fields of the typed error, or None.
    error: dict[str, object] | None

    #: Whether the instance asked the caller to resume elsewhere.
    handed_over: bool = False

    #: Whether the answer began again on this connection.
    restarted: bool = False

    #: Newest event id, also that of a handover, or None.
    last_event_id: str | None = None

    @property
    def text(self) -> str:
        """The whole text."""
        return ''.join(self.tokens)

    @property
    def longest_pause_ms(self) -> float:
        """Longest time between two tokens."""
        longest_s = 0.0
        for before_s, after_s in zip(
            self.arrivals_s, self.arrivals_s[1:], strict=False
        ):
            longest_s = max(longest_s, after_s - before_s)
        return longest_s * 1000


def generate(
    address: state.Address,
    route: str,
    key: str,
    body: dict[str, object],
    last_event_id: str | None = None,
    timeout_s: float = 30.0,
) -> ReceivedAnswer:
    """Post a streamed generation and read it to its end."""
    return _stream(
        address,
        'POST',
        f'/v1/generate/{route}',
        key,
        json.dumps(body).encode(),
        last_event_id,
        timeout_s,
    )


def fetch_generation(
    address: state.Address,
    request_id: str,
    key: str,
    last_event_id: str | None = None,
    timeout_s: float = 30.0,
) -> ReceivedAnswer:
    """Attach to a generation that was posted before."""
    return _stream(
        address,
        'GET',
        f'/v1/generations/{request_id}',
        key,
        None,
        last_event_id,
        timeout_s,
    )


def _stream(
    address: state.Address,
    method: str,
    path: str,
    key: str,
    body: bytes | None,
    last_event_id: str | None,
    timeout_s: float,
) -> ReceivedAnswer:
    headers = {
        'Authorization': f'Bearer {key}',
        'Content-Type': 'application/json',
    }
    if last_event_id is not None:
        headers['Last-Event-ID'] = last_event_id
    tokens: list[str] = []
    event_ids: list[str] = []
    arrivals_s: list[float] = []
    end: dict[str, object] | None = None
    error: dict[str, object] | None = None
    status = 0
    request_id = ''
    handed_over = False
    restarted = False
    event_id = ''
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_s
    )
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        status = response.status
        request_id = response.getheader('Skylarktack-Request-Id') or ''
        if status != 200:
            error = json.loads(response.read())['error']
        name = ''
        while status == 200:
            line = response.readline().rstrip(b'\n')
            if line.startswith(b'id: '):
                event_id = line[4:].decode()
                continue
            if line.startswith(b'event: '):
                name = line[7:].decode()
                continue
            if line.startswith(b'data: '):
                data = json.loads(line[6:])
                if name == 'end':
                    end = data
                    break
                if name == 'handover':
                    handed_over = True
                    break
                if name == 'restart':
                    restarted = True
                    name = ''
                    tokens.clear()
                    event_ids.clear()
                    event_id = ''
                    arrivals_s.clear()
                    continue
                if name == 'error':
                    error = data['error']
                    break
                tokens.append(data)
                event_ids.append(event_id)
                arrivals_s.append(time.monotonic())
                continue
            if not line and response.isclosed():
                break
    except (OSError, http.client.HTTPException):
        # A broken connection leaves ``end`` and ``error`` empty.
        pass
    finally:
        connection.close()
    return ReceivedAnswer(
        request_id=request_id,
        status=status,
        tokens=tuple(tokens),
        event_ids=tuple(event_ids),
        arrivals_s=tuple(arrivals_s),
        end=end,
        error=error,
        handed_over=handed_over,
        restarted=restarted,
        last_event_id=event_id or None,
    )
