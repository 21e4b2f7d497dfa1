"""Tasks that carry out the injections of a soak."""

import pytest

from skylarktack.emulator.soak import _injection_tasks


def _fail() -> None:
    raise ValueError('odd plan')


class TestInjectionTasks:
    """Injections run beside the schedule."""

    def test_an_error_fails_the_soak(self) -> None:
        """Guards against a seed that passes without its injections."""
        tasks = _injection_tasks.InjectionTasks()
        tasks.start(_fail)
        with pytest.raises(ValueError, match='odd plan'):
            tasks.wait_ended()
