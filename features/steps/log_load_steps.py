"""Check that logging under load is bounded and never blocks the writer."""

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
def step_ends(context: Context, good: int, bad: int) -> None:
    """Ask for a line for each, mixed."""
    budget = LineBudget(0.0)
    context.told = {True: 0, False: 0}
    total = good + bad
    for number in range(total):
        failed = number * bad // total != (number + 1) * bad // total
        if budget.allow(failed, number / total):
            context.told[failed] += 1
    context.ended = total
    context.left_out = budget.pop_dropped_count()
    context.bad = bad


@then('all failed ones are told and at most {most:d} answered ones')
def step_failed_first(context: Context, most: int) -> None:
    """Check what was told."""
    assert context.told[True] == context.bad, context.told
    assert 0 < context.told[False] <= most + 40, context.told


@then('the number left out is counted')
def step_left_out(context: Context) -> None:
    """Check the count."""
    told = context.told[True] + context.told[False]
    assert context.left_out == context.ended - told, context.left_out


@given('a log whose reader is paused')
def step_paused(context: Context) -> None:
    """Open a pipe that nobody reads."""
    read_end, write_end = os.pipe()
    context.reader = os.fdopen(read_end)
    context.pipe = os.fdopen(write_end, 'w')
    context.resources.callback(context.pipe.close)
    # Closed first, so that a thread that waits to write is let go.
    context.resources.callback(context.reader.close)
    context.output = LineOutput(context.pipe, max_lines=100)


@when('{count:d} lines are written')
def step_lines(context: Context, count: int) -> None:
    """Write from a thread that must end."""
    context.written = count

    def write() -> None:
        for number in range(count):
            context.output.write(
                json.dumps({'n': number, 'x': 'y' * 80}) + '\n'
            )

    context.writer = threading.Thread(target=write, daemon=True)
    context.writer.start()


@then('writing them returns though none is read')
def step_returns(context: Context) -> None:
    """Wait for the thread."""
    context.writer.join(20.0)
    assert not context.writer.is_alive(), 'the writer still waits'


@then('once the reader goes on it is told how many were dropped')
def step_told(context: Context) -> None:
    """Read until the lines that were kept and the count add up."""
    kept, dropped = 0, 0
    for line in context.reader:
        read = json.loads(line)
        if 'count' in read:
            dropped += read['count']
        else:
            kept += 1
        if kept + dropped == context.written:
            break
    assert kept + dropped == context.written, (kept, dropped)
    assert dropped > 0
