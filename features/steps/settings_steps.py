"""Run ``lacewingd --check`` on modified settings."""

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context


@given('settings of a router')
def given_router_settings(context: Context) -> None:
    """Create valid settings."""
    context.directory = Path(
        context.resources.enter_context(TemporaryDirectory())
    )
    context.settings = {
        'role': 'router',
        'process_id': 'router-1',
        'place': {'region': 'moravia', 'availability_zone': 'brno-1'},
    }


@given('the field "{field}" is set to {value}')
def given_field(context: Context, field: str, value: str) -> None:
    """Set one field, given by its path."""
    group: dict[str, Any] = context.settings
    *groups, last = field.split('.')
    for name in groups:
        group = group.setdefault(name, {})
    group[last] = json.loads(value)


@given('a bundle file with {text}')
def given_bundle_file(context: Context, text: str) -> None:
    """Write a bundle file and refer to it in the settings."""
    path = context.directory / 'bundle.json'
    path.write_text(text)
    context.settings['bundle_file'] = str(path)


@when('lacewingd checks the settings')
def when_checked(context: Context) -> None:
    """Write the settings file and check it."""
    path = context.directory / 'settings.json'
    path.write_text(json.dumps(context.settings))
    _run_check(context, path)


@when('lacewingd checks the settings file "{name}"')
def when_file_checked(context: Context, name: str) -> None:
    """Check the settings file at a path."""
    _run_check(context, Path(name))


def _run_check(context: Context, path: Path) -> None:
    command = [sys.executable, '-m', 'lacewing_daemon.main']
    context.ended = subprocess.run(
        [*command, '--settings', str(path), '--check'],
        capture_output=True,
        text=True,
        check=False,
    )


@then('it exits with code {code:d}')
def then_exit_code(context: Context, code: int) -> None:
    """Compare the exit code."""
    ended = context.ended
    assert ended.returncode == code, (ended.returncode, ended.stderr)


@then('the output contains "{text}"')
def then_output_contains(context: Context, text: str) -> None:
    """Search standard output and standard error."""
    output = context.ended.stdout + context.ended.stderr
    assert text in output, output
