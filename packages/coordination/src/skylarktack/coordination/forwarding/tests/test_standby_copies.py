"""Tests of replacing the copy of a run whose standby engine is lost."""

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data

HANDLE = b'handle-1'


def _copy_script(
    status: int = 200, after_s: float = 0.2, handle: bytes = HANDLE
) -> tuple[fakes.ScriptedEvent, ...]:
    events = [fakes.ScriptedEvent(after_s, harness.head(status))]
    if handle:
        chunk = forwarding.BodyChunk(handle)
        events.append(fakes.ScriptedEvent(after_s, chunk))
    events.append(fakes.ScriptedEvent(after_s, forwarding.ResponseEnd()))
    return tuple(events)


def _make_engines() -> harness.Harness:
    """Return a harness that places a run at ``a`` and its copy at ``b``."""
    env = harness.make_harness(
        harness.target('a'),
        harness.target('b', 'domain-b'),
        harness.target('c', 'domain-c'),
    )
    for name, count in (('b', 1), ('c', 3)):
        for number in range(count):
            run = f'{name}-{number}'
            env.fleet.record_run(
                data.RunStatus(run, run, name, None, is_prefilling=False)
            )
    env.client.copy_script = _copy_script()
    return env


class TestReplacement:
    """A run whose standby engine is lost gets another copy."""

    def test_run_goes_on_from_the_new_copy(self) -> None:
        """Guards against reading a prompt again after two losses.

        The engine of the standby copy failed first, then that of the run;
        the run started again from its prompt and the stream was late.
        """
        env = _make_engines()
        script = harness.stream_script(1, 60, pace_s=0.05, ending='lost')
        env.client.script('a', script)
        env.client.script('c', harness.stream_script(61, 70, start_s=0.05))
        # The standby engine leaves the list while the run generates.
        env.clock.schedule(
            env.clock.monotonic_s() + 2.0,
            lambda: env.targets.apply(data.TargetChange('b', None)),
        )
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert env.caller.received == harness.event_range_bytes(1, 70)
        first, second = env.client.sent
        assert first.delivery.standby == harness.target('b').endpoint
        assert second.delivery.target.name == 'c'
        assert second.delivery.copy == data.RunCopy(
            harness.target('c', 'domain-c'),
            harness.target('a').endpoint,
            HANDLE.decode(),
        )

    def test_run_is_copied_once(self) -> None:
        """Guards against copies that displace runs of other engines.

        With a copy every two seconds, and for engines that were ejected for
        a moment, 855 copies on 140 engines made 100 more streams late.
        """
        env = _make_engines()
        env.client.script('a', harness.stream_script(1, 200, pace_s=0.05))
        env.clock.schedule(
            env.clock.monotonic_s() + 1.5,
            lambda: env.targets.report_failure(
                harness.target('b', 'domain-b'), 'route', 'reset', True
            ),
        )
        env.clock.schedule(
            env.clock.monotonic_s() + 3.5,
            lambda: env.targets.apply(data.TargetChange('b', None)),
        )
        began_at_s = env.clock.monotonic_s()
        env.stream()
        (ordered,) = env.client.copy_orders
        assert ordered[0] - began_at_s >= 3.5

    def test_copy_of_a_complete_run_is_freed(self) -> None:
        """Guards against memory that copies of complete runs occupy."""
        env = _make_engines()
        env.targets.apply(data.TargetChange('b', None))
        env.targets.apply(data.TargetChange('c', None))
        env.client.script('a', harness.stream_script(1, 120, pace_s=0.05))
        env.clock.schedule(
            env.clock.monotonic_s() + 1.5,
            lambda: env.targets.apply(
                data.TargetChange('c', harness.target('c', 'domain-c'))
            ),
        )
        env.stream()
        (released,) = env.client.released_copies
        assert released.handle == HANDLE.decode()

    def test_no_copy_while_the_standby_is_sound(self) -> None:
        """Guards against copies that nobody needs, which are charged."""
        env = _make_engines()
        env.client.script('a', harness.stream_script(1, 60, pace_s=0.05))
        env.stream()
        assert not env.client.copy_orders
        assert not env.client.released_copies

    def test_refused_copy_is_tried_again(self) -> None:
        """Guards against a run that stays without a copy."""
        env = _make_engines()
        env.targets.apply(data.TargetChange('b', None))
        env.targets.apply(data.TargetChange('c', None))
        env.client.copy_script = _copy_script(503, handle=b'')
        env.client.script('a', harness.stream_script(1, 200, pace_s=0.05))
        env.clock.schedule(
            env.clock.monotonic_s() + 1.5,
            lambda: env.targets.apply(
                data.TargetChange('c', harness.target('c', 'domain-c'))
            ),
        )
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert 2 <= len(env.client.copy_orders) <= 4
        assert not env.client.released_copies

    def test_paused_engine_is_not_asked(self) -> None:
        """Guards against orders to an engine that wants a pause."""
        env = _make_engines()
        script = list(harness.stream_script(1, 60, pace_s=0.05))
        env.client.script('a', tuple(script))
        env.targets.apply(data.TargetChange('b', None))

        def pause_and_lose() -> None:
            env.targets.report_head(
                harness.target('a'), harness.head(503, retry_after_s=60.0)
            )
            env.targets.apply(data.TargetChange('c', None))

        env.clock.schedule(env.clock.monotonic_s() + 1.5, pause_and_lose)
        assert isinstance(env.stream(), forwarding.StreamCompleted)
        assert not env.client.copy_orders
