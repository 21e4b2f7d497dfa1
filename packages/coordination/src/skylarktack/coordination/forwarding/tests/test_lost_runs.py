"""Tests of runs that go on from their copies after the loss of an engine."""

from skylarktack.coordination.forwarding.tests import harness
from skylarktack.state import forwarding as data


class TestLostRuns:
    """A run that lost its engine goes on from its copy."""

    def test_copy_at_a_busy_engine(self) -> None:
        """Guards against reading a prompt again that a copy holds.

        Engines admit a run with a copy before all others. Runs that left
        their copies for idle engines doubled the prompts read in vain.
        """
        first = harness.target('first')
        second = harness.target('second', 'domain-b')
        env = harness.make_harness(first, second, harness.target('third'))
        load = data.TargetLoad(1, 0, 12, slowdown=1.0)
        env.targets.engines.switch.record_load(first, load)
        for name in ('second', 'third'):
            env.fleet.record_run(
                data.RunStatus(name, name, name, None, True, False, 9000)
            )
        env.client.script('first', harness.stream_script(1, 2, ending='lost'))
        env.client.script('second', harness.stream_script(3, 4))
        original = env.caller.start_stream

        def _start_stream(head: data.ResponseHead) -> bool:
            for name in ('p', 'q', 'r'):
                env.fleet.record_run(
                    data.RunStatus(name, name, 'second', None, True)
                )
            return original(head)

        env.caller.start_stream = _start_stream  # type: ignore[method-assign]
        env.stream()
        assert env.client.sent_to() == ['first', 'second']
        assert env.client.sent[1].delivery.from_copy
