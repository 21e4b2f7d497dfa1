"""Plots of measured figures: ``... bench.plots FILE``."""

import json
import pathlib

import fire
import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402  the backend is chosen first

#: Plots by file name: title, axis label, prefix of the figures' names and a
#: part that the names must contain.
PLOTS: dict[str, tuple[str, str, str, str]] = {
    'resume_pause.png': (
        'Resume pause seen by callers',
        'ms',
        'generation.',
        '.pause_',
    ),
    'control_cost.png': (
        'Control traffic by number of instances',
        'bytes/s',
        'membership.',
        'bytes_with_headers_',
    ),
    'move_outcomes.png': ('Outcomes of moves', 'share', 'moves.', ''),
}


def draw(figures: str, folder: str = 'docs/plots') -> None:
    """Draw all plots from a file of JSON lines.

    :param figures: file that ``make bench`` printed.
    :param folder: where the PNG files go.
    """
    lines = pathlib.Path(figures).read_text(encoding='utf-8').splitlines()
    found = [json.loads(line) for line in lines if line.startswith('{')]
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for name, (title, label, prefix, part) in PLOTS.items():
        chosen: list[dict[str, object]] = []
        for one in found:
            if one['name'].startswith(prefix) and part in one['name']:
                chosen.append(one)
        if not chosen:
            continue
        _draw_bars(chosen, title, label, target / name)
        print(target / name)


def _draw_bars(
    figures: list[dict[str, object]],
    title: str,
    label: str,
    path: pathlib.Path,
) -> None:
    names = [str(one['name']) for one in figures]
    values = [float(str(one['value'])) for one in figures]
    figure, axes = pyplot.subplots(figsize=(9, 1 + 0.32 * len(names)))
    axes.barh(names, values)
    axes.invert_yaxis()
    axes.set_title(title)
    axes.set_xlabel(label)
    for index, value in enumerate(values):
        axes.text(value, index, f' {value:.4g}', va='center', fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


if __name__ == '__main__':
    fire.Fire(draw)
