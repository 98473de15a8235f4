"""Check that logging under load is limited and never blocks writers."""

import json
import os
import threading

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.log_output import LineOutput
from lacewing_daemon.direct._line_budget import LineBudget


@when('{good:d} answered and {bad:d} failed requests end within a second')
def step_requests_end(context: Context, good: int, bad: int) -> None:
    """Request a line for each, with failures spread evenly."""
    budget = LineBudget(0.0)
    context.logged_counts = {True: 0, False: 0}
    total = good + bad
    for number in range(total):
        failed = number * bad // total != (number + 1) * bad // total
        if budget.allow(failed, number / total):
            context.logged_counts[failed] += 1
    context.total_count = total
    context.dropped_count = budget.pop_dropped_count()
    context.failed_count = bad


@then('all failed ones are told and at most {most:d} answered ones')
def step_failures_preferred(context: Context, most: int) -> None:
    """Check the numbers of lines that were allowed."""
    assert context.logged_counts[True] == context.failed_count, (
        context.logged_counts
    )
    assert 0 < context.logged_counts[False] <= most + 40, context.logged_counts


@then('the number left out is counted')
def step_dropped_counted(context: Context) -> None:
    """Check the number of dropped lines."""
    logged = context.logged_counts[True] + context.logged_counts[False]
    assert context.dropped_count == context.total_count - logged, (
        context.dropped_count
    )


@given('a log whose reader is paused')
def step_paused_reader(context: Context) -> None:
    """Open a pipe that is not read."""
    read_end, write_end = os.pipe()
    context.reader = os.fdopen(read_end)
    context.pipe = os.fdopen(write_end, 'w')
    context.resources.callback(context.pipe.close)
    # The callbacks run in reverse order: closing the read end first unblocks
    # a thread that waits to write.
    context.resources.callback(context.reader.close)
    context.output = LineOutput(context.pipe, max_lines=100)


@when('{count:d} lines are written')
def step_write_lines(context: Context, count: int) -> None:
    """Write lines from a thread that must end."""
    context.written = count

    def write() -> None:
        for number in range(count):
            context.output.write(
                json.dumps({'n': number, 'x': 'y' * 80}) + '\n'
            )

    context.writer = threading.Thread(target=write, daemon=True)
    context.writer.start()


@then('writing them returns though none is read')
def step_writer_ends(context: Context) -> None:
    """Wait for the end of the thread."""
    context.writer.join(20.0)
    assert not context.writer.is_alive(), 'the writer is still blocked'


@then('once the reader goes on it is told how many were dropped')
def step_dropped_reported(context: Context) -> None:
    """Read until received and dropped lines add up to those written."""
    kept, dropped = 0, 0
    for line in context.reader:
        parsed = json.loads(line)
        if 'count' in parsed:
            dropped += parsed['count']
        else:
            kept += 1
        if kept + dropped == context.written:
            break
    assert kept + dropped == context.written, (kept, dropped)
    assert dropped > 0
