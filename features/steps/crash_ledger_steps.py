"""Check which requests are held to have crashed upstreams."""

from itertools import permutations
from random import Random

from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.crash_errors import Load
from lacewing_bench.crash_errors import play
from lacewing_bench.crash_errors import USED
from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import CrashRegistry
from lacewing_daemon.direct.crashes import Suspect
from lacewing_daemon.direct.crashes import UpstreamIncarnation
from lacewing_daemon.direct.crashes._probes import ProbeSchedule

BEGUN = '+'
UP = UpstreamIncarnation('up', 7)


@when('routers hear of the crashes "{text}" in any order')
def step_hear(context: Context, text: str) -> None:
    """Tell them to one router for each order."""
    context.now_s = 1000.0
    context.ledgers = []
    for records in permutations(_records(text)):
        ledger = CrashRegistry(clock=lambda: float(context.now_s))
        for record in records:
            ledger.merge(record)
        context.ledgers.append(ledger)


@when('"{name}" is answered at one of them, and told to the others')
def step_answered(context: Context, name: str) -> None:
    """Clear it at the first, and pass on what there is to tell."""
    news = context.ledgers[0].exonerate(name)
    for ledger in context.ledgers[1:]:
        for record in news:
            ledger.merge(record)


@when('an upstream that {state} crashes under "{name}" at {now:d}')
def step_crash(context: Context, state: str, name: str, now: int) -> None:
    """Tell one router of it."""
    context.now_s = float(now)
    context.ledger = CrashRegistry(clock=lambda: float(context.now_s))
    gone = state == 'listens no more'
    record = CrashRecord(UP, (Suspect(name, False),), gone=gone)
    context.ledger.merge(record)


@when(
    'a run of "{name}" on a connection opened at {opened:d} is broken off '
    'there'
)
def step_broken(context: Context, name: str, opened: int) -> None:
    """Let the same router see it, with no later start of the upstream."""
    start = context.ledger.incarnation_of(UP, float(opened))
    context.ledger.merge(CrashRecord(start, (Suspect(name, False),)))


@then('"{name}" is held to have run at {count:d} crash')
@then('"{name}" is held to have run at {count:d} crashes')
def step_held(context: Context, name: str, count: int) -> None:
    """Count them."""
    crashes = context.ledger.crash_count(name)
    assert crashes == count, f'expected {count}, got {crashes}'


@when('{seconds:d} seconds pass')
def step_pass(context: Context, seconds: int) -> None:
    """Let time pass for all of them."""
    context.now_s += seconds
    for ledger in context.ledgers:
        ledger.expire()


@then('they block "{names}"')
def step_block(context: Context, names: str) -> None:
    """Compare what each of them blocks."""
    for ledger in context.ledgers:
        assert ledger.blocked == frozenset(names.split()), ledger.blocked


@then('they block ""')
def step_block_nothing(context: Context) -> None:
    """Look that none blocks anything."""
    step_block(context, '')


@then('the blocks of "{names}" are ambiguous')
def step_ambiguous(context: Context, names: str) -> None:
    """Compare the ambiguous blocks of each router."""
    for ledger in context.ledgers:
        assert ledger.ambiguous == frozenset(names.split()), ledger.ambiguous


@then('the blocks of "" are ambiguous')
def step_none_ambiguous(context: Context) -> None:
    """Check that no router has an ambiguous block."""
    step_ambiguous(context, '')


@then('"{name}" may be retried after {least_s:d} to {most_s:d} seconds')
def step_retry_after(
    context: Context, name: str, least_s: int, most_s: int
) -> None:
    """Check the retry delay at each router."""
    for ledger in context.ledgers:
        retry_s = ledger.retry_after_s(name)
        assert least_s <= retry_s <= most_s, retry_s


@when('the block of "{name}" stays ambiguous for {seconds:d} seconds')
def step_probes(context: Context, name: str, seconds: int) -> None:
    """Request a probe every tenth of a second."""
    now_s = 0.0
    probes = ProbeSchedule(Random(1), lambda: now_s)
    probes.update(frozenset((name,)))
    context.probes_s = []
    for tenth in range(seconds * 10):
        now_s = tenth / 10
        if probes.admit(name):
            context.probes_s.append(now_s)


@then('its first probe comes after {least_s:d} to {most_s:d} seconds')
def step_first_probe(context: Context, least_s: int, most_s: int) -> None:
    """Check the time of the first probe."""
    assert least_s <= context.probes_s[0] <= most_s + 0.1, context.probes_s


@then('it is probed at most {count:d} times')
def step_probe_count(context: Context, count: int) -> None:
    """Count the probes."""
    assert len(context.probes_s) <= count, context.probes_s


@when('one caller of the model crashes engines in {plays:d} plays')
def step_plays(context: Context, plays: int) -> None:
    """Play the load with seeds that are always the same."""
    context.outcomes = [play(Load(), USED, seed) for seed in range(plays)]


@then('at most {count:d} engines crash in a play, in the mean')
def step_mean(context: Context, count: int) -> None:
    """Add the crashes up."""
    crashes = sum(outcome.crashes for outcome in context.outcomes)
    assert crashes <= count * len(context.outcomes), context.outcomes


@then('none of the others is shut out')
def step_none(context: Context) -> None:
    """Look at each play."""
    for outcome in context.outcomes:
        assert outcome.shut_out == 0, context.outcomes


def _records(text: str) -> tuple[CrashRecord, ...]:
    records = []
    for number, names in enumerate(text.split(';')):
        suspects = []
        for name in names.split():
            begun = name.endswith(BEGUN)
            suspects.append(Suspect(name.removesuffix(BEGUN), begun))
        records.append(
            CrashRecord(UpstreamIncarnation('up', number), tuple(suspects))
        )
    return tuple(records)
