"""A short seeded soak, and the seeds that failed before."""

import pytest

from skylarktack.emulator import soak

#: Small enough for each run of the tests.
SHAPE = soak.SoakShape(
    instance_count=2, engine_count=3, service_count=2, length_s=5.0
)

SEEDS = (11, *(regression.seed for regression in soak.REGRESSIONS))


class TestSoak:
    """The promises hold while faults come in series and overlap."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_keeps_every_promise(self, seed: int) -> None:
        """Guards against faults that only show together."""
        result = soak.run_seed(seed, SHAPE)
        broken = [
            f'{promise.name}: {what}'
            for promise in result.promises
            for what in promise.broken
        ]
        assert not broken
        assert result.served_count > 0


class TestSchedule:
    """The schedule comes from the seed alone."""

    def test_is_drawn_from_the_seed(self) -> None:
        """Guards against a failing seed that cannot be repeated."""
        first = soak.draw_schedule(7, soak.SoakShape())
        assert first == soak.draw_schedule(7, soak.SoakShape())
        assert first != soak.draw_schedule(8, soak.SoakShape())

    def test_draws_every_kind(self) -> None:
        """Guards against a fault that is never injected."""
        kinds = set()
        for seed in range(100):
            for injection in soak.draw_schedule(seed, soak.SoakShape()):
                kinds.add(injection.kind)
        assert kinds == set(soak.InjectionKind)
