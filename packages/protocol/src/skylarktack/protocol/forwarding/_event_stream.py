"""Splits an event stream into complete events without decoding them.

The format is the event stream of the HTML standard. The bytes of each event
are left unchanged.
"""

import re

from skylarktack.coordination import forwarding

_ID_FIELD = b'id:'

#: Maximum size of one event. An event holds a few tokens.
MAX_EVENT_BYTES = 256 * 1024

#: Longer ids exceed 64 bits.
_EVENT_ID = re.compile(rb'[0-9]{1,18}')


class EventStreamSplitter:
    """Buffers received bytes until an event is complete."""

    def __init__(self) -> None:
        self._partial = b''

    def split(self, received: bytes) -> forwarding.SplitEvents:
        """Return the events that these bytes complete.

        An event without a numeric id adds nothing to the returned ids.
        """
        buffered = self._partial + received
        end = _end_of_last_event(buffered)
        self._partial = buffered[end:]
        events = buffered[:end]
        ids = []
        for line in events.split(b'\n'):
            if not line.startswith(_ID_FIELD):
                continue
            text = line[len(_ID_FIELD) :].strip()
            if _EVENT_ID.fullmatch(text):
                ids.append(int(text))
        return forwarding.SplitEvents(
            events, tuple(ids), len(self._partial) > MAX_EVENT_BYTES
        )

    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial.strip())


def _end_of_last_event(buffered: bytes) -> int:
    end = buffered.rfind(b'\n\n')
    end_after_crlf = buffered.rfind(b'\r\n\r\n')
    last_end = -1
    if end >= 0:
        last_end = end + 2
    if end_after_crlf >= 0:
        last_end = max(last_end, end_after_crlf + 4)
    return max(last_end, 0)
