"""Check the comparison of policies by paired plays."""

import json
import subprocess
import tempfile
from pathlib import Path

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.policy_trials import Arm
from lacewing_bench.policy_trials import compare
from lacewing_bench.policy_trials import parse_arms
from lacewing_bench.policy_trials import parse_plays
from lacewing_bench.policy_trials import report
from lacewing_bench.policy_trials import Result
from lacewing_bench.policy_trials import Results
from lacewing_bench.policy_trials._runner import check_out_arm
from lacewing_bench.policy_trials._runner import play_all

LOADS = 'loads of weights'
# A fake of the users' bench: records each play and writes a journal entry.
BENCH = """#!/bin/sh
[ "$1" = build ] && exit 0
[ "$3" = "{fails}" ] && {{ echo broken; exit 1; }}
echo "$3 $5" >>plays
number=$(wc -l <plays)
mkdir -p journal
cat >"journal/20260101T000000-aa$number.json" <<END
{{"days": [{{"G": 0.5, "served": 0.9, "refused": 0, "failed": 0,
 "parts": [["worst windows", 0.25, 0.4], ["worst class", 0.15, 0.8]],
 "prices": [["loads of weights", 3, 0.01]], "rules": {{}}}}]}}
END
echo "snapshot aa$number"
"""


def _result(arm: str, play: str, worth: float, loads: float) -> Result:
    return Result(
        arm=arm,
        play=play,
        snapshot='',
        worth=worth,
        served=0.9,
        refused=0.0,
        failed=0.0,
        worst_windows=0.5,
        worst_class=0.8,
        prices={LOADS: loads} if loads else {},
    )


@when('the arms "{first}" and "{second}" are read')
def step_read(context: Context, first: str, second: str) -> None:
    """Parse both arms."""
    context.arms = {arm.name: arm for arm in parse_arms((first, second))}


@then('arm "{name}" is revision "{revision}" with patience {patience:f}')
def step_arm(
    context: Context, name: str, revision: str, patience: float
) -> None:
    """Check the parsed arm."""
    arm = context.arms[name]
    assert arm == Arm(name, revision, {'patience': patience}), arm


@when('the arm "{text}" is read')
def step_read_one(context: Context, text: str) -> None:
    """Parse one arm and store the error."""
    context.error = ''
    try:
        parse_arms((text,))
    except ValueError as error:
        context.error = str(error)


@then('the text is rejected with "{message}"')
def step_refused(context: Context, message: str) -> None:
    """Check the error message."""
    assert context.error == message, context.error


@when('worth differs by {differences} in paired plays')
def step_differs(context: Context, differences: str) -> None:
    """Compare result pairs with the given differences."""
    pairs = []
    for number, text in enumerate(differences.split()):
        before = _result('a', str(number), 0.5, 0.0)
        after = _result('b', str(number), 0.5 + float(text), 0.0)
        pairs.append((before, after))
    context.worth = compare(pairs)['worth']


@then('the difference of worth is {verdict}')
def step_verdict(context: Context, verdict: str) -> None:
    """Check whether the interval excludes zero."""
    assert context.worth.is_significant == (verdict == 'told apart')


@when('two of four plays of the second arm pay {price:f} for loads')
def step_price(context: Context, price: float) -> None:
    """Compare plays of which only two have the price."""
    pairs = []
    for number in range(4):
        before = _result('a', str(number), 0.5, 0.0)
        paid = price if number < 2 else 0.0
        pairs.append((before, _result('b', str(number), 0.5, paid)))
    context.price = compare(pairs)[f'price: {LOADS}']


@then('the price of loads differs by {price:f} on average')
def step_price_mean(context: Context, price: float) -> None:
    """Check the mean difference."""
    assert abs(context.price.mean - price) < 1e-9, context.price


def _bench(context: Context, fails: str) -> None:
    found = tempfile.TemporaryDirectory()
    context.add_cleanup(found.cleanup)
    context.directory = Path(found.name)
    context.bench = context.directory / 'bench'
    context.bench.write_text(BENCH.format(fails=fails))
    context.bench.chmod(0o755)
    context.failed_plays = []


@given('a bench that writes a journal entry for each play')
def step_bench(context: Context) -> None:
    """Write the fake bench."""
    _bench(context, 'no day')


@given('a bench that fails on day "{day}"')
def step_bench_fails(context: Context, day: str) -> None:
    """Write the fake bench."""
    _bench(context, day)


@when('two arms are played on 2 days with 2 seeds')
@when('the same comparison is started again')
def step_play(context: Context) -> None:
    """Run the plays without a result."""
    context.arms = parse_arms(('a=one', 'b=two'))
    context.plays = parse_plays(('x/site.toml',), ('day-1', 'day-2'), '1-2')
    clones = []
    for arm in context.arms:
        clone = context.directory / arm.name
        clone.mkdir(exist_ok=True)
        clones.append((arm, clone))
    context.results = Results(context.directory / 'results.jsonl')
    context.failed_plays = play_all(
        context.bench,
        clones,
        context.plays,
        context.results,
        context.directory / 'kept',
        'why',
        1,
    )


@then('each of the 8 plays was made once')
def step_once(context: Context) -> None:
    """Check the plays that the fake bench recorded."""
    for arm in context.arms:
        plays = (context.directory / arm.name / 'plays').read_text()
        lines = plays.splitlines()
        assert len(lines) == len(set(lines)) == 4, lines


@then('the journal entries are copied unchanged')
def step_kept(context: Context) -> None:
    """Check that the copies equal the originals."""
    kept = sorted((context.directory / 'kept').iterdir())
    assert len(kept) == 4, kept
    for entry in kept:
        written = context.directory / 'b' / 'journal' / entry.name
        assert entry.read_bytes() == written.read_bytes()


@then('{count:d} plays are reported as failed')
def step_failed(context: Context, count: int) -> None:
    """Check the reported failures."""
    assert len(context.failed_plays) == count, context.failed_plays
    assert all('broken' in line for line in context.failed_plays)


@then('{count:d} pairs are compared')
def step_pairs(context: Context, count: int) -> None:
    """Check the number of pairs in the report."""
    text = report(context.results, context.arms, context.plays)
    assert f'b against a, {count} pairs' in text, text


@given('a repository with a settings template')
def step_repository(context: Context) -> None:
    """Commit a settings template."""
    _bench(context, 'no day')
    repository = context.directory / 'repository'
    (repository / 'deploy').mkdir(parents=True)
    (repository / 'deploy' / 'router.json').write_text('{\n  "a": {}\n}\n')
    for command in (
        ('init', '-q'),
        ('add', '.'),
        (
            '-c',
            'user.name=test',
            '-c',
            'user.email=test@example.org',
            'commit',
            '-qm',
            'Write a template',
        ),
    ):
        subprocess.run(('git', '-C', str(repository), *command), check=True)


@when('an arm with patience {patience:f} is checked out')
def step_check_out(context: Context, patience: float) -> None:
    """Check out the arm."""
    arm = Arm('half', 'HEAD', {'patience': patience})
    context.clone = check_out_arm(
        arm, context.directory / 'repository', context.directory
    )


@then('its template is JSON with patience {patience:f}')
def step_template(context: Context, patience: float) -> None:
    """Check the settings in the template."""
    text = (context.clone / 'deploy' / 'router.json').read_text()
    assert json.loads(text) == {'a': {}, 'policy': {'patience': patience}}
