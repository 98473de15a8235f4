"""Write a run's figures as a table, JSON and a plot."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import msgspec
from matplotlib import pyplot
from tabulate import tabulate

from lacewing_bench.load._client import Outcome
from lacewing_bench.load._judge import Finding
from lacewing_bench.load._report import Summary

_FIGURE_INCHES = (10.0, 4.5)
_MOST_SHOWN = 5
_SHOWN_CHARACTERS = 160


class LoadReport(msgspec.Struct, frozen=True):
    """Hold a run's figures; None for what only the workers could tell."""

    summary: Summary
    hit_rate: float | None = None
    wasted_tokens: int | None = None
    prefilled_tokens: int | None = None
    prompt_tokens: int | None = None
    worker_busy: float | None = None


def write_json(report: LoadReport, path: Path) -> None:
    """Write the figures as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


def table(report: LoadReport) -> str:
    """Return the figures as a table."""
    summary = report.summary
    first = summary.first_token
    rows: list[tuple[str, object]] = [
        ('requests', summary.requests),
        ('right answers', summary.right),
        ('lost', summary.lost),
        ('duplicated', summary.duplicated),
        ('crossed', summary.crossed),
        ('incomplete', summary.incomplete),
        ('refused (not-run)', summary.refused),
        ('refused, but ran', summary.false_refusals),
        ('sent more than once', summary.retried),
        ('first token p50 ms', round(first.p50_ms, 1)),
        ('first token p95 ms', round(first.p95_ms, 1)),
        ('first token p99 ms', round(first.p99_ms, 1)),
        ('client lag p99 ms', round(summary.client_lag.p99_ms, 1)),
    ]
    for name in ('hit_rate', 'worker_busy'):
        share = getattr(report, name)
        if share is not None:
            rows.append((name.replace('_', ' '), f'{share:.3f}'))
    for name in ('wasted_tokens', 'prefilled_tokens', 'prompt_tokens'):
        count = getattr(report, name)
        if count is not None:
            rows.append((name.replace('_', ' '), count))
    return tabulate(rows, disable_numparse=True, colalign=('left', 'right'))


def wrong_answers(outcomes: Sequence[Outcome]) -> list[str]:
    """Describe the first few answers that were not right."""
    lines: list[str] = []
    for outcome in outcomes:
        if outcome.finding is Finding.RIGHT:
            continue
        if len(lines) == _MOST_SHOWN:
            break
        request = outcome.request
        lines.append(
            f'{outcome.finding.value} at {request.at_s:.2f} s: team'
            f' {request.team}, {request.path}, status {outcome.status}:'
            f' {outcome.said[:_SHOWN_CHARACTERS]!r}'
        )
    return lines


def plot(outcomes: Sequence[Outcome], path: Path) -> None:
    """Draw each first token over time, and their distribution."""
    matplotlib.use('agg')
    shown = [o for o in outcomes if o.first_ms is not None]
    times = [outcome.request.at_s for outcome in shown]
    first = [outcome.first_ms or 0.0 for outcome in shown]
    figure, (left, right) = pyplot.subplots(
        1, 2, figsize=_FIGURE_INCHES, layout='constrained'
    )
    left.plot(times, first, '.', markersize=3)
    left.set_xlabel('sent at, s')
    left.set_ylabel('first token, ms')
    right.ecdf(first or [0.0])
    right.set_xscale('symlog')
    right.set_xlabel('first token, ms')
    right.set_ylabel('share of requests')
    figure.savefig(path)
    pyplot.close(figure)
