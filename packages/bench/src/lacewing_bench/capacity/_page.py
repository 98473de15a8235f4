"""Write the measured tables into the page and draw the fits."""

import re
from pathlib import Path

from matplotlib.figure import Figure
from tabulate import tabulate

from lacewing_bench.capacity._series import Series
from lacewing_bench.capacity._table import Row
from lacewing_bench.capacity._table import Table

_MARK = '<!-- measured:{name} -->'
_COLUMNS = 4


class PageError(ValueError):
    """Report a page without the marks between which tables belong."""


def write_page(
    page: Path, tables: tuple[Table, ...], series: tuple[Series, ...]
) -> None:
    """Replace what stands between the marks of each part."""
    text = page.read_text()
    text = _replace(text, 'summary', _summary(tables))
    text = _replace(text, 'slopes', _slopes(series))
    for role in dict.fromkeys(table.role for table in tables):
        parts = [_table(one) for one in tables if one.role == role]
        text = _replace(text, role.replace(' ', '-'), '\n\n'.join(parts))
    page.write_text(text)


def draw(path: Path, series: tuple[Series, ...]) -> None:
    """Draw each quantity's points and line into one picture."""
    rows = -(-len(series) // _COLUMNS)
    figure = Figure(figsize=(4 * _COLUMNS, 3 * rows), layout='constrained')
    for index, one in enumerate(series):
        axes = figure.add_subplot(rows, _COLUMNS, index + 1)
        axes.plot(one.sizes, one.values, 'o')
        axes.plot(one.sizes, [one.at(size) for size in one.sizes])
        axes.set_title(one.name, fontsize=9)
        axes.set_ylabel(one.unit)
        axes.set_xlabel(one.per)
        axes.set_ylim(bottom=0)
    figure.savefig(path)


def _replace(text: str, name: str, new: str) -> str:
    mark = re.escape(_MARK.format(name=name))
    pattern = re.compile(f'({mark}\n).*?({mark})', re.DOTALL)
    if not pattern.search(text):
        raise PageError(f'expected two marks of {name!r} in the page')
    return pattern.sub(lambda found: f'{found[1]}\n{new}\n\n{found[2]}', text)


def _summary(tables: tuple[Table, ...]) -> str:
    lines: list[tuple[object, ...]] = []
    for table in tables:
        verdict = 'kept' if table.kept else '**RED**'
        largest = max(table.rows, key=lambda row: row.value)
        lines.append(
            (
                table.role,
                table.resource,
                f'{table.total:,.1f} {table.unit}',
                f'{table.limit:,.0f} {table.unit}',
                verdict,
                largest.what,
            )
        )
    headers = (
        'role',
        'resource',
        'at target size',
        'limit',
        'verdict',
        'grows first',
    )
    return tabulate(lines, headers, tablefmt='github')


def _table(table: Table) -> str:
    lines = [_line(row) for row in table.rows]
    verdict = 'kept' if table.kept else '**RED**'
    total = f'**{table.total:,.1f}**'
    limit = f'limit {table.limit:,.0f}: {verdict}'
    lines.append(('**total**', total, limit, '', ''))
    headers = (
        f'{table.role}: {table.resource}',
        table.unit,
        'worked out',
        'slope',
        'mechanism',
    )
    return tabulate(lines, headers, tablefmt='github', disable_numparse=True)


def _line(row: Row) -> tuple[str, ...]:
    value = f'{row.value:,.2f}'
    return (row.what, value, row.worked_out, row.source, row.mechanism)


def _slopes(series: tuple[Series, ...]) -> str:
    lines: list[tuple[str, ...]] = []
    for one in series:
        points = ', '.join(
            f'{size:g}: {value:.4g}'
            for size, value in zip(one.sizes, one.values, strict=True)
        )
        lines.append(
            (
                one.name,
                one.unit,
                points,
                f'{one.slope:.4g} a {one.per}',
                f'{one.intercept:.4g}',
                f'{one.error:.1%}',
            )
        )
    headers = ('slope', 'unit', 'points', 'growth', 'at 0', 'error')
    return tabulate(lines, headers, tablefmt='github', disable_numparse=True)
