"""Show from log files how a request ended and why."""

from collections.abc import Iterable
from pathlib import Path

from lacewing_common.exits import Exit
from lacewing_common.log_lines import LogLine
from lacewing_common.log_lines import Try
from tabulate import tabulate

from lacewing_ctl._causes import describe_cause
from lacewing_ctl._exit import exit_with
from lacewing_ctl._exit import print_status
from lacewing_ctl._log_files import read_logs
from lacewing_ctl._timeline import find_timelines
from lacewing_ctl._timeline import find_unclean_exits
from lacewing_ctl._timeline import RequestTimeline

_TRIES = (
    'upstream',
    'verdict',
    'reason',
    'status',
    'ms',
    'first ms',
    'expected ms',
    'others',
    'weights',
)
# Failures at the same upstreams beyond these are only counted.
_MOST_BESIDE = 5


def explain(request: str, logs: str) -> None:
    """Show a request's sends, the lines around it and the likely cause.

    Args:
        request: the request's id.
        logs: paths of the processes' logs, separated by commas.
    """
    paths = []
    for name in _names(logs):
        paths.append(Path(name))
    try:
        read = read_logs(paths)
    except OSError as error:
        exit_with(Exit.FAILED, f'a log could not be read: {error}')
    if read.skipped_count:
        print_status(f'{read.skipped_count} lines are not of this system')
    stories = find_timelines(read.lines, str(request))
    if not stories:
        for line in find_unclean_exits(read.lines):
            at = line.timestamp.isoformat()
            print_status(
                f'the log of {line.process} ends at {at} without a stop'
            )
        exit_with(
            Exit.FAILED,
            f'no line of request {request}; it may be among those left out:'
            ' look for "Left out lines of requests."',
        )
    for story in stories:
        print(_page(story))


def _names(logs: str | Iterable[str]) -> tuple[str, ...]:
    """Return the paths; the command line splits at commas by itself."""
    if isinstance(logs, str):
        return tuple(logs.split(','))
    return tuple(logs)


def _page(story: RequestTimeline) -> str:
    line = story.line
    parts = [
        f'{line.request} at {line.process}, {line.timestamp.isoformat()}',
        f'status {line.status}, {line.verdict} after {line.ms} ms'
        f' {line.reason}'.rstrip(),
    ]
    if line.tries:
        rows = []
        for one in line.tries:
            rows.append(_row(one))
        parts.append(tabulate(rows, _TRIES))
    around = [
        *story.process,
        *story.orders,
        *story.crashes,
        *story.related_lines[:_MOST_BESIDE],
    ]
    for other in around:
        parts.append(f'  {_short(other)}')
    more = len(story.related_lines) - _MOST_BESIDE
    if more > 0:
        parts.append(f'  and {more} more that failed at these upstreams')
    parts.append(f'cause: {describe_cause(story)}')
    return '\n'.join(parts)


def _row(one: Try) -> tuple[object, ...]:
    first_ms = '' if one.first_ms < 0 else one.first_ms
    return (
        one.upstream,
        one.verdict,
        one.reason,
        one.status or '',
        one.ms,
        first_ms,
        one.expected_ms,
        one.others,
        one.weights or '',
    )


def _short(line: LogLine) -> str:
    told = (
        line.request,
        line.reason,
        line.upstream,
        line.collection,
        line.fault,
        str(line.version) if line.version else '',
    )
    details = ' '.join(text for text in told if text)
    at = line.timestamp.strftime('%H:%M:%S.%f')
    return f'{at} {line.process} {line.event} {details}'.rstrip()
