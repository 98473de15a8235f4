"""Find what the logs tell of one request, and what stands beside it."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from lacewing_common.log_lines import LogLine

FAILED = 'callers: Request failed.'
ORDERED = 'placement: Ordered weights.'
CRASHED = 'link: An upstream crashed.'
LOST = 'platform: Lost a collection.'
STARTED = 'main: Started.'
DRAINING = 'main: Draining.'
STOPPED = 'main: Stopped.'
# A router in use writes lines all the time.
SILENT = timedelta(seconds=5)
# Lines of the process itself are shown from this long before the request.
BEFORE = timedelta(seconds=8)
# Orders and failures at the same upstream belong together within this time;
# a load takes 0.4 s, a silent upstream is left after 1.4 s.
AROUND = timedelta(seconds=2)


@dataclass(frozen=True)
class RequestTimeline:
    """Hold a request's own line and the lines that may explain it.

    ``orders``: orders of weights to the upstreams that were tried.
    ``related_lines``: other requests that failed at one of these upstreams.
    ``process``: what the process lost, or that it started or drains.
    ``crashes``: crashes of upstreams that broke off what asks the same.
    """

    line: LogLine
    orders: tuple[LogLine, ...]
    related_lines: tuple[LogLine, ...]
    process: tuple[LogLine, ...]
    crashes: tuple[LogLine, ...] = ()


def find_timelines(
    lines: Sequence[LogLine], request_id: str
) -> tuple[RequestTimeline, ...]:
    """Return a story for each line of the request; none if it has no line."""
    stories = []
    for line in lines:
        if line.request == request_id:
            stories.append(_story(lines, line))
    return tuple(stories)


def find_unclean_exits(lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    """Return the last lines of processes that fell silent without a stop.

    A VM that lost its power writes no line of what it had open.
    """
    last: dict[str, LogLine] = {}
    for line in lines:
        last[line.process] = line
    if not last:
        return ()
    newest = max(line.timestamp for line in last.values())
    found = []
    for line in last.values():
        if line.event != STOPPED and newest - line.timestamp > SILENT:
            found.append(line)
    return tuple(found)


def _story(lines: Sequence[LogLine], own: LogLine) -> RequestTimeline:
    began = own.timestamp - timedelta(milliseconds=own.ms)
    tried = frozenset(one.upstream for one in own.tries)
    orders = []
    beside = []
    process = []
    crashes = []
    for line in lines:
        if line is own:
            continue
        if line.event == CRASHED and line.timestamp <= own.timestamp + AROUND:
            if any(run.same == own.same for run in line.runs):
                crashes.append(line)
        if line.process == own.process and line.event in _OF_PROCESS:
            if began - BEFORE <= line.timestamp <= own.timestamp:
                process.append(line)
        if not began - AROUND <= line.timestamp <= own.timestamp + AROUND:
            continue
        if line.event == ORDERED and line.upstream in tried:
            orders.append(line)
        if line.event == FAILED and _failed_at(line, tried):
            beside.append(line)
    return RequestTimeline(
        own, tuple(orders), tuple(beside), tuple(process), tuple(crashes)
    )


def _failed_at(line: LogLine, upstreams: frozenset[str]) -> bool:
    for one in line.tries:
        if one.upstream in upstreams and one.reason:
            return True
    return False


_OF_PROCESS = frozenset((LOST, STARTED, DRAINING))
