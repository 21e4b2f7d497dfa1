"""Event streams are split without decoding them."""

import hypothesis
from hypothesis import strategies

from skylarktack.protocol import forwarding as messages

STREAM = (
    b'id: 1\ndata: a\n\n'
    b'weight-versions: 3\nid: 2\ndata: b\ndata: c\n\n'
    b': comment\n\n'
    b'id:3\r\ndata: d\r\n\r\n'
    b'id: 4\ndata: e\n\n'
)


class TestEventStreamSplitter:
    """Only whole events pass, in any cut of the bytes."""

    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(STREAM)), max_size=12)
    )
    def test_any_cut_gives_the_same_events(self, cuts: list[int]) -> None:
        """Guards against events that are torn where a read ended."""
        splitter = messages.EventStreamSplitter()
        passed = b''
        ids: list[int] = []
        places = sorted({0, len(STREAM), *cuts})
        for start, end in zip(places, places[1:], strict=False):
            split = splitter.split(STREAM[start:end])
            passed += split.events
            ids.extend(split.ids)
            assert STREAM.startswith(passed)
        assert passed == STREAM
        assert ids == [1, 2, 3, 4]
        assert not splitter.has_partial()

    def test_half_an_event_is_kept_back(self) -> None:
        """Guards against passing on half an event of a lost engine."""
        splitter = messages.EventStreamSplitter()
        split = splitter.split(b'id: 1\ndata: a\n\nid: 2\nda')
        assert split.events == b'id: 1\ndata: a\n\n'
        assert split.ids == (1,)
        assert splitter.has_partial()
