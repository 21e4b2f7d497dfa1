"""Checks and comparisons of the platform's manifest as operators write it."""

import hashlib
import re
import secrets
from typing import Any

from skylarktack import state

#: Fields by which a manifest differs from a document of skylarktackd.
_OWN_FIELDS = frozenset(('limits', 'services', 'tenants', 'version'))

_KEY_FIELD = 'api_keys'

_ROUTE_SERVICES = re.compile(r'(routes\[[0-9]+\])\.services')

_FIELD = re.compile(r'[a-z_]+')

_MANIFEST_NAMES = {
    'host': 'hostname',
    'is_anonymous': 'anonymous',
    'keys': 'api_keys',
    'latency_objective_ms': 'target_latency_ms',
    'longest_pause_ms': 'gap_target_ms',
    'organisations': 'tenants',
}


def has_manifest_fields(decoded: dict[str, Any]) -> bool:
    """Return whether an object has fields that only a manifest has."""
    return bool(decoded.keys() & _OWN_FIELDS)


def manifest_findings(
    findings: tuple[state.Finding, ...],
) -> tuple[state.Finding, ...]:
    """Return findings of a decoded configuration with a manifest's names.

    :param findings: their places name fields of ``ForwardingConfiguration``.
    """
    return tuple(
        state.Finding(
            _FIELD.sub(
                lambda found: _MANIFEST_NAMES.get(found[0], found[0]),
                _ROUTE_SERVICES.sub(r'\1.traffic_split', finding.place),
            ),
            finding.message.replace('organisations[', 'tenants['),
        )
        for finding in findings
    )


def attempt_findings(manifest: dict[str, Any]) -> tuple[state.Finding, ...]:
    """Return findings of routes that allow no attempt.

    Such a route is decoded as one with 1, so the configuration does not show
    it.

    :param manifest: one that can be decoded.
    """
    findings = []
    for index, route in enumerate(manifest.get('routes') or ()):
        if route.get('max_attempts') == 0:
            findings.append(
                state.Finding(
                    f'routes[{index}].max_attempts',
                    'Must be at least 1; instances read 0 as 1.',
                )
            )
    return tuple(findings)


class KeyHider:
    """Replaces API keys by marks, which are equal for equal keys.

    The marks of another hider differ, so they tell nothing about the keys.
    """

    def __init__(self) -> None:
        self._salt = secrets.token_bytes(16)

    def hide(self, value: Any) -> Any:
        """Return a decoded value with marks in place of keys."""
        if isinstance(value, list):
            return [self.hide(item) for item in value]
        if not isinstance(value, dict):
            return value
        hidden = {}
        for name, item in value.items():
            if name == _KEY_FIELD and isinstance(item, list):
                hidden[name] = [self._mark(key) for key in item]
            else:
                hidden[name] = self.hide(item)
        return hidden

    def _mark(self, key: object) -> str:
        content = self._salt + str(key).encode(errors='replace')
        return f'key {hashlib.sha256(content).hexdigest()[:8]}'
