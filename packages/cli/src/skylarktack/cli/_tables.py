"""Tables that the commands print."""

from collections.abc import Sequence
from typing import Any


def columns(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return rows as lines of aligned columns."""
    widths = [len(name) for name in head]
    for row in rows:
        for index, cell in enumerate(row):
            widths[index] = max(widths[index], len(cell))
    lines: list[str] = []
    for row in (head, *rows):
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines)


def status(plain: Any, now_s: float) -> str:
    """Return one line for each instance."""
    rows: list[list[str]] = []
    for one in plain['instances']:
        condition = 'ready' if one['ready'] else 'not ready'
        if one['stopping']:
            condition = 'stopping'
        rows.append(
            [
                one['name'],
                one['failure_domain'],
                condition,
                str(one['revision']),
                f'{max(0.0, now_s - one["revision_since_s"]):.0f} s',
                'yes' if one['store_reachable'] else 'no',
                str(one['member_count']),
                str(one['target_count']),
                str(one['generation_count']),
            ]
        )
    head = (
        'INSTANCE',
        'FAILURE DOMAIN',
        'STATE',
        'REVISION',
        'IN EFFECT FOR',
        'STORE',
        'INSTANCES',
        'TARGETS',
        'GENERATIONS',
    )
    return columns(head, rows)


def history(plain: Any) -> str:
    """Return one line for each revision."""
    rows: list[list[str]] = []
    for one in plain['revisions']:
        rows.append(
            [
                str(one['revision']),
                f'{one["accepted_s"]:.0f}',
                one['author'],
                one['comment'],
            ]
        )
    return columns(('REVISION', 'ACCEPTED_S', 'AUTHOR', 'COMMENT'), rows)


def unknown_calls(plain: Any) -> str:
    """Return one line for each call whose outcome is unknown."""
    rows: list[list[str]] = []
    for one in plain['calls']:
        rows.append(
            [
                one['organisation'],
                one['key'],
                one['claim_id'],
                one['phase'],
                f'{one["changed_s"]:.0f}',
            ]
        )
    head = ('ORGANISATION', 'KEY', 'CLAIM', 'PHASE', 'CHANGED_S')
    return columns(head, rows)


def explanation(plain: Any) -> str:
    """Return the version, then one line for each target."""
    rows: list[list[str]] = []
    for one in plain['targets']:
        rows.append([one['name'], one['failure_domain'], one['reason']])
    table = columns(('TARGET', 'FAILURE DOMAIN', 'REASON'), rows)
    return (
        f'route {plain["route"]}: version {plain["version"]}, policy '
        f'{plain["policy"]}, would choose {plain["chosen"] or "no target"}\n'
        f'{table}'
    )
