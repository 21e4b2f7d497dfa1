"""A short seeded soak, and the seeds that failed before."""

import dataclasses

import pytest

from skylarktack.emulator import platform
from skylarktack.emulator import soak

#: Small enough for each run of the tests.
SHAPE = soak.SoakShape(
    instance_count=2, engine_count=3, service_count=2, length_s=5.0
)

#: Enough instances that a few of them follow the store for all.
SHARED_SEED = 1136
SHARED_SHAPE = dataclasses.replace(SHAPE, instance_count=14)

SEED = 11

#: A seed with each kind of load.
LOAD_SEED = 58
LOAD_SHAPE = dataclasses.replace(SHAPE, load_gap_s=1.0)

#: A seed with several series of signals, and silences of engines beside them.
SIGNAL_SEED = 3
SIGNAL_SHAPE = dataclasses.replace(SHAPE, signal_gap_s=0.7)

#: A seed with each kind of change, and nothing else, so that no stream may
#: break off.
CHANGE_SEED = 30
CHANGE_SHAPE = dataclasses.replace(
    SHAPE, instance_count=3, gap_s=None, length_s=8.0, change_gap_s=0.8
)

#: All that can be injected.
FULL_SHAPE = dataclasses.replace(
    LOAD_SHAPE,
    signal_gap_s=0.7,
    change_gap_s=0.7,
    restore_gap_s=1.0,
    fleet_gap_s=1.0,
)


def _assert_kept(result: soak.SoakResult) -> None:
    broken = [
        f'{promise.name}: {what}'
        for promise in result.promises
        for what in promise.broken
    ]
    assert not broken
    assert result.served_count > 0


class TestSoak:
    """The promises hold while faults come in series and overlap."""

    def test_keeps_every_promise(self) -> None:
        """Guards against faults that only show together."""
        _assert_kept(soak.run_seed(SEED, SHAPE))

    @pytest.mark.parametrize(
        'regression', soak.REGRESSIONS, ids=lambda each: str(each.seed)
    )
    def test_keeps_what_once_broke(self, regression: soak.Regression) -> None:
        """Guards against the return of a fault that a seed once showed."""
        _assert_kept(soak.run_seed(regression.seed, regression.shape))

    def test_keeps_every_promise_with_shared_watches(self) -> None:
        """Guards against instances that rely on one that is gone.

        The seed has an outage, lost history and a kill of all.
        """
        _assert_kept(soak.run_seed(SHARED_SEED, SHARED_SHAPE))

    def test_keeps_every_promise_at_the_bounds(self) -> None:
        """Guards against a bound that is passed only beside faults."""
        drawn = soak.draw_schedule(LOAD_SEED, LOAD_SHAPE)
        kinds = {injection.kind for injection in drawn}
        assert kinds >= set(soak.LOAD_KINDS)
        _assert_kept(soak.run_seed(LOAD_SEED, LOAD_SHAPE))

    def test_keeps_every_promise_with_signals(self) -> None:
        """Guards against an instance that does not stop when told to."""
        drawn = soak.draw_schedule(SIGNAL_SEED, SIGNAL_SHAPE)
        kinds = {injection.kind for injection in drawn}
        assert kinds >= set(soak.SIGNAL_KINDS)
        _assert_kept(soak.run_seed(SIGNAL_SEED, SIGNAL_SHAPE))

    def test_answers_kept_connections_beside_changes(self) -> None:
        """Guards against a request that is dropped beside a change."""
        drawn = soak.draw_schedule(CHANGE_SEED, CHANGE_SHAPE)
        kinds = {injection.kind for injection in drawn}
        assert kinds >= set(soak.CHANGE_KINDS)
        _assert_kept(soak.run_seed(CHANGE_SEED, CHANGE_SHAPE))


class TestCheckers:
    """The checkers look at the right moment."""

    def test_an_order_is_open_beside_the_verdict_on_another(self) -> None:
        """Guards against a version that is checked while it is on trial.

        The store keeps the status of the earlier order in the object.
        """
        with platform.PlatformDeployment(0, 1, 1) as deployment:
            deployment.order_move('desk', 'v2', 4.0)
            assert not deployment.has_move_ended('desk')
            deployment.store.put_status(
                'rollouts', 'desk', None, {'state': 'reverted', 'target': 'v2'}
            )
            assert deployment.has_move_ended('desk')
            deployment.order_move('desk', 'v3', 4.0)
            assert not deployment.has_move_ended('desk')

    @pytest.mark.parametrize(
        'status, route, at_s, is_broken',
        [
            (404, 'r2', 12.4, False),
            (404, 'r2', 12.6, True),
            (503, 'r2', 12.6, False),
            (404, 'r2', 29.9, True),
            (404, 'r2', 30.1, False),
            (404, 'r2', 34.4, False),
            (404, 'r2', 34.6, True),
            (404, 'r1', 30.1, True),
        ],
    )
    def test_a_late_denial_of_a_confirmed_route_shows(
        self, status: int, route: str, at_s: float, is_broken: bool
    ) -> None:
        """Guards against a missed change that no checker sees."""
        call = soak.CallRecord(
            platform.Attempt(route, 'attempt'),
            'instance-0',
            1,
            at_s,
            at_s + 0.1,
            platform.Answer(status, b'', {}),
        )
        evidence = soak.Evidence(
            (call,),
            (),
            (),
            {'r1': 0.0, 'r2': 10.0},
            (soak.UnknownTime(frozenset(('r2',)), 30.0, 32.0),),
        )
        broken = [
            promise.name
            for promise in soak.check_all(evidence)
            if promise.broken
        ]
        name = 'a route that was confirmed is not denied later'
        assert broken == [name] * is_broken


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
            for injection in soak.draw_schedule(seed, FULL_SHAPE):
                kinds.add(injection.kind)
        assert kinds == set(soak.InjectionKind)

    @pytest.mark.parametrize(
        'added, shape',
        [
            (
                soak.LOAD_KINDS
                + soak.SIGNAL_KINDS
                + soak.CHANGE_KINDS
                + soak.RESTORE_KINDS
                + soak.FLEET_KINDS,
                SHAPE,
            ),
            (
                soak.CHANGE_KINDS + soak.RESTORE_KINDS + soak.FLEET_KINDS,
                dataclasses.replace(
                    FULL_SHAPE,
                    change_gap_s=None,
                    restore_gap_s=None,
                    fleet_gap_s=None,
                ),
            ),
            (
                soak.RESTORE_KINDS + soak.FLEET_KINDS,
                dataclasses.replace(
                    FULL_SHAPE, restore_gap_s=None, fleet_gap_s=None
                ),
            ),
            (
                soak.FLEET_KINDS,
                dataclasses.replace(FULL_SHAPE, fleet_gap_s=None),
            ),
        ],
        ids=[
            'faults',
            'faults, loads and signals',
            'faults, loads, signals and changes',
            'all but changes beside several instances',
        ],
    )
    def test_other_kinds_do_not_change_the_schedule(
        self,
        added: tuple[soak.InjectionKind, ...],
        shape: soak.SoakShape,
    ) -> None:
        """Guards against kept seeds that no longer show what they showed."""
        kept = tuple(
            injection
            for injection in soak.draw_schedule(SEED, FULL_SHAPE)
            if injection.kind not in added
        )
        assert kept == soak.draw_schedule(SEED, shape)
