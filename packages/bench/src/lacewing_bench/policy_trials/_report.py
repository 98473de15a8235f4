"""Print and plot what tells arms apart."""

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

# Prices that change by less are left out.
LEAST_PRICE = 0.001
_ALWAYS = (
    'worth',
    'served',
    'refused',
    'failed',
    'worst windows',
    'worst class',
)


def pairs_of(
    results: Results, base: Arm, other: Arm, plays: Sequence[Play]
) -> list[tuple[Result, Result]]:
    """Return the results of all plays that both arms have."""
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
    """Return the comparison of all arms with the first one."""
    base = arms[0]
    texts = []
    for arm in arms[1:]:
        pairs = pairs_of(results, base, arm, plays)
        if not pairs:
            texts.append(f'{arm.name}: no play that {base.name} has too')
            continue
        texts.append(_compared(base, arm, pairs))
    for arm in arms:
        texts.extend(_broken(results, arm, plays))
    return '\n\n'.join(texts)


def plot(
    results: Results, arms: Sequence[Arm], plays: Sequence[Play], path: Path
) -> None:
    """Draw the paired differences of worth, a row for each arm."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.6 * len(arms)))
    names = []
    for row, arm in enumerate(arms[1:]):
        pairs = pairs_of(results, arms[0], arm, plays)
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


def _compared(
    base: Arm, arm: Arm, pairs: Sequence[tuple[Result, Result]]
) -> str:
    differences = compare(pairs)
    rows = []
    for name in _shown(differences):
        one = differences[name]
        verdict = 'told apart' if one.told_apart else 'not told apart'
        rows.append((name, one.mean, one.half_width, verdict))
    head = f'{arm.name} against {base.name}, {len(pairs)} pairs'
    table = tabulate(
        rows,
        headers=('figure', 'difference', '95% +-', ''),
        floatfmt='+.4f',
    )
    return f'{head}\n{table}'


def _shown(differences: Mapping[str, Difference]) -> list[str]:
    shown = list(_ALWAYS)
    for name in sorted(differences):
        if name in _ALWAYS or abs(differences[name].mean) < LEAST_PRICE:
            continue
        shown.append(name)
    return shown


def _broken(results: Results, arm: Arm, plays: Sequence[Play]) -> list[str]:
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
