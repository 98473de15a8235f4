"""Steps that run lacewingctl against a platform over HTTP."""

import shlex
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.loop_thread import LoopThread
from lacewing_bench.platform import FaultSwitches
from support.ctl_bench import CtlBench


@given('a platform over HTTP and the operators "{names}" with keys')
def start(context: Context, names: str) -> None:
    """Start the platform and create keys and profiles."""
    directory = context.resources.enter_context(TemporaryDirectory())
    loop = LoopThread()
    context.resources.callback(loop.close)
    bench = CtlBench(Path(directory), loop)
    context.resources.callback(bench.close)
    bench.add_operators(names.split(', '))
    context.ctl_bench = bench


@given('"{operator}" has rolled a first bundle from "{file}"')
def roll_first(context: Context, operator: str, file: str) -> None:
    """Create, sign and roll a valid bundle."""
    bench = context.ctl_bench
    bench.run(operator, ['bundle', 'new', file])
    bench.fill(file)
    bench.run(operator, ['bundle', 'sign', file])
    bench.run(operator, ['bundle', 'roll', file])
    assert bench.ended.returncode == 0, bench.ended.stderr


@given('two processes, one of them stuck at roll {number:d}')
def start_stuck(context: Context, number: int) -> None:
    """Start two operators' listeners, one with a constant roll."""
    context.ctl_bench.start_processes(number)


@given('two processes that follow the platform')
def start_following(context: Context) -> None:
    """Start two operators' listeners that report the latest roll."""
    context.ctl_bench.start_processes(0)


@when('"{operator}" runs "{command}"')
def run(context: Context, operator: str, command: str) -> None:
    """Run lacewingctl."""
    bench = context.ctl_bench
    bench.run(operator, shlex.split(command))


@when('teams, services and models are added to the draft "{file}"')
def add_contents(context: Context, file: str) -> None:
    """Edit the file of the draft."""
    context.ctl_bench.fill(file)


@when('the next {count:d} answers of the platform are lost')
def lose_answers(context: Context, count: int) -> None:
    """Drop the answers to the next writes."""
    context.ctl_bench.set_faults(FaultSwitches(lose_next=count))


@then('it ends with {code:d}')
def ends_with(context: Context, code: int) -> None:
    """Check the exit code."""
    ended = context.ctl_bench.ended
    assert ended.returncode == code, (ended.returncode, ended.stderr)


@then('it ends with {code:d} and prints "{text}"')
def prints(context: Context, code: int, text: str) -> None:
    """Check the exit code and the output."""
    ends_with(context, code)
    ended = context.ctl_bench.ended
    assert text in ended.stdout, (ended.stdout, ended.stderr)


@then('it ends with {code:d} and warns "{text}"')
def warns(context: Context, code: int, text: str) -> None:
    """Check the exit code and standard error."""
    ends_with(context, code)
    ended = context.ctl_bench.ended
    assert text in ended.stderr, (ended.stdout, ended.stderr)


@then('only the owner can read "{file}"')
def owner_only(context: Context, file: str) -> None:
    """Check the mode of a file."""
    mode = (context.ctl_bench.directory / file).stat().st_mode
    assert mode & 0o077 == 0, oct(mode)


@then('its JSON output has {count:d} rows')
def has_rows(context: Context, count: int) -> None:
    """Count the rows of a JSON list."""
    rows = msgspec.json.decode(context.ctl_bench.ended.stdout)
    assert len(rows) == count, rows
