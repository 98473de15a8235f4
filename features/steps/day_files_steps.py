"""Check the days of our own that the users' bench plays."""

import tomllib
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave.runner import Context

DAYS = Path(__file__).parents[2] / 'deploy' / 'days'
# What the bench says that there is, for any of the users' sites.
KINDS = frozenset(
    'add_nodes after_ack_kill answer_lost applied_late big_config burst'
    ' clock_step config_change config_storm core_cut events_gap garble'
    ' give_up herd_kill hot_key hup idle_race kv_slow lossy node_cut'
    ' node_freeze node_kill node_slow platform_compact platform_down'
    ' platform_lost platform_slow release replace_core replace_with_reuse'
    ' reset_conns retry_abuse revoke roll_term scale_in scale_out srv_crash'
    ' srv_cut srv_flap srv_grey srv_lying_health srv_slow'
    ' version_bump'.split()
)
CLOSING = frozenset(('power_off_all', 'wipe_after_ack', 'kill_all'))
CLOSING_FIELDS = frozenset(('kind', 'down_s', 'how'))
DAY_FIELDS = frozenset(
    ('name', 'length_s', 'classes', 'plan', 'faults', 'closing')
)
CLASS_FIELDS = frozenset(('name', 'retries'))
FIELDS = frozenset(
    'at kind for_s gap_s share count x how on zone to_zone region service'
    ' class'.split()
)
NUMBERS = ('at', 'for_s', 'gap_s', 'share', 'count', 'x')
PLACES = {
    'zone': '@z0',
    'to_zone': '@z0',
    'service': '@s0',
    'class': '@c0',
}


def _faults_of(day: dict[str, Any]) -> list[str]:
    """Return what is wrong with a day."""
    wrong = [f'unknown {field}' for field in set(day) - DAY_FIELDS]
    entries = [*day.get('plan', []), *day.get('faults', [])]
    if not entries:
        wrong.append('nothing happens')
    for entry in entries:
        wrong.extend(_faults_of_entry(entry))
    for entry in day.get('classes', []):
        wrong.extend(_faults_of_class(entry))
    length_s = day.get('length_s', 1.0)
    if not isinstance(length_s, int | float) or length_s <= 0:
        wrong.append(f'no length: {length_s!r}')
    closing = day.get('closing')
    if closing is not None:
        if closing.get('kind') not in CLOSING:
            wrong.append(f'unknown closing {closing}')
        if not CLOSING_FIELDS.issuperset(closing):
            wrong.append(f'unknown fields of {closing}')
    return wrong


def _faults_of_class(entry: dict[str, Any]) -> list[str]:
    wrong = [f'unknown {field}' for field in set(entry) - CLASS_FIELDS]
    if entry.get('name') != PLACES['class']:
        wrong.append(f'a class of one site: {entry}')
    retries = entry.get('retries', 0)
    if not isinstance(retries, int) or retries < 0:
        wrong.append(f'no number: retries of {entry}')
    return wrong


def _faults_of_entry(entry: dict[str, Any]) -> list[str]:
    wrong = [f'unknown {field}' for field in set(entry) - FIELDS]
    if entry.get('kind') not in KINDS:
        wrong.append(f'unknown kind {entry.get("kind")!r}')
    if 'at' not in entry:
        wrong.append(f'no moment in {entry}')
    for field in NUMBERS:
        value = entry.get(field, 0)
        if not isinstance(value, int | float) or value < 0:
            wrong.append(f'no number: {field} of {entry}')
    for field, sign in PLACES.items():
        if entry.get(field, sign) != sign:
            wrong.append(f'a place of one site: {entry}')
    return wrong


@given('the files in deploy/days')
def step_files(context: Context) -> None:
    """Read them all."""
    context.days = {}
    for path in sorted(DAYS.iterdir()):
        assert path.suffix == '.toml', path
        context.days[path.stem] = tomllib.loads(path.read_text())
    assert context.days


@given('a day file {text}')
def step_text(context: Context, text: str) -> None:
    """Read one line as a file."""
    context.days = {'x': tomllib.loads(text.replace('; ', '\n'))}


@then("each holds one day with its file's name")
def step_names(context: Context) -> None:
    """Compare the names."""
    for name, day in context.days.items():
        assert day['name'] == name, (name, day['name'])


@then('each entry has a moment, a kind that there is and only known fields')
@then("places are named by the signs that stand for a site's first")
def step_entries(context: Context) -> None:
    """Look at every entry."""
    for name, day in context.days.items():
        assert not _faults_of(day), (name, _faults_of(day))


@then('it is found to be wrong')
def step_wrong(context: Context) -> None:
    """Look whether anything is said."""
    assert _faults_of(context.days['x'])
