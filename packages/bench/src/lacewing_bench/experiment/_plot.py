"""Plot the worth of each variant, one dot per seed."""

from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path

from matplotlib.figure import Figure


def plot_worth(
    figures_by_case: Mapping[str, Sequence[Mapping[str, float]]],
    title: str,
    path: Path,
) -> None:
    """Write an image with one row per variant."""
    names = list(reversed(list(figures_by_case)))
    figure = Figure(figsize=(8, 0.5 * len(names) + 1))
    axes = figure.add_subplot()
    for row, name in enumerate(names):
        worth = [result['worth'] for result in figures_by_case[name]]
        axes.plot(worth, [row] * len(worth), 'o')
    axes.set_yticks(range(len(names)), names)
    axes.set_xlabel('worth, 1 = all answers on time')
    axes.set_title(title)
    figure.tight_layout()
    figure.savefig(path)
