"""Command ``unknown settle``, for calls whose outcome is unknown."""

import json
from typing import Any

import fire
import pytest

from skylarktack import cli
from skylarktack.cli import _commands


class TestSettle:
    """Guards against settling another call than the operator named."""

    def test_values_that_are_number_literals(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Organisation, key and claim id are sent as typed.

        Fire would convert these values to numbers.
        """
        sent: list[dict[str, Any]] = []

        def _call(
            address: str | None, method: str, path: str, body: bytes
        ) -> dict[str, str]:
            sent.append(json.loads(body))
            return {'phase': 'ran'}

        monkeypatch.setattr(_commands, '_call', _call)
        fire.Fire(
            cli.Commands,
            ['unknown', 'settle', '12e3', '0x1f', '1_0', '--ran=True'],
        )
        assert sent[0]['organisation'] == '12e3'
        assert sent[0]['key'] == '0x1f'
        assert sent[0]['claim_id'] == '1_0'
        assert sent[0]['ran'] is True
