"""Splits an event stream into complete events without decoding them.

The format is the event stream of the HTML standard. The bytes of each event
are left unchanged.
"""

import re

from skylarktack.coordination import forwarding

#: Maximum size of one event. An event holds a few tokens.
MAX_EVENT_BYTES = 256 * 1024

#: Longer ids exceed 64 bits.
_EVENT_ID = re.compile(rb'[0-9]{1,18}')

#: A line feed and an empty line after it.
_EVENT_END = re.compile(rb'\n\r?\n')

_ID_FIELD = b'id'
_DATA_FIELD = b'data'

#: The other fields of the standard, whose colon may be missing.
_OTHER_FIELDS = frozenset((b'event', b'retry'))

#: Other fields have to be written in this form.
_EXTENSION_FIELD = re.compile(rb'[a-z][a-z-]*:')


class EventStreamSplitter:
    """Buffers received bytes until an event is complete."""

    def __init__(self) -> None:
        self._partial = b''

    def split(self, received: bytes) -> forwarding.SplitEvents:
        """Return the events that these bytes complete, up to a defect."""
        buffered = self._partial + received
        events: list[forwarding.StreamEvent] = []
        start = 0
        for end in _EVENT_END.finditer(buffered):
            event = _parse_event(buffered[start : end.end()])
            if event is None:
                return forwarding.SplitEvents(
                    tuple(events), 'bytes that are no event with an id'
                )
            events.append(event)
            start = end.end()
        self._partial = buffered[start:]
        defect = None
        if len(self._partial) > MAX_EVENT_BYTES:
            defect = 'an event exceeds the limit'
        return forwarding.SplitEvents(tuple(events), defect)

    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial.strip())


def _parse_event(raw: bytes) -> forwarding.StreamEvent | None:
    """Return an event, or None if these bytes are none.

    Data without an id has no place in the order of the stream, so it could
    be a message of a failing engine.
    """
    event_id: int | None = None
    needs_id = False
    for line in raw.split(b'\n'):
        line = line.removesuffix(b'\r')
        if not line or line.startswith(b':'):
            continue
        name, _, value = line.partition(b':')
        if name == _ID_FIELD:
            event_id = _parse_id(value)
            continue
        if name in _OTHER_FIELDS:
            continue
        if name != _DATA_FIELD and not _EXTENSION_FIELD.match(line):
            return None
        needs_id = True
    if needs_id and event_id is None:
        return None
    return forwarding.StreamEvent(raw, event_id)


def _parse_id(value: bytes) -> int | None:
    text = value.strip()
    return int(text) if _EVENT_ID.fullmatch(text) else None
