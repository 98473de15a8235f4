"""Check to which requests crashes are attributed."""

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
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.crashes._isolation import Isolation
from lacewing_daemon.direct.crashes._probes import FIRST_PROBE_INTERVAL_S
from lacewing_daemon.direct.crashes._probes import ProbeSchedule

BEGUN_SUFFIX = '+'
PROVEN_SUFFIX = '!'
TIME_PREFIX = '@'
START_MS = 1_800_000_000_000
INCARNATION = UpstreamIncarnation('up', 7)


@when('routers receive the crashes "{text}" in any order')
def step_receive(context: Context, text: str) -> None:
    """Merge the records in each order, in one registry per order."""
    context.now_s = 1000.0
    context.registries = []
    for records in permutations(_records(text)):
        registry = CrashRegistry(clock=lambda: float(context.now_s))
        for record in records:
            registry.merge(record)
        context.registries.append(registry)


@when('"{name}" completes at one of them, which informs the others')
def step_completed(context: Context, name: str) -> None:
    """Exonerate it at the first registry; merge the updates at the others."""
    updates = context.registries[0].exonerate([name])
    for registry in context.registries[1:]:
        for record in updates:
            registry.merge(record)


@when('an upstream that {state} crashes under "{name}" at {now:d}')
def step_crash(context: Context, state: str, name: str, now: int) -> None:
    """Merge the crash in one registry."""
    context.now_s = float(now)
    context.registry = CrashRegistry(clock=lambda: float(context.now_s))
    gone = state == 'listens no more'
    record = CrashRecord(INCARNATION, (Suspect(name, False),), gone=gone)
    context.registry.merge(record)


@when('a run of "{name}" there breaks on a connection opened at {opened:d}')
def step_broken(context: Context, name: str, opened: int) -> None:
    """Merge it in the same registry; no later incarnation is known."""
    incarnation = context.registry.incarnation_of(INCARNATION, float(opened))
    context.registry.merge(CrashRecord(incarnation, (Suspect(name, False),)))


@then('"{name}" is recorded as running at {count:d} crash')
@then('"{name}" is recorded as running at {count:d} crashes')
def step_recorded(context: Context, name: str, count: int) -> None:
    """Compare the number of crashes."""
    crashes = context.registry.crash_count(name)
    assert crashes == count, f'expected {count}, got {crashes}'


@when('{seconds:d} seconds pass')
def step_pass(context: Context, seconds: int) -> None:
    """Advance the clock of all registries."""
    context.now_s += seconds
    for registry in context.registries:
        registry.expire()


@then('they block "{names}"')
def step_block(context: Context, names: str) -> None:
    """Compare the blocked requests of each registry."""
    digests = set()
    for registry in context.registries:
        assert registry.blocked == frozenset(names.split()), registry.blocked
        digests.add(frozenset(registry.records_by_digest))
    # Routers exchange the records whose digests differ.
    assert len(digests) == 1, digests


@then('they block ""')
def step_block_nothing(context: Context) -> None:
    """Check that no registry blocks a request."""
    step_block(context, '')


@then('the blocks of "{names}" are ambiguous')
def step_ambiguous(context: Context, names: str) -> None:
    """Compare the ambiguous blocks of each registry."""
    for registry in context.registries:
        assert registry.ambiguous == frozenset(names.split()), (
            registry.ambiguous
        )


@then('the blocks of "" are ambiguous')
def step_none_ambiguous(context: Context) -> None:
    """Check that no registry has an ambiguous block."""
    step_ambiguous(context, '')


@then('"{name}" may be retried after {min_s:d} to {max_s:d} seconds')
def step_retry_after(
    context: Context, name: str, min_s: int, max_s: int
) -> None:
    """Check the retry delay at each registry."""
    for registry in context.registries:
        retry_s = registry.retry_after_s(name)
        assert min_s <= retry_s <= max_s, retry_s


@when('the block of "{name}" stays ambiguous for {seconds:d} seconds')
def step_probes(context: Context, name: str, seconds: int) -> None:
    """Request a probe every tenth of a second."""
    now_s = 0.0
    probes = ProbeSchedule(Random(1), lambda: now_s)
    probes.update({name: FIRST_PROBE_INTERVAL_S})
    context.probes_s = []
    for tenth in range(seconds * 10):
        now_s = tenth / 10
        if probes.admit(name):
            context.probes_s.append(now_s)


@then('its first probe comes after {min_s:d} to {max_s:d} seconds')
def step_first_probe(context: Context, min_s: int, max_s: int) -> None:
    """Check the time of the first probe."""
    assert min_s <= context.probes_s[0] <= max_s + 0.1, context.probes_s


@then('it is probed at most {count:d} times')
def step_probe_count(context: Context, count: int) -> None:
    """Count the probes."""
    assert len(context.probes_s) <= count, context.probes_s


@when('one caller crashes engines in {runs:d} simulations')
def step_simulations(context: Context, runs: int) -> None:
    """Simulate the load with fixed seeds."""
    context.outcomes = [play(Load(), USED, seed) for seed in range(runs)]


@then('at most {count:d} engines crash per simulation on average')
def step_average(context: Context, count: int) -> None:
    """Compare the crashes of all simulations."""
    crashes = sum(outcome.crashes for outcome in context.outcomes)
    assert crashes <= count * len(context.outcomes), context.outcomes


@then('no other request is blocked')
def step_none_blocked(context: Context) -> None:
    """Check each simulation."""
    for outcome in context.outcomes:
        assert outcome.shut_out == 0, context.outcomes


@then('of {count:d} upstreams a prompt with "{names}" may use {few:d}')
def step_isolated(context: Context, count: int, names: str, few: int) -> None:
    """Check that all routers allow the same upstreams."""
    context.upstream_ids = [f'up-{number}' for number in range(count)]
    context.isolated = _allowed(context, names)
    assert len(context.isolated) == few, context.isolated


@then('one with "{names}" may use the other {most:d}')
def step_others(context: Context, names: str, most: int) -> None:
    """Check that they are others, unless it may use all."""
    allowed = _allowed(context, names)
    assert len(allowed) == most, allowed
    if most < len(context.upstream_ids):
        assert allowed.isdisjoint(context.isolated)


@then('a prompt with "{name}" {may} use another upstream')
def step_mix(context: Context, name: str, may: str) -> None:
    """Check whether it is sent elsewhere rather than refused."""
    for registry in context.registries:
        may_mix = Isolation(registry).may_mix(_subjects(name))
        assert may_mix is (may == 'may')


def _allowed(context: Context, names: str) -> frozenset[str]:
    found = set()
    for registry in context.registries:
        excluded = Isolation(registry).excluded(
            _subjects(names), 'models', context.upstream_ids
        )
        found.add(frozenset(context.upstream_ids) - excluded)
    assert len(found) == 1, found
    return found.pop()


def _subjects(names: str) -> RequestSubjects:
    return RequestSubjects('r', tuple(map(_part, names.split(','))))


def _records(text: str) -> tuple[CrashRecord, ...]:
    """Return a record of each crash.

    A word is a request, with + if it had returned an event; the parts of its
    prompt follow a colon, with ! if their prompts had completed before. An @
    precedes the time of a crash in ms; others were reported by routers that
    don't report it.
    """
    records = []
    for number, names in enumerate(text.split(';')):
        suspects = []
        proven = []
        crashed_ms = 0
        for name in names.split():
            if name.startswith(TIME_PREFIX):
                crashed_ms = START_MS + int(name.removeprefix(TIME_PREFIX))
                continue
            request, _, listed = name.partition(':')
            parts = []
            for part in filter(None, listed.split(',')):
                parts.append(_part(part.removesuffix(PROVEN_SUFFIX)))
                if part.endswith(PROVEN_SUFFIX):
                    proven.append(parts[-1])
            begun = request.endswith(BEGUN_SUFFIX)
            request = request.removesuffix(BEGUN_SUFFIX)
            suspects.append(Suspect(request, begun, tuple(parts)))
        records.append(
            CrashRecord(
                UpstreamIncarnation('up', number),
                tuple(suspects),
                proven=tuple(proven),
                crashed_ms=crashed_ms,
            )
        )
    return tuple(records)


def _part(name: str) -> str:
    return f'part-{name}'
