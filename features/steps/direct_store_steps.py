"""Test how direct routers follow the platform's store, and their drain."""

import http.client
import json
import threading
from functools import partial
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoreError
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import HistoryExpired
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._fleet import keys_valid_s
from lacewing_daemon.direct._fleet import routing_config_wait_s
from lacewing_daemon.direct._fleet import watch_gap_s
from lacewing_platform_testing import StoreMode
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import KEY
from support.direct_bench import route
from support.direct_bench import sleep

ROUNDING_S = 1e-6
MODES = {
    'busy': StoreMode.BUSY,
    'silent': StoreMode.SILENT,
    'reset': StoreMode.RESET,
    'calm': StoreMode.CALM,
    'loses': StoreMode.LOSES,
    'late': StoreMode.LATE,
}


@given('{count:d} more plain upstreams')
def step_more(context: Context, count: int) -> None:
    """Register more upstreams than fit into one page."""
    for number in range(count):
        direct_bench(context).add_upstream(f'more-{number}', 'registry')


@given('revoked keys must be refused within {revoke_s:d} seconds')
def step_revoke_within(context: Context, revoke_s: int) -> None:
    """Set the time within which revoked keys must be refused."""
    context.revoke_s = float(revoke_s)


@then('a call that waits for changes ends well before keys become invalid')
def step_confirmed(context: Context) -> None:
    """Compare the maximum age of the configuration with the limit."""
    wait_s = routing_config_wait_s(context.revoke_s)
    max_age_s = wait_s + watch_gap_s(context.revoke_s)
    limit_s = keys_valid_s(context.revoke_s)
    assert wait_s > 0
    assert max_age_s <= 0.81 * limit_s < context.revoke_s, max_age_s


@given('a router that watches a store with calls of {wait_s:f} s')
def step_follows(context: Context, wait_s: float) -> None:
    """Create a watcher whose task does not run."""
    context.started_s = boot_s()
    context.watcher = CollectionWatcher(
        'entries', _UnreadCollection(), wait_s, Random()
    )


@when('{answer} is received for a call sent {ago_s:f} s ago')
def step_answer(context: Context, answer: str, ago_s: float) -> None:
    """Confirm the watcher's data by an answer."""
    answers: dict[str, Listing[int] | Changes[int]] = {
        'a list': Listing({}, 1),
        'a change': Changes((('a', 1),), 2),
        'no change': Changes((), 1),
    }
    context.watcher.confirm(answers[answer], context.started_s - ago_s)


@then('all changes up to {age_s:f} s ago are known')
def step_known(context: Context, age_s: float) -> None:
    """Compare the age, allowing for the time that the scenario takes."""
    actual_s = context.watcher.age_s
    elapsed_s = boot_s() - context.started_s
    assert age_s - ROUNDING_S <= actual_s <= age_s + elapsed_s + ROUNDING_S


class _UnreadCollection:
    """Serve as a collection that is never read."""

    async def read(self) -> Listing[int] | StoreError:
        """Fail, as this must not be called."""
        raise NotImplementedError

    async def changes(
        self, since: int, wait_s: float
    ) -> Changes[int] | HistoryExpired | StoreError:
        """Fail, as this must not be called."""
        raise NotImplementedError


@given('the store discards its history while watches return nothing')
def step_watches_return_nothing(context: Context) -> None:
    """Let watches miss changes; the store is compacted when it recovers."""
    bench = direct_bench(context)
    bench.store.mode = StoreMode.DEAF


@given('a second direct router')
def step_second(context: Context) -> None:
    """Start another router."""
    bench = direct_bench(context)
    bench.start_router('router-2')
    bench.until_ready()


@given('the store {mode} the answers of writes for a while')
def step_write_answers(context: Context, mode: str) -> None:
    """Lose or delay answers to writes until a timer ends it."""
    bench = direct_bench(context)
    bench.store.mode = MODES[mode]
    timer = threading.Timer(1.0, _restore_store, [context])
    timer.start()
    context.resources.callback(timer.join)


def _restore_store(context: Context) -> None:
    direct_bench(context).store.mode = StoreMode.CALM


@when('the store is {mode}')
def step_mode(context: Context, mode: str) -> None:
    """Set how the store handles calls; compact it after missed changes."""
    bench = direct_bench(context)
    if bench.store.mode is StoreMode.DEAF:
        bench.on_loop(bench.store.compact)
    bench.store.mode = MODES[mode]


@when('an entry of an upstream is written with {fields}')
def step_invalid_entry(context: Context, fields: str) -> None:
    """Write an entry with exactly these fields."""
    bench = direct_bench(context)
    bench.on_loop(
        lambda: bench.store.put('servers', 'odd', json.loads(fields))
    )


@when("a configuration that can't be decoded is written")
def step_invalid_configuration(context: Context) -> None:
    """Write a configuration whose routes are not a list."""
    direct_bench(context).configure(Routes=5)


@then('an upstream that registers afterwards is used')
def step_registers(context: Context) -> None:
    """Add an upstream and wait until the router knows it."""
    bench = direct_bench(context)
    bench.add_upstream('late', 'registry')
    bench.until(
        lambda: 'late' in bench.routers[0].upstream_ids, 'the new upstream'
    )


@when('the key of a team is revoked')
def step_revoke(context: Context) -> None:
    """Write a configuration without the key."""
    direct_bench(context).configure(
        Tenants=[{'Name': 'north', 'ApiKeys': ['new'], 'Isolated': False}]
    )


@when('a route is added and then an earlier configuration is written')
def step_earlier_configuration(context: Context) -> None:
    """Write a later and then an earlier configuration."""
    bench = direct_bench(context)
    earlier = dict(bench.config)
    added = route('/added/', 'idempotent', 'registry')
    bench.configure(Routes=[*bench.config['Routes'], added])
    bench.until(lambda: bench.ask('/added/1').status == 200, 'the new route')
    bench.on_loop(lambda: bench.store.put('config', 'main', earlier))
    bench.run(sleep(0.3))


@when('a router starts now')
def step_start(context: Context) -> None:
    """Replace the router by a new one, which reads the whole list."""
    bench = direct_bench(context)
    previous = bench.routers.pop()
    bench.run(previous.close())
    bench.start_router('router-9')
    bench.until_ready()


@when('upstream "{name}" says that it is leaving')
def step_leaving(context: Context, name: str) -> None:
    """Write its entry with the state of a leaving upstream."""
    direct_bench(context).register(name, 'draining')


@when('upstream "{name}" loses its entry')
def step_removed(context: Context, name: str) -> None:
    """Remove its entry from the store."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.remove('servers', name))


@when('upstream "{name}" says that it is leaving and then that it is ready')
def step_leaving_then_ready(context: Context, name: str) -> None:
    """Write its entry as leaving and then as ready."""
    bench = direct_bench(context)
    bench.register(name, 'draining')
    bench.run(sleep(0.3))
    bench.register(name, 'ready')


@when('the store recovers from an outage without any upstream entry')
def step_entries_lapse(context: Context) -> None:
    """Remove all upstream entries while the store is unreachable."""
    bench = direct_bench(context)
    bench.store.mode = StoreMode.RESET
    bench.run(sleep(0.3))
    for name in bench.upstreams:
        bench.on_loop(partial(bench.store.remove, 'servers', name))
    bench.store.mode = StoreMode.CALM


@when('a router is stopped during a request and the answers are released')
def step_stop_during(context: Context) -> None:
    """Stop the router while a caller waits for its answer."""
    bench = direct_bench(context)
    asking = threading.Thread(target=bench.ask)
    asking.start()
    bench.until(lambda: bool(bench.ran()), 'a run')
    stopping = threading.Thread(
        target=lambda: bench.run(bench.routers[0].stop())
    )
    stopping.start()
    bench.until(lambda: not bench.routers[0].ready, 'a router that stops')
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.hold.set)
    asking.join()
    stopping.join()


@when('a router is stopped and a request arrives on an idle connection')
def step_idle_connection(context: Context) -> None:
    """Use one connection before and after the stop begins."""
    bench = direct_bench(context)
    connection: http.client.HTTPConnection = bench.connect()
    bench.ask_on(connection, '/records/1')
    server = bench.routers[0]._caller_server
    # A stop between an answer and the wait for the next request closes the
    # connection at once; this scenario needs it to be idle before the stop.
    bench.until(lambda: len(server._quiet) == 1, 'an idle connection')
    stopping = threading.Thread(
        target=lambda: bench.run(bench.routers[0].stop())
    )
    stopping.start()
    bench.until(lambda: not bench.routers[0].ready, 'a router that stops')
    bench.ask_on(connection, '/records/2')
    stopping.join()


@then('a request with that key soon gets {status:d}')
@then('a request with a key soon gets {status:d}')
def step_soon(context: Context, status: int) -> None:
    """Send requests until the status is received."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask(key=KEY).status == status, f'a {status}')


@then('its caller is asked to retry at once on a new connection')
def step_retry_elsewhere(context: Context) -> None:
    """Check the headers of the last answer."""
    headers = direct_bench(context).answer.headers
    assert headers['Connection'] == 'close', headers
    assert float(headers['Retry-After']) <= 0.05, headers


@then('a request on the new route still gets 200')
def step_still(context: Context) -> None:
    """Send a request on the added route."""
    assert direct_bench(context).ask('/added/2').status == 200


@then('it sends requests to all of them')
def step_all(context: Context) -> None:
    """Send requests until each upstream has received one."""
    bench = direct_bench(context)

    def all_used() -> bool:
        bench.ask()
        return all(upstream.received for upstream in bench.upstreams.values())

    bench.until(all_used, 'a request at every upstream')


@then('soon only "{name}" receives requests')
def step_only(context: Context, name: str) -> None:
    """Wait until the other upstreams get no requests, and check again."""
    bench = direct_bench(context)
    excluded = [
        upstream
        for upstream_id, upstream in bench.upstreams.items()
        if upstream_id != name
    ]

    def is_excluded() -> bool:
        before = [len(upstream.received) for upstream in excluded]
        for _ in range(6):
            bench.ask()
        return before == [len(upstream.received) for upstream in excluded]

    bench.until(is_excluded, 'no more requests at the other upstream')
    assert is_excluded()


@then('after a while requests get 503')
def step_lapsed(context: Context) -> None:
    """Send requests until the lapsed entries are no longer retained."""
    step_soon(context, 503)


@then('the request gets 200 and "Connection: close"')
def step_connection_close(context: Context) -> None:
    """Check the status and the header of the last answer."""
    answer: Answer = direct_bench(context).answer
    assert answer.status == 200, answer
    assert answer.headers.get('Connection') == 'close', answer


@then('the router is not ready')
def step_not_ready(context: Context) -> None:
    """Check that it reports itself as not ready."""
    assert not direct_bench(context).routers[0].ready
