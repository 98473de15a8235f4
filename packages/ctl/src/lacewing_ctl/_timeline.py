"""Find the log lines of a request and the lines that may explain it."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from lacewing_common.log_lines import BrokenRun
from lacewing_common.log_lines import LogLine

REQUEST_FAILED = 'callers: Request failed.'
WEIGHTS_ORDERED = 'placement: Ordered weights.'
UPSTREAM_CRASHED = 'link: An upstream crashed.'
ANSWER_SKIPPED = 'link: Skipped a response to another request.'
SEND_ENDED = 'link: Ended a send: the response does not name it.'
OTHER_ANSWERS = frozenset((ANSWER_SKIPPED, SEND_ENDED))
COLLECTION_LOST = 'platform: Lost a collection.'
STARTED = 'main: Started.'
DRAINING = 'main: Draining.'
STOPPED = 'main: Stopped.'
# A router in use logs all the time; a longer silence means that it ended.
MAX_LOG_GAP = timedelta(seconds=5)
# Events of the process are included from this long before the request.
PROCESS_WINDOW = timedelta(seconds=8)
# Orders and failures at the same upstream count as related within this time:
# a load takes 0.4 s, and a silent upstream is abandoned after 1.4 s.
RELATED_WINDOW = timedelta(seconds=2)


@dataclass(frozen=True)
class RequestTimeline:
    """Hold the line of a request and the lines that may explain it.

    ``orders``: orders of weights to the upstreams that were tried.
    ``related_lines``: other requests that failed at one of these upstreams.
    ``process``: lost collections, starts and drains of the same process.
    ``crashes``: crashes of upstreams that interrupted the same request, or
    prompts with a part for which it was blocked. ``skipped``: answers that
    did not name this request, while it waited.
    """

    line: LogLine
    orders: tuple[LogLine, ...]
    related_lines: tuple[LogLine, ...]
    process: tuple[LogLine, ...]
    crashes: tuple[LogLine, ...] = ()
    skipped: tuple[LogLine, ...] = ()


def find_timelines(
    lines: Sequence[LogLine], request_id: str
) -> tuple[RequestTimeline, ...]:
    """Return one timeline for each line of the request."""
    timelines = []
    for line in lines:
        if line.event in OTHER_ANSWERS:
            continue
        if line.request == request_id:
            timelines.append(_build_timeline(lines, line))
    return tuple(timelines)


def find_unclean_exits(lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    """Return the last line of each process whose log ends without a stop.

    A VM that loses power logs nothing about its open requests.
    """
    last_lines: dict[str, LogLine] = {}
    for line in lines:
        last_lines[line.process] = line
    if not last_lines:
        return ()
    newest = max(line.timestamp for line in last_lines.values())
    unclean = []
    for line in last_lines.values():
        if line.event != STOPPED and newest - line.timestamp > MAX_LOG_GAP:
            unclean.append(line)
    return tuple(unclean)


def _build_timeline(
    lines: Sequence[LogLine], request_line: LogLine
) -> RequestTimeline:
    started_at = request_line.timestamp - timedelta(
        milliseconds=request_line.ms
    )
    tried = frozenset(each.upstream for each in request_line.tries)
    orders = []
    related_lines = []
    process = []
    crashes = []
    skipped = []
    for line in lines:
        if line is request_line:
            continue
        if (
            line.event == UPSTREAM_CRASHED
            and line.timestamp <= request_line.timestamp + RELATED_WINDOW
        ):
            if any(_has_common(run, request_line) for run in line.runs):
                crashes.append(line)
        if (
            line.process == request_line.process
            and line.event in _PROCESS_EVENTS
        ):
            if (
                started_at - PROCESS_WINDOW
                <= line.timestamp
                <= request_line.timestamp
            ):
                process.append(line)
        if (
            not started_at - RELATED_WINDOW
            <= line.timestamp
            <= request_line.timestamp + RELATED_WINDOW
        ):
            continue
        if line.event == WEIGHTS_ORDERED and line.upstream in tried:
            orders.append(line)
        if (
            line.event in OTHER_ANSWERS
            and line.process == request_line.process
            and line.request == request_line.request
        ):
            skipped.append(line)
        if line.event == REQUEST_FAILED and _failed_at(line, tried):
            related_lines.append(line)
    return RequestTimeline(
        request_line,
        tuple(orders),
        tuple(related_lines),
        tuple(process),
        tuple(crashes),
        tuple(skipped),
    )


def _has_common(run: BrokenRun, request_line: LogLine) -> bool:
    """Return whether a run is of the same request or a part that it names.

    A request that was refused as parts of its prompt crash upstreams has
    often run nowhere.
    """
    if run.same == request_line.same:
        return True
    for part in run.parts:
        if part in request_line.parts and part in request_line.message:
            return True
    return False


def _failed_at(line: LogLine, upstreams: frozenset[str]) -> bool:
    for each in line.tries:
        if each.upstream in upstreams and each.reason:
            return True
    return False


_PROCESS_EVENTS = frozenset((COLLECTION_LOST, STARTED, DRAINING))
