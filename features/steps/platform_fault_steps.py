"""Break the platform and check what is seen of it."""

import socket

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.platform_client import ClientOptions
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreFault
from support.platform_bench import end_task
from support.platform_bench import fault
from support.platform_bench import InterruptedStore
from support.platform_bench import new_client
from support.platform_bench import PATIENCE_S
from support.platform_bench import SHORT_S
from support.platform_bench import start_task
from support.platform_bench import start_write


@given('a store over http with room for one call, held by a write')
def open_held_store(context: Context) -> None:
    """Open the HTTP client and hold its only slot."""
    bench = context.bench
    options = ClientOptions(
        connect_timeout_s=SHORT_S,
        request_timeout_s=PATIENCE_S,
        max_concurrent_calls=1,
    )
    bench.client = bench.runner.run(new_client(bench, options))
    bench.store = bench.client
    bench.set_faults(slow_s=2 * PATIENCE_S, slow_next=1)
    bench.writing = bench.runner.run(start_write(bench, 'claim/held'))
    bench.wait_until(lambda: 'put' in bench.service.counts.calls)


@given('a store over http to an address that takes no connection')
def open_store_to_nowhere(context: Context) -> None:
    """Point the HTTP client at a listener whose queue is full."""
    bench = context.bench
    listener = context.resources.enter_context(
        socket.create_server(('127.0.0.1', 0), backlog=0)
    )
    address = listener.getsockname()
    fill = context.resources.enter_context(socket.create_connection(address))
    assert fill.getpeername() == address
    options = ClientOptions(
        connect_timeout_s=SHORT_S, request_timeout_s=PATIENCE_S
    )
    bench.client = bench.runner.run(
        new_client(bench, options, f'{address[0]}:{address[1]}')
    )
    bench.store = bench.client


@given('a watch of "{path}" after version {after:d}')
def start_watch(context: Context, path: str, after: int) -> None:
    """Start a watch and wait until the platform has it."""
    bench = context.bench
    bench.runner.run(start_task(bench, path, after))
    bench.wait_until(lambda: bench.service.counts.waiting_watches == 1)


@given('the platform allows {writes:d} writes and {reads:d} reads a second')
def limit_rates(context: Context, writes: int, reads: int) -> None:
    """Set the rate limits."""
    context.bench.set_faults(writes_per_s=writes, reads_per_s=reads)


@when('the caller of the held write gives up')
def give_up_write(context: Context) -> None:
    """Cancel the write under way."""
    context.bench.runner.run(end_task(context.bench.writing))


@when('the answers of the next {count:d} writes get lost')
def lose_next(context: Context, count: int) -> None:
    """Lose answers after the effect."""
    context.bench.set_faults(lose_next=count)


@when('half the answers get lost with seed {seed:d}')
def lose_half(context: Context, seed: int) -> None:
    """Lose a share of the answers after the effect."""
    context.bench.set_faults(lose_share=0.5, seed=seed)


@when('the platform is slow by {slow_s:g} s for the next {count:d} calls')
def slow_next(context: Context, slow_s: float, count: int) -> None:
    """Delay calls before their effect."""
    context.bench.set_faults(slow_s=slow_s, slow_next=count)


@when(
    'a write upon version {expect:d} of "{path}" goes unanswered and'
    ' {effect} effect and {others:d} others write after'
)
def write_among_others(
    context: Context, expect: int, path: str, effect: str, others: int
) -> None:
    """Write unanswered, let others write, then resolve."""
    bench = context.bench
    lost = {'lose_next': 1} if effect == 'takes' else {'down': 'drop'}
    bench.set_faults(**lost)

    def others_write() -> None:
        bench.set_faults()
        for _number in range(others):
            bench.write_as_another(path, b'other')

    bench.store = InterruptedStore(
        bench.store,
        after_write=others_write,
        after_reads=lambda: None,
        reads=0,
    )
    bench.write_resolving(path, b'mine', expect)


@when('an answer gets lost and an outage follows for the next {reads:d} reads')
def outage_after_loss(context: Context, reads: int) -> None:
    """Lose the first write's answer, then fail some reads."""
    bench = context.bench
    bench.set_faults(lose_next=1)
    bench.store = InterruptedStore(
        bench.store,
        after_write=lambda: bench.set_faults(down='refuse'),
        after_reads=lambda: bench.set_faults(),
        reads=reads,
    )


@when('the platform goes down by "{way}"')
def go_down(context: Context, way: str) -> None:
    """Begin an outage."""
    bench = context.bench
    if way == 'closed':
        bench.runner.run(bench.server.close())
        return
    bench.set_faults(down=way)


@when('the platform is up again')
def come_up(context: Context) -> None:
    """End an outage."""
    bench = context.bench
    if not bench.server.listening:
        bench.runner.run(bench.server.start())
    bench.set_faults()


@when('another writer writes "{first}" and "{second}" to "{path}" meanwhile')
def write_meanwhile(
    context: Context, first: str, second: str, path: str
) -> None:
    """Write behind the faults."""
    context.bench.write_as_another(path, first.encode())
    context.bench.write_as_another(path, second.encode())


@then('{count:d} objects exist')
def objects_exist(context: Context, count: int) -> None:
    """Count the objects behind the faults."""
    names = context.bench.service.objects.names('object')
    assert len(names) == count, names


@then('the same answers of {count:d} get lost with seed {seed:d} again')
def loses_alike(context: Context, count: int, seed: int) -> None:
    """Repeat the writes and compare the losses."""
    bench = context.bench
    first = bench.losses
    assert True in first and False in first, first
    bench.set_faults(lose_share=0.5, seed=seed)
    bench.create_many('again', count)
    assert bench.losses == first, (bench.losses, first)


@then('the platform counts {effects:d} effects and {calls:d} calls to "put"')
def counts_effects(context: Context, effects: int, calls: int) -> None:
    """Compare the counts."""
    counts = context.bench.service.counts
    assert counts.effects == effects, counts
    assert sum(counts.calls['put'].values()) == calls, counts


@then('the platform counts {effects:d} effects in the end')
def counts_effects_in_the_end(context: Context, effects: int) -> None:
    """Wait until each write has met its fate, then compare."""
    bench = context.bench

    def settled() -> bool:
        counts = bench.service.counts
        fates = counts.effects + sum(counts.refused.values())
        calls = sum(counts.calls['put'].values())
        return bool(fates >= calls)

    bench.wait_until(settled)
    assert bench.service.counts.effects == effects, bench.service.counts


@then('the watch shows "{value}" at version {version:d}')
def shows(context: Context, value: str, version: int) -> None:
    """Take what the watch shows next."""
    shown = context.bench.next_shown()
    assert isinstance(shown, StoredObject), shown
    assert (shown.value, shown.version) == (value.encode(), version), shown


@then('the watch shows "{value}" at version {version:d} in the end')
def shows_in_the_end(context: Context, value: str, version: int) -> None:
    """Skip the errors of the outage, then compare."""
    shown = context.bench.next_shown()
    while fault(shown) is StoreFault.UNAVAILABLE:
        shown = context.bench.next_shown()
    assert isinstance(shown, StoredObject), shown
    assert (shown.value, shown.version) == (value.encode(), version), shown


@then('the watch shows "{expected}"')
def shows_fault(context: Context, expected: str) -> None:
    """Take what the watch shows next."""
    shown = context.bench.next_shown()
    assert fault(shown) is StoreFault(expected), shown


@then('no watch waits on the platform')
def no_watch_waits(context: Context) -> None:
    """Wait until the platform has noticed."""
    bench = context.bench
    bench.wait_until(lambda: bench.service.counts.waiting_watches == 0)
