"""The platform's names stay inside this package."""

import pathlib
import re

#: Names that mean something only to the platform.
WIRE_NAMES = re.compile(
    r'Attempt-Id|Replica-Signature|Replica-Load|Replica-Id|Not-Executed'
    r'|Expected-Replica|Kv-Backup|Kv-From|Token-Usage|Prompt-Prefix'
    # The product's own interface has a header with its own prefix.
    r'|(?<!Skylarktack-)Deadline-Ms|Pin-Ms|availability_zone|capacity_slots'
    r'|route_kind'
    r'|path_prefix\b.*hostname|stream_resumption|watch_stream|deletion_pending'
    r'|kv_capacity_tokens|gap_target_ms|api_keys|SKYLARKTACK_CONFIG',
    re.IGNORECASE,
)

PACKAGES = pathlib.Path(__file__).parents[5]


class TestNames:
    """Nothing outside knows the platform's names."""

    def test_no_name_stands_outside(self) -> None:
        """Guards against decisions that rest on one platform's wire."""
        found = []
        for path in sorted(PACKAGES.rglob('*.py')):
            parts = path.relative_to(PACKAGES).parts
            if parts[0] in ('platform', 'emulator') or 'tests' in parts:
                continue
            if WIRE_NAMES.search(path.read_text(encoding='utf-8')):
                found.append(str(path))
        assert PACKAGES.name == 'packages'
        assert not found
