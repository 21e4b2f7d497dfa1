"""Tests of the division of a capacity among organisations and urgencies."""

import math
import random

import pytest

from skylarktack.coordination.forwarding import _fair_shares


class TestFairLevel:
    """Shares of organisations by their demand."""

    @pytest.mark.parametrize(
        ('capacity', 'demands', 'shares'),
        [
            (100.0, (10.0, 20.0), (10.0, 20.0)),
            (100.0, (10.0, 30.0, 200.0), (10.0, 30.0, 60.0)),
            (90.0, (60.0, 60.0, 60.0), (30.0, 30.0, 30.0)),
            # A quarter of 100 / 1050 of the large demand is more than a level.
            (105.0, (1000.0, *[5.0] * 10), (105.0 - 50.0, *[5.0] * 10)),
            (50.0, (1000.0, *[10.0] * 10), (12.5 / 1.1, *[42.5 / 11] * 10)),
            (0.0, (5.0, 10.0), (0.0, 0.0)),
            (-5.0, (5.0,), (0.0,)),
            (5.0, (), ()),
        ],
    )
    def test_shares(
        self,
        capacity: float,
        demands: tuple[float, ...],
        shares: tuple[float, ...],
    ) -> None:
        """Guards against one organisation's excess at the cost of others."""
        level = _fair_shares.fair_level(capacity, demands)
        served = [level.fraction_of(one) * one for one in demands]
        assert served == pytest.approx(shares, rel=0.04)

    def test_shares_use_the_capacity_and_leave_nobody_out(self) -> None:
        """Guards against refusals that are not needed, and starvation."""
        draw = random.Random(1)
        for _ in range(300):
            demands = [10 ** draw.uniform(-2, 4) for _ in range(30)]
            capacity = draw.uniform(0.01, 0.99) * math.fsum(demands)
            level = _fair_shares.fair_level(capacity, demands)
            fractions = [level.fraction_of(one) for one in demands]
            served = math.fsum(
                part * one
                for part, one in zip(fractions, demands, strict=True)
            )
            assert served == pytest.approx(capacity)
            of_all = capacity / math.fsum(demands)
            assert min(fractions) >= 0.25 * of_all * (1 - 1e-9)


class TestUrgencies:
    """Shares of urgent and less urgent requests of one organisation."""

    @pytest.mark.parametrize('fraction', [0.15, 0.3, 0.6, 0.95])
    def test_urgent_requests_come_first(self, fraction: float) -> None:
        """Guards against urgent requests served less often than others."""
        counts = {2: 50.0, 0: 20.0, 1: 30.0}
        parts = _fair_shares.fractions_by_priority(fraction, 0.1, counts)
        assert parts[0] >= parts[1] >= parts[2] >= 0.1
        assert parts[2] >= 0.25 * fraction
        assert parts[0] == pytest.approx(1.0) or parts[0] > 2 * parts[2]
        served = math.fsum(parts[one] * counts[one] for one in counts)
        assert served == pytest.approx(100 * fraction)
