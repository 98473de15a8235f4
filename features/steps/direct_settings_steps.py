"""Check the settings of direct routers and their template."""

import json
import re
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.settings import SettingsError
from lacewing_daemon.direct import Contention
from lacewing_daemon.direct import DirectSettings
from lacewing_platform._settings import read_platform_settings

TEMPLATE = Path('deploy/router.json')
VALID_SETTINGS: dict[str, Any] = {
    'process_id': 'router-1',
    'availability_zone': 'east',
    'callers': '10.0.0.1:80',
    'ready': '10.0.0.1:81',
    'platform': '10.0.0.9:82',
    'bounds': {
        'drain_s': 8,
        'revoke_s': 5,
        'lease_s': 3,
        'weights_s': 8,
        'repeat_ratio': 0.2,
        'repeat_slack': 54,
        'repeat_window_s': 10,
    },
}
TEMPLATE_FIELDS = {
    'NodeName': 'frontend-1',
    'Zone': 'east',
    'IpAddress': '10.0.0.1',
    'InternalPortRange.0': 7340,
    'ListenAddresses.Frontend': '10.0.0.1:80',
    'ListenAddresses.Ready': '10.0.0.1:81',
    'PlatformSettings.Address': '10.0.0.9:82',
    'Bounds.GracePeriodS': 8,
    'Bounds.RevocationMs': 5000,
    'Bounds.LeaseDurationMs': 3000,
    'Bounds.VersionMs': 8000,
    'Bounds.RetryBudgetRatio': 0.2,
    'Bounds.RetryBudgetSlack': 54,
    'Bounds.BudgetWindowS': 10,
    'Limits.MemoryMb': 150,
    'Limits.FileDescriptors': 4100,
    'ActiveContracts': ['retry', 'deadline'],
    'Bootstrap': False,
}
LIMIT_FIELDS = {
    'Bounds.QuotaWindowS': 8,
    'Bounds.QuotaOverage': 0.1,
    'Bounds.QuotaSlack': 0,
}


def _read_settings(text: str) -> DirectSettings:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'settings.json'
        path.write_text(text)
        return read_platform_settings(path)


@when('settings of a direct router have {value} at {field}')
def step_invalid_field(context: Context, value: str, field: str) -> None:
    """Read settings of which one field is changed."""
    settings = json.loads(json.dumps(VALID_SETTINGS))
    section = settings
    *sections, name = field.split('.')
    for section_name in sections:
        section = section[section_name]
    section[name] = json.loads(value)
    context.refused = ''
    try:
        _read_settings(json.dumps(settings))
    except SettingsError as error:
        context.refused = str(error)


@then('they are refused with "{message}"')
def step_refused(context: Context, message: str) -> None:
    """Check the error message."""
    assert message in context.refused, context.refused


@when('the template is filled with the fields that the platform provides')
def step_template(context: Context) -> None:
    """Replace each placeholder as the platform does."""
    context.settings = _read_settings(_render(TEMPLATE_FIELDS))


@then('the settings have the size of the VM')
def step_vm(context: Context) -> None:
    """Compare with the fields that the platform provides."""
    vm = context.settings.vm
    assert vm.memory_mb == TEMPLATE_FIELDS['Limits.MemoryMb'], vm
    assert vm.file_descriptors == TEMPLATE_FIELDS['Limits.FileDescriptors'], vm


@when('the template is filled on a platform that limits teams')
def step_template_limits(context: Context) -> None:
    """Add the bounds of teams' limits, one of which is 0."""
    context.settings = _read_settings(
        _render({**TEMPLATE_FIELDS, **LIMIT_FIELDS})
    )


@when('the template is filled on a platform with the contracts "{contracts}"')
def step_template_contracts(context: Context, contracts: str) -> None:
    """Replace the contracts."""
    fields = {**TEMPLATE_FIELDS, 'ActiveContracts': contracts.split(', ')}
    context.settings = _read_settings(_render(fields))


@when('the template is filled on a platform with the first start {first}')
def step_template_first(context: Context, first: str) -> None:
    """Replace whether the system starts for the first time."""
    fields = {**TEMPLATE_FIELDS, 'Bootstrap': json.loads(first)}
    context.settings = _read_settings(_render(fields))


@then('the settings have the first start {first}')
def step_first(context: Context, first: str) -> None:
    """Compare."""
    assert context.settings.first_start is json.loads(first)


@when('settings with contention {setting} have the contracts {contracts}')
def step_contracts(context: Context, setting: str, contracts: str) -> None:
    """Read settings; "none" leaves a field out."""
    settings = dict(VALID_SETTINGS)
    if setting != 'none':
        settings['contention'] = setting
    if contracts != 'none':
        settings['contracts'] = contracts.split(', ')
    context.settings = _read_settings(json.dumps(settings))


@then('the contention is "{expected}"')
def step_contention(context: Context, expected: str) -> None:
    """Compare."""
    found = context.settings.contention
    assert found is Contention(expected), found


@then('the settings have the bounds of limits')
def step_limit_bounds(context: Context) -> None:
    """Compare them with the fields of the platform."""
    bounds = context.settings.bounds
    found = (bounds.limit_window_s, bounds.limit_overage, bounds.limit_slack)
    assert found == (8, 0.1, 0), found


def _render(fields: Mapping[str, object]) -> str:
    """Fill the template; sections are left out without a value."""

    def render_section(match: re.Match[str]) -> str:
        return match.group(2) if fields.get(match.group(1)) else ''

    def render(match: re.Match[str]) -> str:
        name, _, filter_name = match.group(1).partition('|')
        value = fields[name]
        return json.dumps(value) if filter_name == 'json' else str(value)

    text = TEMPLATE.read_text()
    text = re.sub(
        r'\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}', render_section, text, flags=re.S
    )
    return re.sub(r'\{\{([^}]+)\}\}', render, text)


@then("the settings are valid and have the platform's bounds in seconds")
def step_valid(context: Context) -> None:
    """Check addresses and the units of bounds."""
    settings: DirectSettings = context.settings
    assert settings.callers == '10.0.0.1:80', settings
    assert settings.metrics == '10.0.0.1:9464', settings
    assert settings.peers == '10.0.0.1:7340', settings
    assert settings.bounds.revoke_s == 5.0, settings
    assert settings.bounds.weights_s == 8.0, settings
