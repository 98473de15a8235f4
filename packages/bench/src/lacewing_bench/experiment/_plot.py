"""Draw the worth of each variant, a dot for each seed."""

from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path

from matplotlib.figure import Figure


def plot_worth(
    played: Mapping[str, Sequence[Mapping[str, float]]],
    title: str,
    path: Path,
) -> None:
    """Write a picture with one line for each variant."""
    names = list(reversed(list(played)))
    picture = Figure(figsize=(8, 0.5 * len(names) + 1))
    axes = picture.add_subplot()
    for row, name in enumerate(names):
        worth = [play['worth'] for play in played[name]]
        axes.plot(worth, [row] * len(worth), 'o')
    axes.set_yticks(range(len(names)), names)
    axes.set_xlabel('worth, 1 = all answers on time')
    axes.set_title(title)
    picture.tight_layout()
    picture.savefig(path)
