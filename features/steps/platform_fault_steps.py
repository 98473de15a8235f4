"""Inject platform faults and check their effects."""

import socket

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.platform_client import ClientOptions
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreFault
from support.platform_bench import cancel_task
from support.platform_bench import fault
from support.platform_bench import InterruptedStore
from support.platform_bench import new_client
from support.platform_bench import SHORT_TIMEOUT_S
from support.platform_bench import start_watch_task
from support.platform_bench import start_write
from support.platform_bench import TIMEOUT_S


@given('an HTTP store client whose only slot is used by a write')
def open_busy_store(context: Context) -> None:
    """Open the HTTP client and occupy its only slot."""
    bench = context.bench
    options = ClientOptions(
        connect_timeout_s=SHORT_TIMEOUT_S,
        request_timeout_s=TIMEOUT_S,
        max_concurrent_calls=1,
    )
    bench.client = bench.runner.run(new_client(bench, options))
    bench.store = bench.client
    bench.set_faults(slow_s=2 * TIMEOUT_S, slow_next=1)
    bench.pending_write = bench.runner.run(start_write(bench, 'claim/held'))
    bench.wait_until(lambda: 'put' in bench.service.counts.calls)


@given('an HTTP store client for an address that accepts no connections')
def open_unreachable_store(context: Context) -> None:
    """Connect the HTTP client to a listener whose backlog is full."""
    bench = context.bench
    listener = context.resources.enter_context(
        socket.create_server(('127.0.0.1', 0), backlog=0)
    )
    address = listener.getsockname()
    blocker = context.resources.enter_context(
        socket.create_connection(address)
    )
    assert blocker.getpeername() == address
    options = ClientOptions(
        connect_timeout_s=SHORT_TIMEOUT_S, request_timeout_s=TIMEOUT_S
    )
    bench.client = bench.runner.run(
        new_client(bench, options, f'{address[0]}:{address[1]}')
    )
    bench.store = bench.client


@given('a watch of "{path}" after version {after:d}')
def start_watch(context: Context, path: str, after: int) -> None:
    """Start a watch and wait until it is pending at the platform."""
    bench = context.bench
    bench.runner.run(start_watch_task(bench, path, after))
    bench.wait_until(lambda: bench.service.counts.waiting_watches == 1)


@given('the platform allows {writes:d} writes and {reads:d} reads per second')
def limit_rates(context: Context, writes: int, reads: int) -> None:
    """Set the rate limits."""
    context.bench.set_faults(writes_per_s=writes, reads_per_s=reads)


@when('the pending write is cancelled')
def cancel_write(context: Context) -> None:
    """Cancel the pending write."""
    context.bench.runner.run(cancel_task(context.bench.pending_write))


@when('the responses to the next {count:d} writes are lost')
def lose_next(context: Context, count: int) -> None:
    """Drop responses after the write was applied."""
    context.bench.set_faults(lose_next=count)


@when('half of the responses are lost with seed {seed:d}')
def lose_half(context: Context, seed: int) -> None:
    """Drop half of the responses after the write was applied."""
    context.bench.set_faults(lose_share=0.5, seed=seed)


@when('the platform adds a delay of {slow_s:g} s to the next {count:d} calls')
def slow_next(context: Context, slow_s: float, count: int) -> None:
    """Delay calls before they are applied."""
    context.bench.set_faults(slow_s=slow_s, slow_next=count)


@when(
    'a write expecting version {expect:d} of "{path}" gets no response and'
    ' {effect} effect and {others:d} others write after'
)
def write_among_others(
    context: Context, expect: int, path: str, effect: str, others: int
) -> None:
    """Write without a response, write as others, then resolve."""
    bench = context.bench
    faults = {'lose_next': 1} if effect == 'takes' else {'down': 'drop'}
    bench.set_faults(**faults)

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


@when('a response is lost and the next {reads:d} reads fail in an outage')
def outage_after_loss(context: Context, reads: int) -> None:
    """Drop the first write's response, then fail some reads."""
    bench = context.bench
    bench.set_faults(lose_next=1)
    bench.store = InterruptedStore(
        bench.store,
        after_write=lambda: bench.set_faults(down='refuse'),
        after_reads=lambda: bench.set_faults(),
        reads=reads,
    )


@when('the platform has an outage of type "{outage}"')
def start_outage(context: Context, outage: str) -> None:
    """Start an outage."""
    bench = context.bench
    if outage == 'closed':
        bench.runner.run(bench.server.close())
        return
    bench.set_faults(down=outage)


@when('the outage ends')
def end_outage(context: Context) -> None:
    """End an outage."""
    bench = context.bench
    if not bench.server.listening:
        bench.runner.run(bench.server.start())
    bench.set_faults()


@when('another writer writes "{first}" and "{second}" to "{path}" meanwhile')
def write_meanwhile(
    context: Context, first: str, second: str, path: str
) -> None:
    """Write directly to the platform, unaffected by faults."""
    context.bench.write_as_another(path, first.encode())
    context.bench.write_as_another(path, second.encode())


@then('{count:d} objects exist')
def objects_exist(context: Context, count: int) -> None:
    """Count the objects of the platform, unaffected by faults."""
    names = context.bench.service.objects.names('object')
    assert len(names) == count, names


@then('the same responses of {count:d} are lost with seed {seed:d} again')
def check_same_losses(context: Context, count: int, seed: int) -> None:
    """Repeat the writes and compare the losses."""
    bench = context.bench
    first = bench.losses
    assert True in first and False in first, first
    bench.set_faults(lose_share=0.5, seed=seed)
    bench.create_many('again', count)
    assert bench.losses == first, (bench.losses, first)


@then(
    'the platform counts {effects:d} applied writes and {calls:d} calls to'
    ' "put"'
)
def check_effects(context: Context, effects: int, calls: int) -> None:
    """Compare the counts."""
    counts = context.bench.service.counts
    assert counts.effects == effects, counts
    assert sum(counts.calls['put'].values()) == calls, counts


@then('the platform eventually counts {effects:d} applied writes')
def check_final_effects(context: Context, effects: int) -> None:
    """Wait until each write is applied or refused, then compare."""
    bench = context.bench

    def is_settled() -> bool:
        counts = bench.service.counts
        finished = counts.effects + sum(counts.refused.values())
        calls = sum(counts.calls['put'].values())
        return bool(finished >= calls)

    bench.wait_until(is_settled)
    assert bench.service.counts.effects == effects, bench.service.counts


@then('the watch returns "{value}" at version {version:d}')
def check_watch_value(context: Context, value: str, version: int) -> None:
    """Check the next result of the watch."""
    change = context.bench.next_change()
    assert isinstance(change, StoredObject), change
    assert (change.value, change.version) == (value.encode(), version), change


@then('the watch eventually returns "{value}" at version {version:d}')
def check_final_watch_value(
    context: Context, value: str, version: int
) -> None:
    """Skip the errors during the outage, then compare."""
    change = context.bench.next_change()
    while fault(change) is StoreFault.UNAVAILABLE:
        change = context.bench.next_change()
    assert isinstance(change, StoredObject), change
    assert (change.value, change.version) == (value.encode(), version), change


@then('the watch reports "{expected}"')
def check_watch_fault(context: Context, expected: str) -> None:
    """Check the next result of the watch."""
    change = context.bench.next_change()
    assert fault(change) is StoreFault(expected), change


@then('no watch is pending at the platform')
def check_no_watch(context: Context) -> None:
    """Wait until the platform has detected the closed watch."""
    bench = context.bench
    bench.wait_until(lambda: bench.service.counts.waiting_watches == 0)
