"""Decoding of targets, with an entry in the platform's documented format."""

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


class TestTargetEntry:
    """An entry is decoded to a target or rejected as malformed."""

    def test_decodes_ready_target(self) -> None:
        """Guards against fields that are mapped to the wrong field."""
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
            sequence_number=4,
        )

    @pytest.mark.parametrize(
        ('change', 'expected'),
        [
            ({'sequence_number': None}, None),
            ({'sequence_number': 0}, 0),
            ({'sequence_number': 5.0}, 5),
        ],
        ids=str,
    )
    def test_sequence_number_is_optional(
        self, change: dict[str, Any], expected: int | None
    ) -> None:
        """Guards against rejecting a target without a sequence number."""
        entry = {
            name: value
            for name, value in (ENTRY | change).items()
            if value is not None
        }
        target = platform.decode_target('i-1', entry)
        assert target.sequence_number == expected

    def test_draining_target_is_leaving(self) -> None:
        """Guards against new requests to a target that is draining."""
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
            {'sequence_number': 'four'},
            {'sequence_number': 1.5},
            {'sequence_number': -1},
        ],
        ids=str,
    )
    def test_malformed_field_is_rejected(self, change: dict[str, Any]) -> None:
        """Guards against requests to an entry of a foreign writer."""
        with pytest.raises(platform.MalformedError):
            platform.decode_target('i-1', ENTRY | change)

    def test_entry_that_is_not_an_object_is_rejected(self) -> None:
        """Guards against other errors than ``MalformedError``."""
        with pytest.raises(platform.MalformedError):
            platform.decode_target('i-1', [1, 2])
