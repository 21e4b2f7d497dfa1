"""A caller that resumes wherever an instance still serves."""

import dataclasses
import threading
import time

from skylarktack import state
from skylarktack.emulator import _caller

#: Time between two attempts to reach an instance.
RETRY_S = 0.02

#: Longest time without any progress before the caller gives up.
GIVE_UP_S = 20.0

#: Errors after which another instance may still complete the answer.
PASSING_CODES = ('stopping', 'not_ready', 'no_target')


#: Errors after which a caller who already holds tokens tries again.
BUSY_CODES = ('limit_reached', 'queue_deadline')


@dataclasses.dataclass(frozen=True)
class ResumedAnswer:
    """What a caller received over as many connections as it took."""

    #: The answer, joined.
    answer: _caller.ReceivedAnswer

    #: Connections that brought tokens or an end.
    connection_count: int

    #: Connections that ended with a handover.
    handover_count: int


def generate_resumed(
    addresses: list[state.Address],
    route: str,
    key: str,
    body: dict[str, object],
    sends_delivered: bool = True,
) -> ResumedAnswer:
    """Post a generation and resume it elsewhere when a connection ends.

    :param addresses: instances in the order in which they are tried.
    :param sends_delivered: whether the caller sends back what it holds.
    """
    received: list[_caller.ReceivedAnswer] = []
    tokens: list[str] = []
    waiting = threading.Event()
    last_s = time.monotonic()
    attempt_index = 0
    while True:
        event_id = _newest_event_id(received)
        posted = dict(body)
        if tokens and sends_delivered:
            posted['delivered'] = tokens
        part = _caller.generate(
            addresses[attempt_index % len(addresses)],
            route,
            key,
            posted,
            event_id,
        )
        if part.restarted:
            received.clear()
            tokens.clear()
        if part.tokens or part.end is not None:
            last_s = time.monotonic()
        if part.request_id and part.status == 200:
            body = {**body, 'request_id': part.request_id}
        received.append(part)
        tokens.extend(part.tokens)
        codes = PASSING_CODES + (BUSY_CODES if tokens else ())
        final = part.end is not None or (
            part.error is not None and part.error.get('code') not in codes
        )
        if final or time.monotonic() - last_s > GIVE_UP_S:
            return _joined(received)
        attempt_index += 1
        waiting.wait(RETRY_S)


def _newest_event_id(
    received: list[_caller.ReceivedAnswer],
) -> str | None:
    for part in reversed(received):
        if part.last_event_id is not None:
            return part.last_event_id
    return None


def _joined(received: list[_caller.ReceivedAnswer]) -> ResumedAnswer:
    last = received[-1]
    joined = dataclasses.replace(
        last,
        tokens=tuple(text for part in received for text in part.tokens),
        event_ids=tuple(at for part in received for at in part.event_ids),
        arrivals_s=tuple(at for part in received for at in part.arrivals_s),
    )
    used_count = 0
    handover_count = 0
    for part in received:
        if part.tokens or part.end is not None:
            used_count += 1
        if part.handed_over:
            handover_count += 1
    return ResumedAnswer(joined, used_count, handover_count)
