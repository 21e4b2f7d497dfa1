"""Compares two sets of figures: ``... bench.compare BASE NOW``."""

import json
import pathlib

import fire


def read_figures(path: str) -> dict[str, float]:
    """Return the value of each figure in a file of JSON lines."""
    found: dict[str, float] = {}
    for line in pathlib.Path(path).read_text(encoding='utf-8').splitlines():
        if not line.startswith('{'):
            continue
        fields = json.loads(line)
        found[fields['name']] = float(fields['value'])
    return found


def compare(base: str, now: str) -> None:
    """Print each figure of both files and its ratio.

    :param base: file of the earlier commit's figures.
    :param now: file of this commit's figures.
    """
    before = read_figures(base)
    after = read_figures(now)
    for name in sorted(before.keys() | after.keys()):
        old = before.get(name)
        new = after.get(name)
        if old is None or new is None:
            print(f'{name}: only in {"now" if old is None else "base"}')
            continue
        ratio = f'{new / old:.3f}' if old else 'none'
        print(f'{name}: base {old:g}, now {new:g}, ratio {ratio}')


if __name__ == '__main__':
    fire.Fire(compare)
