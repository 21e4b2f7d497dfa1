"""The main loop of an instance whose handling of a signal fails."""

import signal

import pytest

from skylarktack.coordination import fakes
from skylarktack.coordination import forwarding
from skylarktack.daemon import _signals
from skylarktack.daemon.forwarding import _main
from skylarktack.daemon.forwarding import _reload
from skylarktack.daemon.forwarding.tests import test_instance
from skylarktack.transport import forwarding as transport


class _FailingReloader(_reload.SettingsReloader):
    def reload(self) -> None:
        """Fail as no code expects."""
        raise RecursionError('odd settings')


class TestWaitForStop:
    """Signals after one whose handling failed."""

    @pytest.mark.parametrize('last', [signal.SIGTERM, signal.SIGINT])
    def test_failed_reload_is_recorded(self, last: signal.Signals) -> None:
        """Guards against a main thread that an error in one signal ends."""
        settings = test_instance.instance_settings()
        log = transport.LineLog('instance-0')
        errors = forwarding.ErrorRecorder(fakes.SteppingClock(), log)
        signals = _signals.ProcessSignals()
        for number in (signal.SIGHUP, last):
            signals._handle(number, None)
        stop_signal = _main.wait_for_stop(
            signals,
            _FailingReloader('node.conf', None, settings, log),
            log,
            errors,
        )
        assert stop_signal.number is last
        assert errors.counts() == {_main.RELOAD: 1}
