"""Decoding of the settings file, in the platform's documented format."""

import pytest

from skylarktack import platform
from skylarktack import state
from skylarktack.state import forwarding as data

LINES = """\
# comment
node_name=edge-a-1
ip_address=10.1.0.19
availability_zone=zone-a
listen_addresses.frontend=10.1.0.19:8740
listen_addresses.ready=10.1.0.19:8749
internal_port_range=7200,7215
limits.file_descriptors=4100
limits.memory_limit_mb=300
bounds.grace_period_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.8
bounds.budget_window_s=10
bounds.retry_budget_extra=150
contracts=base,stream,rollout,platform
bounds.exposure_fraction=0.1
bounds.exposure_tolerance=50
platform.address=10.200.1.7:8742
a.field.of.a.later.day=x=y
"""


class TestSettings:
    """A settings file is decoded or rejected with all findings."""

    def test_decodes_fields(self) -> None:
        """Guards against confusion of units or of fields."""
        assert platform.decode_settings(
            'node.conf', LINES
        ) == data.ForwardingSettings(
            instance='edge-a-1',
            failure_domain='zone-a',
            front=data.Address('10.1.0.19', 8740),
            readiness=data.Address('10.1.0.19', 8749),
            peer=data.Address('10.1.0.19', 7200),
            metrics=None,
            store=data.Address('10.200.1.7', 8742),
            grace_ms=8000,
            configuration_lag_ms=2000,
            retry_ratio=0.8,
            retry_allowance_count=150,
            retry_window_ms=10000,
            has_moves=True,
            exposure_fraction=0.1,
            exposure_allowance_count=50,
            descriptor_limit=4100,
            memory_limit_bytes=300 * 1024 * 1024,
        )

    def test_slow_start_of_targets(self) -> None:
        """Guards against a mode that is misspelt and then not in force."""
        for mode in data.RampMode:
            text = f'{LINES}target_ramp={mode.value}\n'
            settings = platform.decode_settings('node.conf', text)
            assert settings.target_ramp is mode
        with pytest.raises(platform.MalformedError) as caught:
            platform.decode_settings('node.conf', f'{LINES}target_ramp=no\n')
        assert [finding.place for finding in caught.value.findings] == [
            'node.conf.target_ramp'
        ]

    def test_name_of_digits_is_a_string(self) -> None:
        """Guards against names that are decoded as numbers."""
        text = LINES.replace('edge-a-1', '17')
        assert platform.decode_settings('node.conf', text).instance == '17'

    def test_exposure_is_optional_without_moves(self) -> None:
        """Guards against a failed start where the platform has no moves."""
        lines = []
        for line in LINES.splitlines():
            if not line.startswith(('contracts', 'bounds.exposure')):
                lines.append(line)
        settings = platform.decode_settings('node.conf', '\n'.join(lines))
        assert not settings.has_moves

    def test_all_findings_have_paths(self) -> None:
        """Guards against a decoder that stops at the first error.

        Operators would have to fix the errors of the file one at a time.
        """
        text = LINES.replace('8740', 'port').replace('=0.8', '=much')
        text = text.replace('node_name=edge-a-1', 'node_name')
        with pytest.raises(platform.MalformedError) as caught:
            platform.decode_settings('node.conf', text)
        places = {found.place for found in caught.value.findings}
        assert places == {
            'node.conf:2',
            'node.conf.node_name',
            'node.conf.listen_addresses.frontend',
            'node.conf.bounds.retry_budget_ratio',
        }

    @pytest.mark.parametrize(('limit_mb', 'fits'), [(10, False), (11, True)])
    def test_memory_limit_holds_one_body(
        self, limit_mb: int, fits: bool
    ) -> None:
        """Guards against an instance that refuses each long body."""
        text = LINES.replace('limit_mb=300', f'limit_mb={limit_mb}')
        findings: tuple[state.Finding, ...] = ()
        try:
            platform.decode_settings('node.conf', text)
        except platform.MalformedError as error:
            findings = error.findings
        if fits:
            assert not findings
            return
        (finding,) = findings
        assert finding.place == 'node.conf.limits.memory_limit_mb'
        assert '; 11 or more fits' in finding.message
