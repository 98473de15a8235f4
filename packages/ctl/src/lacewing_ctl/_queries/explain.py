"""Explain the outcome of a request from log files."""

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

_HEADERS = (
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
# Further failures at the same upstreams are only counted.
_MAX_RELATED_LINES = 5


def explain(request: str, logs: str) -> None:
    """Show a request's sends, the lines around it and the likely cause.

    Args:
        request: the request's id.
        logs: paths of the processes' logs, separated by commas.
    """
    paths = []
    for name in _split_paths(logs):
        paths.append(Path(name))
    try:
        parsed = read_logs(paths)
    except OSError as error:
        exit_with(Exit.FAILED, f'a log could not be read: {error}')
    if parsed.skipped_count:
        print_status(f'{parsed.skipped_count} lines are not of this system')
    timelines = find_timelines(parsed.lines, str(request))
    if not timelines:
        for line in find_unclean_exits(parsed.lines):
            at = line.timestamp.isoformat()
            print_status(
                f'the log of {line.process} ends at {at} without a stop'
            )
        exit_with(
            Exit.FAILED,
            f'no line of request {request}; it may be among those left out:'
            ' look for "Left out lines of requests."',
        )
    for timeline in timelines:
        print(_format_timeline(timeline))


def _split_paths(logs: str | Iterable[str]) -> tuple[str, ...]:
    """Return the paths; fire already splits values that contain commas."""
    if isinstance(logs, str):
        return tuple(logs.split(','))
    return tuple(logs)


def _format_timeline(story: RequestTimeline) -> str:
    line = story.line
    parts = [
        f'{line.request} at {line.process}, {line.timestamp.isoformat()}',
        f'status {line.status}, {line.verdict} after {line.ms} ms'
        f' {line.reason}'.rstrip(),
    ]
    if line.queue_ahead >= 0:
        parts.append(
            f'waited {line.queued_ms} ms at the router,'
            f' {line.queue_ahead} ahead'
        )
    if line.tries:
        rows = []
        for one in line.tries:
            rows.append(_row(one))
        parts.append(tabulate(rows, _HEADERS))
    shown_lines = [
        *story.process,
        *story.orders,
        *story.crashes,
        *story.skipped,
        *story.related_lines[:_MAX_RELATED_LINES],
    ]
    for shown in shown_lines:
        parts.append(f'  {_format_line(shown)}')
    omitted = len(story.related_lines) - _MAX_RELATED_LINES
    if omitted > 0:
        parts.append(f'  and {omitted} more that failed at these upstreams')
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


def _format_line(line: LogLine) -> str:
    fields = (
        line.request,
        line.reason,
        line.upstream,
        line.collection,
        line.fault,
        str(line.version) if line.version else '',
        line.kind,
        line.answered,
    )
    details = ' '.join(text for text in fields if text)
    at = line.timestamp.strftime('%H:%M:%S.%f')
    return f'{at} {line.process} {line.event} {details}'.rstrip()
