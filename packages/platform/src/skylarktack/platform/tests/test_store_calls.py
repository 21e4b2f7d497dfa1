"""Tests of the era that the store reports in its responses."""

import pytest

from skylarktack import platform
from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding

ERA_FIELD = 'store-era'


class _Responses:
    """Returns responses with the given values of the header."""

    def __init__(self, *eras: str | None) -> None:
        self._eras = list(eras)

    def call(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> forwarding.StoreResponse:
        era = self._eras.pop(0)
        headers = () if era is None else ((ERA_FIELD, era),)
        return forwarding.StoreResponse(503, b'', headers)


def _call_all(
    *eras: str | None,
) -> tuple[list[int | None], fakes.RecordingLog]:
    """Return the era of each response, or None if it counts as lost."""
    log = fakes.RecordingLog()
    calls = platform.TrackedStoreCalls(
        _Responses(*eras), forwarding.StoreEra(log)
    )
    found: list[int | None] = []
    for _ in eras:
        response = calls.call('GET', '/objects/config', None, 1.0)
        if isinstance(response, forwarding.ExchangeFault):
            found.append(None)
            continue
        found.append(response.era)
    return found, log


class TestStoreEras:
    """Each response tells whether the store came back from a copy."""

    @pytest.mark.parametrize(
        ('eras', 'expected', 'restored'),
        [
            (('3', '3'), [3, 3], 0),
            (('3', '4', '4'), [3, 4, 4], 1),
            # A response that was sent before the restore and read after it.
            (('3', '4', '3'), [3, 4, None], 1),
            # Missing or malformed: the era that is known.
            ((None, '2', None), [0, 2, 2], 0),
            (('2', '-1', '', 'two', '9' * 30, '2'), [2] * 6, 0),
            # One odd value, after or before the correct ones.
            (('3', '9', '3', '9', '9', '3'), [3, None, 3, None, None, 3], 0),
            (('9', '3', '3', '3', '3'), [9, None, None, 10, 10], 1),
            (('3', '4', '3', '3', '3', '4'), [3, 4, None, None, 5, 6], 3),
            # Values that agree with none before them.
            (('3', '9', '7', '9', '7', '8'), [3] + [None] * 5, 0),
            # Several restores that this instance has missed.
            (('3', '9', '9', '9', '10'), [3, None, None, 9, 10], 2),
        ],
    )
    def test_era_of_responses(
        self,
        eras: tuple[str | None, ...],
        expected: list[int | None],
        restored: int,
    ) -> None:
        """Guards against using what a store read before it was restored."""
        found, log = _call_all(*eras)
        assert found == expected
        assert len(log.messages('store')) == restored

    def test_responses_to_earlier_calls_are_no_evidence(self) -> None:
        """Guards against late responses that bring the former era back."""
        era = forwarding.StoreEra(fakes.RecordingLog())
        era.record(3)
        late_calls = [era.begin_call() for _ in range(4)]
        era.record(4)
        assert [era.record(3, number) for number in late_calls] == [None] * 4
        assert era.current == 4
