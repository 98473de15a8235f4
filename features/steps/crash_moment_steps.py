"""Check that crashes at one moment count as one."""

from itertools import permutations

import msgspec
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.crash_parts import play
from lacewing_bench.crash_parts import USED
from lacewing_bench.crash_parts import WAVE_LOADS
from lacewing_daemon.direct._metrics import CRASHES_AT_ONE_MOMENT
from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import CrashRegistry
from lacewing_daemon.direct.crashes import Suspect
from lacewing_daemon.direct.crashes import UpstreamIncarnation
from lacewing_daemon.direct.crashes._moment_log import MomentLog
from lacewing_daemon.direct.crashes._record import record_digest
from structlog.testing import capture_logs
from support.direct_bench import direct_bench

INCARNATION = UpstreamIncarnation('up', 7)
TIME_FIELD = 'crashed_ms'


def _without_time(record: CrashRecord) -> CrashRecord:
    """Return a record as a router without this field forwards it."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(record))
    del fields[TIME_FIELD]
    return msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields), type=CrashRecord
    )


@when('routers receive reports of a crash at "{times}" in any order')
def step_times(context: Context, times: str) -> None:
    """Merge the reports in each order, in one registry per order."""
    context.registries = []
    for order in permutations(map(int, times.split())):
        registry = CrashRegistry()
        for number, crashed_ms in enumerate(order):
            suspect = Suspect(f'request {number}', False)
            registry.merge(
                CrashRecord(INCARNATION, (suspect,), crashed_ms=crashed_ms)
            )
        context.registries.append(registry)


@then('its time is {time:d} at each')
def step_time(context: Context, time: int) -> None:
    """Compare the time in the record of each registry."""
    for registry in context.registries:
        (record,) = registry.records_by_digest.values()
        assert record.crashed_ms == time, record


@when('a router without the time of crashes and one with it exchange records')
def step_exchange(context: Context) -> None:
    """Send each the records of the other; one drops the time of them."""
    older, newer = CrashRegistry(), CrashRegistry()
    older.merge(CrashRecord(INCARNATION, (Suspect('a', False),)))
    newer.merge(CrashRecord(INCARNATION, (Suspect('b', False),), crashed_ms=5))
    for record in newer.records_by_digest.values():
        older.merge(_without_time(record))
    for record in older.records_by_digest.values():
        newer.merge(_without_time(record))
    context.registries = [older, newer]


@then('both know the runs of all crashes')
def step_known(context: Context) -> None:
    """Compare the records; only one has the time."""
    found = []
    for registry in context.registries:
        (record,) = registry.records_by_digest.values()
        assert {one.fingerprint for one in record.suspects} == {'a', 'b'}
        found.append(record)
    older, newer = found
    assert (older.crashed_ms, newer.crashed_ms) == (0, 5), found
    assert record_digest(older) == record_digest(_without_time(newer))


@then('the router knows when upstreams crashed')
def step_reported(context: Context) -> None:
    """Check the records that its detector made."""
    bench = direct_bench(context)
    registry = bench.routers[0]._fleet.crash_guard._registry
    records = bench.on_loop(lambda: tuple(registry.records_by_digest.values()))
    assert records
    assert all(record.crashed_ms > 0 for record in records), records


@when('"{name}" is simulated {plays:d} times')
def step_simulate(context: Context, name: str, plays: int) -> None:
    """Simulate the load with fixed seeds."""
    load = WAVE_LOADS[name]
    context.outcomes = [play(load, USED, seed) for seed in range(plays)]


@then('no harmless part is blocked')
def step_harmless(context: Context) -> None:
    """Check each simulation."""
    blocked = [sorted(outcome.blocked) for outcome in context.outcomes]
    assert not any(blocked), blocked


@then('at most {count:d} upstreams crash under one part')
def step_lost(context: Context, count: int) -> None:
    """Check each simulation."""
    lost = [outcome.lost for outcome in context.outcomes]
    assert max(lost) <= count, lost


@then('at most {count:d} prompts with it are sent after the fifth crash')
def step_late(context: Context, count: int) -> None:
    """Check each simulation."""
    sends = [outcome.sends for outcome in context.outcomes]
    assert max(sends) <= count, sends


@when('a router reports these moments of crashes in turn "{sizes}"')
def step_moments(context: Context, sizes: str) -> None:
    """Report one moment that grows."""
    log = MomentLog()
    with capture_logs() as context.lines:
        for size in map(int, sizes.split()):
            log.update([_moment(size)])
    context.exported = CRASHES_AT_ONE_MOMENT._value.get()
    log.update([])


@then('{count:d} lines of its log say so, with "{sizes}" crashes')
def step_lines(context: Context, count: int, sizes: str) -> None:
    """Compare the lines, and the gauge with the last moment."""
    logged = [line['crashes'] for line in context.lines]
    assert logged == list(map(int, sizes.split())), context.lines
    assert len(logged) == count, context.lines
    assert context.exported == logged[-1], context.exported


def _moment(size: int) -> tuple[UpstreamIncarnation, ...]:
    return tuple(UpstreamIncarnation(f'up-{one}', 7) for one in range(size))
