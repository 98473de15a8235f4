"""Format and plot the differences between arms."""

from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path

from tabulate import tabulate

from lacewing_bench.policy_trials._plan import Arm
from lacewing_bench.policy_trials._plan import Play
from lacewing_bench.policy_trials._results import Result
from lacewing_bench.policy_trials._results import Results
from lacewing_bench.policy_trials._statistics import compare
from lacewing_bench.policy_trials._statistics import Difference

# Prices with a smaller mean difference are omitted from the report.
MIN_PRICE_DIFFERENCE = 0.001
_ALWAYS_SHOWN = (
    'worth',
    'served',
    'refused',
    'failed',
    'worst windows',
    'worst class',
)


def paired_results(
    results: Results, base: Arm, other: Arm, plays: Sequence[Play]
) -> list[tuple[Result, Result]]:
    """Return the result pairs of all plays that both arms completed."""
    found = []
    for play in plays:
        before = results.get(base.name, play.key)
        after = results.get(other.name, play.key)
        if before is not None and after is not None:
            found.append((before, after))
    return found


def report(
    results: Results, arms: Sequence[Arm], plays: Sequence[Play]
) -> str:
    """Return the comparison of every other arm with the first one."""
    base = arms[0]
    texts = []
    for arm in arms[1:]:
        pairs = paired_results(results, base, arm, plays)
        if not pairs:
            texts.append(f'{arm.name}: no play that {base.name} has too')
            continue
        texts.append(_format_comparison(base, arm, pairs))
    for arm in arms:
        texts.extend(_broken_rule_lines(results, arm, plays))
    return '\n\n'.join(texts)


def plot(
    results: Results, arms: Sequence[Arm], plays: Sequence[Play], path: Path
) -> None:
    """Plot the paired differences in worth, one row per arm."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.6 * len(arms)))
    names = []
    for row, arm in enumerate(arms[1:]):
        pairs = paired_results(results, arms[0], arm, plays)
        names.append(f'{arm.name} ({len(pairs)})')
        if not pairs:
            continue
        worths = [after.worth - before.worth for before, after in pairs]
        axes.plot(worths, [row] * len(worths), '|', color='tab:gray')
        worth = compare(pairs)['worth']
        width = worth.half_width if len(pairs) > 1 else 0.0
        axes.errorbar(worth.mean, row, xerr=width, fmt='o', capsize=4)
    axes.axvline(0.0, color='black', linewidth=0.8)
    axes.set_yticks(range(len(names)), names)
    axes.set_xlabel(f'worth, difference from {arms[0].name} (95% interval)')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _format_comparison(
    base: Arm, arm: Arm, pairs: Sequence[tuple[Result, Result]]
) -> str:
    differences = compare(pairs)
    rows = []
    for name in _shown_figures(differences):
        one = differences[name]
        verdict = 'told apart' if one.is_significant else 'not told apart'
        rows.append((name, one.mean, one.half_width, verdict))
    head = f'{arm.name} against {base.name}, {len(pairs)} pairs'
    table = tabulate(
        rows,
        headers=('figure', 'difference', '95% +-', ''),
        floatfmt='+.4f',
    )
    return f'{head}\n{table}'


def _shown_figures(differences: Mapping[str, Difference]) -> list[str]:
    shown = list(_ALWAYS_SHOWN)
    for name in sorted(differences):
        if (
            name in _ALWAYS_SHOWN
            or abs(differences[name].mean) < MIN_PRICE_DIFFERENCE
        ):
            continue
        shown.append(name)
    return shown


def _broken_rule_lines(
    results: Results, arm: Arm, plays: Sequence[Play]
) -> list[str]:
    lines = []
    for play in plays:
        result = results.get(arm.name, play.key)
        if result is None or not result.rules:
            continue
        rules = ', '.join(result.rules)
        lines.append(
            f'{arm.name}: {play.key} broke {rules} ({result.snapshot})'
        )
    return lines
