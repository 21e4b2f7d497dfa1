"""The platform's names are used in this package only."""

import pathlib
import re

#: Names from the platform's wire formats and settings.
WIRE_NAMES = re.compile(
    r'Attempt-Id|Replica-Signature|Replica-Load|Replica-Id|Not-Executed'
    r'|Expected-Replica|Kv-Backup|Kv-From|Token-Usage|Prompt-Prefix'
    # The prefixed header belongs to the system's own HTTP interface.
    r'|(?<!Skylarktack-)Deadline-Ms|Pin-Ms|availability_zone|capacity_slots'
    r'|route_kind'
    r'|path_prefix\b.*hostname|stream_resumption|watch_stream|deletion_pending'
    r'|kv_capacity_tokens|gap_target_ms|api_keys|SKYLARKTACK_CONFIG',
    re.IGNORECASE,
)

PACKAGES = pathlib.Path(__file__).parents[5]


class TestWireNames:
    """No other package uses names of the platform."""

    def test_no_wire_name_in_other_packages(self) -> None:
        """Guards against decisions that depend on one platform's format.

        The emulator stands in for the platform and may use its names.
        """
        found = []
        for path in sorted(PACKAGES.rglob('*.py')):
            parts = path.relative_to(PACKAGES).parts
            if parts[0] in ('platform', 'emulator') or 'tests' in parts:
                continue
            if WIRE_NAMES.search(path.read_text(encoding='utf-8')):
                found.append(str(path))
        assert PACKAGES.name == 'packages'
        assert not found
