"""The socket for callers is open before the instance is imported."""

import pathlib
import socket
import subprocess
import sys

import pytest

from skylarktack import platform
from skylarktack.daemon.forwarding import _early_front

#: Modules that take most of the time of a start.
LATE_MODULES = ('h11', 'skylarktack.state.forwarding', 'dataclasses')


class TestEarlyFront:
    """Callers can connect while an instance still starts."""

    def test_callers_can_connect(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against refusing callers that come back after a loss.

        All instances were killed, the callers came back 0.6 s later, once,
        and found no instance that listened.
        """
        file = tmp_path / 'node.conf'
        file.write_text('a.b=c\nlisten_addresses.frontend=127.0.0.1:0\n')
        monkeypatch.setenv(platform.PATH_VARIABLE, str(file))
        front = _early_front.open_front()
        assert front is not None
        with front, socket.create_connection(front.getsockname(), 5.0):
            accepted, _ = front.accept()
            accepted.close()

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'listen_addresses.frontend=',
            'listen_addresses.frontend=127.0.0.1',
            'listen_addresses.frontend=127.0.0.1:x',
            'listen_addresses.frontend=127.0.0.1:\u00b2',
            'listen_addresses.frontend=127.0.0.1:99999',
            'listen_addresses.frontend=not an address:1',
        ],
    )
    def test_odd_settings(
        self,
        text: str,
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a traceback in place of a finding."""
        file = tmp_path / 'node.conf'
        file.write_text(text, encoding='utf-8')
        monkeypatch.setenv(platform.PATH_VARIABLE, str(file))
        assert _early_front.open_front() is None

    def test_missing_settings(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a traceback where there is no settings file."""
        monkeypatch.delenv(platform.PATH_VARIABLE, raising=False)
        assert _early_front.open_front() is None

    def test_little_is_imported_before(self) -> None:
        """Guards against an import that delays the opening."""
        program = (
            'import sys\n'
            'from skylarktack.daemon.forwarding import _early_front\n'
            '_early_front.open_front()\n'
            f'print([name for name in {LATE_MODULES!r} '
            'if name in sys.modules])'
        )
        printed = subprocess.run(
            [sys.executable, '-c', program],
            check=True,
            capture_output=True,
            text=True,
        )
        assert printed.stdout.strip() == '[]'
