"""Entries of targets, from messages written after the platform's page."""

from typing import Any

import pytest

from skylarktack import platform
from skylarktack.state import forwarding as data

ENTRY: dict[str, Any] = {
    'service': 'pool-a',
    'address': '10.128.0.9:8080',
    'availability_zone': 'zone-a',
    'version': 'v1',
    'capacity_slots': 12,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'inference_stage': 'colocated',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'sequence_number': 4,
    'born': 1770053550000,
}


class TestEntry:
    """An entry names a target or nothing."""

    def test_a_ready_target(self) -> None:
        """Guards against fields that are taken for others."""
        assert platform.decode_target('i-1', ENTRY) == data.ListedTarget(
            name='i-1',
            service='pool-a',
            endpoint=data.Address('10.128.0.9', 8080),
            failure_domain='zone-a',
            version='v1',
            slot_count=12,
            is_leaving=False,
            models=('m',),
            started_at_ms=1770053550000,
        )

    def test_a_leaving_target(self) -> None:
        """Guards against new work for a target that stops."""
        entry = ENTRY | {'state': 'draining'}
        assert platform.decode_target('i-1', entry).is_leaving

    @pytest.mark.parametrize(
        'change',
        [
            {'service': None},
            {'service': 7},
            {'address': '10.128.0.9'},
            {'address': ':8080'},
            {'address': '10.128.0.9:port'},
            {'state': 'resting'},
            {'state': None},
            {'capacity_slots': 'many'},
            {'capacity_slots': 1.5},
            {'models': 'm'},
            {'born': 'today'},
        ],
        ids=str,
    )
    def test_a_foreign_entry_names_nothing(
        self, change: dict[str, Any]
    ) -> None:
        """Guards against requests to what another writer entered."""
        with pytest.raises(platform.MalformedError):
            platform.decode_target('i-1', ENTRY | change)

    def test_bytes_that_are_no_table_name_nothing(self) -> None:
        """Guards against entries that cannot be read."""
        with pytest.raises(platform.MalformedError):
            platform.decode_target('i-1', [1, 2])
