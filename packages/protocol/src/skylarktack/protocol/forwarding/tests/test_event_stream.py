"""Tests of splitting event streams."""

import hypothesis
from hypothesis import strategies

from skylarktack.coordination import forwarding
from skylarktack.protocol import forwarding as messages

STREAM = (
    b'id: 1\ndata: a\n\n'
    b'weight-versions: 3\nid: 2\ndata: b\ndata: c\n\n'
    b': comment\n\n'
    b'id:3\r\ndata: d\r\n\r\n'
    b'id: 4\ndata: e\n\n'
)


class TestEventStreamSplitter:
    """Complete events are returned, wherever the reads end."""

    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(STREAM)), max_size=12)
    )
    def test_events_do_not_depend_on_read_boundaries(
        self, read_ends: list[int]
    ) -> None:
        """Guards against events that are torn where a read ends."""
        splitter = messages.EventStreamSplitter()
        forwarded = b''
        ids: list[int] = []
        offsets = sorted({0, len(STREAM), *read_ends})
        for start, end in zip(offsets, offsets[1:], strict=False):
            split = splitter.split(STREAM[start:end])
            assert split.defect is None
            for event in split.events:
                forwarded += event.data
                if event.event_id is not None:
                    ids.append(event.event_id)
            assert STREAM.startswith(forwarded)
        assert forwarded == STREAM
        assert ids == [1, 2, 3, 4]
        assert not splitter.has_partial()

    def test_incomplete_event_is_buffered(self) -> None:
        """Guards against forwarding half an event of a failed engine."""
        splitter = messages.EventStreamSplitter()
        split = splitter.split(b'id: 1\ndata: a\n\nid: 2\nda')
        event = forwarding.StreamEvent(b'id: 1\ndata: a\n\n', 1)
        assert split.events == (event,)
        assert split.defect is None
        assert splitter.has_partial()

    def test_event_without_end_is_oversized(self) -> None:
        """Guards against one event that fills the memory of the instance."""
        splitter = messages.EventStreamSplitter()
        split = splitter.split(b'id: 1\ndata: ')
        total_bytes = 0
        while split.defect is None:
            split = splitter.split(b'x' * 4096)
            total_bytes += 4096
            assert not split.events
            assert total_bytes < 1_000_000

    def test_id_of_many_digits_is_no_id(self) -> None:
        """Guards against an id that fails the conversion to a number."""
        splitter = messages.EventStreamSplitter()
        split = splitter.split(b'id: ' + b'9' * 5000 + b'\ndata: a\n\n')
        assert not split.events
        assert split.defect is not None
