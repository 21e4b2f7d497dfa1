"""Limits on callers across changes of the configuration."""

import dataclasses

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding import _front_limits
from skylarktack.state import forwarding as data

LAG_S = 2.0

SHORT = data.FrontLimits(
    max_header_bytes=1000,
    max_body_bytes=2000,
    header_timeout_ms=100,
    idle_timeout_ms=3000,
)
LONG = data.FrontLimits(
    max_header_bytes=4000,
    max_body_bytes=8000,
    header_timeout_ms=400,
    idle_timeout_ms=12_000,
)


@dataclasses.dataclass(frozen=True)
class _Case:
    """A change from one pair of limits to another."""

    first: data.FrontLimits
    second: data.FrontLimits

    #: When the caller began, before the change if negative.
    began_s: float

    #: Limits that the caller may count on.
    expected: data.FrontLimits


CASES = {
    'raised while the caller waits': _Case(SHORT, LONG, -1.0, LONG),
    'raised long before': _Case(SHORT, LONG, 10.0, LONG),
    'lowered while the caller waits': _Case(LONG, SHORT, -1.0, LONG),
    'lowered just before': _Case(LONG, SHORT, LAG_S - 0.1, LONG),
    'lowered long before': _Case(LONG, SHORT, LAG_S + 0.1, SHORT),
}


@pytest.fixture(name='clock')
def _clock() -> fakes.SteppingClock:
    return fakes.SteppingClock()


@pytest.fixture(name='history')
def _history(clock: fakes.SteppingClock) -> forwarding.FrontLimitHistory:
    return forwarding.FrontLimitHistory(clock, LAG_S)


def _without_lag(limits: data.FrontLimits) -> data.FrontLimits:
    return dataclasses.replace(
        limits, idle_timeout_ms=limits.idle_timeout_ms - 1000 * LAG_S
    )


class TestFrontLimitHistory:
    """A caller may go by any limits that it may know."""

    @pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
    def test_allows_what_a_caller_may_know(
        self,
        case: _Case,
        clock: fakes.SteppingClock,
        history: forwarding.FrontLimitHistory,
    ) -> None:
        """Guards against limits that are kept, or dropped, too early."""
        history.replace(case.first)
        clock.advance(100.0)
        assert history.replace(case.second)
        changed_at_s = clock.monotonic_s()
        clock.advance(50.0)
        allowed = history.allowed_since(changed_at_s + case.began_s)
        assert _without_lag(allowed) == case.expected

    def test_idle_timeout_includes_the_lag(
        self,
        clock: fakes.SteppingClock,
        history: forwarding.FrontLimitHistory,
    ) -> None:
        """Guards against closing while a longer limit is on its way."""
        history.replace(SHORT)
        clock.advance(100.0)
        allowed = history.allowed_since(clock.monotonic_s())
        assert allowed.idle_timeout_ms == SHORT.idle_timeout_ms + 1000 * LAG_S

    def test_equal_limits_are_no_change(
        self, history: forwarding.FrontLimitHistory
    ) -> None:
        """Guards against a history that grows with each configuration."""
        assert history.replace(SHORT)
        assert not history.replace(dataclasses.replace(SHORT))

    def test_many_changes_forget_nothing_that_callers_may_know(
        self,
        clock: fakes.SteppingClock,
        history: forwarding.FrontLimitHistory,
    ) -> None:
        """Guards against a storm of changes that drops the longest limit."""
        began_at_s = clock.monotonic_s()
        history.replace(LONG)
        for number in range(3 * _front_limits.MAX_REPLACED_COUNT):
            clock.advance(0.1)
            history.replace(
                dataclasses.replace(SHORT, max_body_bytes=number + 1)
            )
        allowed = history.allowed_since(began_at_s)
        assert allowed.max_body_bytes >= LONG.max_body_bytes
        assert allowed.idle_timeout_ms >= LONG.idle_timeout_ms
