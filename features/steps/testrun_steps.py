"""Check the counts, the list of known red tests and the verdict."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.testrun._counts import Counts
from lacewing_bench.testrun._known_red import KnownRed
from lacewing_bench.testrun._known_red import KnownRedError
from lacewing_bench.testrun._known_red import read_known_red
from lacewing_bench.testrun._verdict import passes
from lacewing_bench.testrun._verdict import report

_STEPS = """
from behave import given

@given('a step that passes')
def passes(context):
    pass

@given('a step that fails')
def fails(context):
    assert False

@given('a step that errs')
def errs(context):
    raise OSError
"""
_FEATURE = """
Feature: Four ways for a step to end
  Scenario: One
    Given a step that passes
  Scenario: Two
    Given a step that fails
  Scenario: Three
    Given a step that errs
  Scenario: Four
    Given a step that nobody wrote
"""

_TWO_STEPS = """
from time import sleep
from behave import given

@given('a step that fails at once')
def fails(context):
    assert False, 'the reason of the failure'

@given('a step that takes long')
def passes(context):
    sleep(1.5)
"""


def _names(text: str) -> tuple[str, ...]:
    return tuple(name.strip() for name in text.split(',') if name.strip())


def _directory(context: Context) -> Path:
    return Path(context.resources.enter_context(TemporaryDirectory()))


@given('{passed:d} scenarios passed and these failed: "{failed}"')
def given_counts(context: Context, passed: int, failed: str) -> None:
    """Make up the counts of a run."""
    names = tuple(f'ok-{index}' for index in range(passed))
    context.counts = Counts(names, _names(failed), ())


@given('{passed:d} scenarios passed and these failed: ""')
def given_no_failures(context: Context, passed: int) -> None:
    """Make up the counts of a run without failures."""
    given_counts(context, passed, '')


@given('these are known red: "{known}"')
def given_known(context: Context, known: str) -> None:
    """Put tests on record."""
    context.known = tuple(
        KnownRed(name, 'a cause', 'issue 1') for name in _names(known)
    )


@given('these are known red: ""')
def given_none_known(context: Context) -> None:
    """Put no tests on record."""
    context.known = ()


@given('a list of {number:d} known red tests')
def given_long_list(context: Context, number: int) -> None:
    """Write a list of so many tests."""
    lines = [f'f.feature: {index} | cause | issue' for index in range(number)]
    context.listed = _directory(context) / 'KNOWN-RED.txt'
    context.listed.write_text('\n'.join(lines))


@given('a list of {number:d} known red tests and {more:d} of issue {issue:d}')
def given_mixed_list(
    context: Context, number: int, more: int, issue: int
) -> None:
    """Add tests of one issue to a list."""
    given_long_list(context, number)
    with context.listed.open('a') as listed:
        for index in range(more):
            listed.write(f'\nf.feature: m{index} | cause | issue {issue}')


@then('the list has {number:d} tests')
def then_listed(context: Context, number: int) -> None:
    """Read the list."""
    assert len(read_known_red(context.listed)) == number


@given('a known red line "{line}"')
def given_line(context: Context, line: str) -> None:
    """Write a list of one line."""
    context.listed = _directory(context) / 'KNOWN-RED.txt'
    context.listed.write_text(line)


@given('a feature with a passing, a failing, an erring and an undefined step')
def given_feature(context: Context) -> None:
    """Write a feature whose scenarios end in four ways."""
    context.features = _directory(context)
    steps = context.features / 'steps'
    steps.mkdir()
    (steps / 'all_steps.py').write_text(_STEPS)
    (context.features / 'four.feature').write_text(_FEATURE)


@when('the test run takes that feature')
def when_run(context: Context) -> None:
    """Run the module as continuous integration does."""
    context.run = subprocess.run(
        [sys.executable, '-m', 'lacewing_bench.testrun', context.features],
        capture_output=True,
        text=True,
        check=False,
        cwd=context.features,
    )


@then("the run's verdict is {verdict}")
def then_verdict(context: Context, verdict: str) -> None:
    """Compare the verdict."""
    assert passes(context.counts, context.known) is (verdict == 'pass')


@then('the last line of the report is "{last}"')
def then_last_line(context: Context, last: str) -> None:
    """Compare the last line."""
    lines = report(context.counts, context.known)
    assert lines[-1] == last, lines


@then('the list is refused with "{text}"')
def then_refused(context: Context, text: str) -> None:
    """Read the list and compare the error."""
    try:
        read_known_red(context.listed)
    except KnownRedError as error:
        assert text in str(error), error
        return
    raise AssertionError('the list was taken')


@then('its last line is "{last}"')
def then_printed(context: Context, last: str) -> None:
    """Compare the last line printed."""
    lines = context.run.stdout.splitlines()
    assert lines[-1:] == [last], context.run.stdout + context.run.stderr


@then('its exit code is {code:d}')
def then_code(context: Context, code: int) -> None:
    """Compare the exit code of the test run."""
    assert context.run.returncode == code, context.run.returncode


@given('a feature that fails, and one that passes later')
def given_two(context: Context) -> None:
    """Write two features; the one that passes takes longer."""
    context.features = _directory(context) / 'features'
    context.features.mkdir()
    steps = context.features / 'steps'
    steps.mkdir()
    (steps / 'all_steps.py').write_text(_TWO_STEPS)
    for name, step in (('fails', 'fails at once'), ('passes', 'takes long')):
        (context.features / f'{name}.feature').write_text(
            f'Feature: It {name}\n'
            f'  Scenario: One\n    Given a step that {step}\n'
        )


@when('both are run side by side')
def when_two(context: Context) -> None:
    """Run all features of the directory, as continuous integration does."""
    context.run = subprocess.run(
        [sys.executable, '-m', 'lacewing_bench.testrun'],
        capture_output=True,
        text=True,
        check=False,
        cwd=context.features.parent,
    )


@then('the reason of the failure comes after the other feature')
def then_reason_last(context: Context) -> None:
    """Compare the places in the output."""
    printed = context.run.stdout
    reason_at = printed.index('the reason of the failure')
    assert 0 <= printed.index('It passes') < reason_at, printed
