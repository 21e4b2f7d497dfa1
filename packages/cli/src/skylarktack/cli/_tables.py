"""Text tables printed by the commands."""

from collections.abc import Sequence
from typing import Any


def columns(heading: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a heading and rows as lines of aligned columns."""
    widths = [len(name) for name in heading]
    for row in rows:
        for index, cell in enumerate(row):
            widths[index] = max(widths[index], len(cell))
    lines: list[str] = []
    for row in (heading, *rows):
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines)


def status(payload: Any, now_s: float) -> str:
    """Return a table with one line per instance.

    :param now_s: current wall clock time, for the age of the revision.
    """
    rows: list[list[str]] = []
    for instance in payload['instances']:
        condition = 'ready' if instance['ready'] else 'not ready'
        if instance['stopping']:
            condition = 'stopping'
        rows.append(
            [
                instance['name'],
                instance['failure_domain'],
                condition,
                str(instance['revision']),
                f'{max(0.0, now_s - instance["revision_since_s"]):.0f} s',
                'yes' if instance['store_reachable'] else 'no',
                str(instance['member_count']),
                str(instance['target_count']),
                str(instance['generation_count']),
            ]
        )
    heading = (
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
    return columns(heading, rows)


def history(payload: Any) -> str:
    """Return a table with one line per accepted revision."""
    rows: list[list[str]] = []
    for revision in payload['revisions']:
        rows.append(
            [
                str(revision['revision']),
                f'{revision["accepted_s"]:.0f}',
                revision['author'],
                revision['comment'],
            ]
        )
    return columns(('REVISION', 'ACCEPTED_S', 'AUTHOR', 'COMMENT'), rows)


def unknown_calls(payload: Any) -> str:
    """Return a table with one line per call whose outcome is unknown."""
    rows: list[list[str]] = []
    for call in payload['calls']:
        rows.append(
            [
                call['organisation'],
                call['key'],
                call['claim_id'],
                call['phase'],
                f'{call["changed_s"]:.0f}',
            ]
        )
    heading = ('ORGANISATION', 'KEY', 'CLAIM', 'PHASE', 'CHANGED_S')
    return columns(heading, rows)


def explanation(payload: Any) -> str:
    """Return the chosen version and target, then one line per target."""
    rows: list[list[str]] = []
    for target in payload['targets']:
        rows.append(
            [target['name'], target['failure_domain'], target['reason']]
        )
    table = columns(('TARGET', 'FAILURE DOMAIN', 'REASON'), rows)
    return (
        f'route {payload["route"]}: version {payload["version"]}, policy '
        f'{payload["policy"]}, would choose '
        f'{payload["chosen"] or "no target"}\n'
        f'{table}'
    )
