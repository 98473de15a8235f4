"""Measure the slopes and work out the target size.

``python -m lacewing_bench.capacity`` writes build/capacity/capacity.json and
a plot, and the tables of docs/CAPACITY.md. It starts two child processes at
a time and takes about three minutes.
"""

from collections.abc import Callable
from pathlib import Path

import fire
import msgspec
from tqdm import tqdm

from lacewing_bench.capacity._bundles import measure_bundles
from lacewing_bench.capacity._cache import measure_cache
from lacewing_bench.capacity._decisions import measure_decisions
from lacewing_bench.capacity._gossip import measure_gossip
from lacewing_bench.capacity._limits import measure_limits
from lacewing_bench.capacity._links import measure_links
from lacewing_bench.capacity._page import draw
from lacewing_bench.capacity._page import write_page
from lacewing_bench.capacity._rows import tables
from lacewing_bench.capacity._series import Series
from lacewing_bench.capacity._table import Table
from lacewing_bench.capacity._target import CONTROL_BYTES_S
from lacewing_bench.capacity._target import CONTROL_CPU_MS_S
from lacewing_bench.capacity._target import CONTROL_MB
from lacewing_bench.capacity._target import PLATFORM_READS_S
from lacewing_bench.capacity._target import PLATFORM_WRITES_S

_LIMITS = {
    'cpu': CONTROL_CPU_MS_S,
    'memory': CONTROL_MB,
    'bytes': CONTROL_BYTES_S,
    'reads': PLATFORM_READS_S,
    'writes': PLATFORM_WRITES_S,
}
_MEASURES: tuple[Callable[[], tuple[Series, ...]], ...] = (
    measure_decisions,
    measure_cache,
    measure_bundles,
    measure_gossip,
    measure_limits,
    measure_links,
)


class Report(msgspec.Struct, frozen=True):
    """Hold all that one run measured and worked out."""

    series: tuple[Series, ...]
    tables: tuple[Table, ...]


def main(
    output: str = 'build/capacity', page: str = 'docs/CAPACITY.md'
) -> None:
    """Measure, write the figures and bring the page up to date.

    Args:
        output: directory of capacity.json and slopes.png.
        page: the page whose tables are replaced; '' leaves it alone.
    """
    series: list[Series] = []
    for measure in tqdm(_MEASURES, desc='measures'):
        series.extend(measure())
    found = {one.name: one for one in series}
    report = Report(tuple(series), tables(found, _LIMITS))
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(report))
    (directory / 'capacity.json').write_bytes(text)
    draw(directory / 'slopes.png', report.series)
    if page:
        write_page(Path(page), report.tables, report.series)
    for table in report.tables:
        verdict = 'kept' if table.kept else 'RED'
        print(
            f'{table.role} {table.resource}: {table.total:.1f} of'
            f' {table.limit:.0f} {table.unit}: {verdict}'
        )


if __name__ == '__main__':
    fire.Fire(main, name='capacity')
