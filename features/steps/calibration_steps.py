"""Check the comparison of expected with observed first events."""

import json
import tempfile
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.calibration import calibrate
from lacewing_bench.calibration import read_sends


def _line(**sent: Any) -> str:
    line: dict[str, Any] = {
        'event': 'Request answered.',
        'process': 'router-1',
        'timestamp': '2026-04-09T03:54:09.856274Z',
        'tries': [{'upstream': 'e', 'verdict': 'ran', 'reason': '', 'ms': 9}],
    }
    line['tries'][0].update(sent)
    return f'router-1 | {json.dumps(line)}\n'


def _write(context: Context, lines: list[str]) -> None:
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    context.path = Path(directory) / 'log'
    context.path.write_text(''.join(lines))


@given(
    'a log with {count:d} sends to each of two engines, one {late_ms:d} ms'
    ' late'
)
def step_log(context: Context, count: int, late_ms: int) -> None:
    """Expect half of the sends of each engine early, half late."""
    lines = []
    for number in range(count):
        expected_ms = 300 if number % 2 else 400
        for name, error_ms in (('late', late_ms), ('sound', 10)):
            lines.append(
                _line(
                    upstream=name,
                    expected_ms=expected_ms,
                    first_ms=expected_ms + error_ms,
                )
            )
    _write(context, lines)


@given('a log with text, a refused send, a continued run and a plain service')
def step_other(context: Context) -> None:
    """Write lines without a first event that was expected."""
    lines = [
        'no braces\n',
        '{"event": "cut\n',
        _line(verdict='not-run', expected_ms=100),
        _line(went_on=True, expected_ms=100, first_ms=5),
        _line(first_ms=5),
    ]
    _write(context, lines)


@when('the log is calibrated')
def step_calibrate(context: Context) -> None:
    """Read the sends."""
    context.sends = list(read_sends([context.path]))
    if context.sends:
        context.calibration = calibrate(context.sends)


@then('only the late engine misses its target')
def step_misses(context: Context) -> None:
    """Compare the engines."""
    late, sound = context.calibration.engines
    assert (late.engine, late.sends, late.mean_ms) == ('late', 30, 150.0)
    assert (sound.engine, sound.sends, sound.mean_ms) == ('sound', 30, 10.0)
    assert late.misses_target and not sound.misses_target
    assert not context.calibration.meets_targets


@then('{part:f} of the sends are late though expected early')
def step_late(context: Context, part: float) -> None:
    """Compare the fraction."""
    assert context.calibration.late == part, context.calibration.late


@then('each group of expected times has as many sends')
def step_groups(context: Context) -> None:
    """Compare the sizes."""
    sizes = {group.sends for group in context.calibration.groups}
    assert sizes == {12}, sizes


@then('it has no sends')
def step_none(context: Context) -> None:
    """Check that nothing was read."""
    assert not context.sends
