"""Splits an event stream into whole events without decoding them.

Source: the event stream format of the HTML standard, with the bytes of each
event left as they are.
"""

from skylarktack.coordination import forwarding

_ID_FIELD = b'id:'


class EventStreamSplitter:
    """Gathers bytes until events are complete."""

    def __init__(self) -> None:
        self._partial = b''

    def split(self, received: bytes) -> forwarding.SplitEvents:
        """Return the whole events that are complete with these bytes.

        An event without a readable id takes no place among the ids.
        """
        gathered = self._partial + received
        end = _end_of_last_event(gathered)
        self._partial = gathered[end:]
        events = gathered[:end]
        ids = []
        for line in events.split(b'\n'):
            if not line.startswith(_ID_FIELD):
                continue
            text = line[len(_ID_FIELD) :].strip()
            if text.isdigit():
                ids.append(int(text))
        return forwarding.SplitEvents(events, tuple(ids))

    def has_partial(self) -> bool:
        """Return whether part of an event is waiting for its rest."""
        return bool(self._partial.strip())


def _end_of_last_event(gathered: bytes) -> int:
    end = gathered.rfind(b'\n\n')
    end_after_returns = gathered.rfind(b'\r\n\r\n')
    best = -1
    if end >= 0:
        best = end + 2
    if end_after_returns >= 0:
        best = max(best, end_after_returns + 4)
    return max(best, 0)
