"""Check a direct router's view of the platform's store."""

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
    """Register upstreams beyond one page."""
    for number in range(count):
        direct_bench(context).add_upstream(f'more-{number}', 'registry')


@given('keys that are taken away must be refused within {revoke_s:d} seconds')
def step_revoke_within(context: Context, revoke_s: int) -> None:
    """Set the bound."""
    context.revoke_s = float(revoke_s)


@then('a call that waits for changes ends well before keys are doubted')
def step_confirmed(context: Context) -> None:
    """Compare the age that the configuration reaches with the limit."""
    wait_s = routing_config_wait_s(context.revoke_s)
    oldest_s = wait_s + watch_gap_s(context.revoke_s)
    limit_s = keys_valid_s(context.revoke_s)
    assert wait_s > 0
    assert oldest_s <= 0.81 * limit_s < context.revoke_s, oldest_s


@given('a router that follows a store by calls of {wait_s:f} s')
def step_follows(context: Context, wait_s: float) -> None:
    """Make a follower that nothing runs."""
    context.clock = boot_s()
    context.followed = CollectionWatcher(
        'entries', _Unused(), wait_s, Random()
    )


@when('{answer} comes to a call sent {ago_s:f} s ago')
def step_answer(context: Context, answer: str, ago_s: float) -> None:
    """Hand an answer over."""
    answers: dict[str, Listing[int] | Changes[int]] = {
        'a list': Listing({}, 1),
        'a change': Changes((('a', 1),), 2),
        'no change': Changes((), 1),
    }
    context.followed.confirm(answers[answer], context.clock - ago_s)


@then('all changes up to {age_s:f} s ago are known')
def step_known(context: Context, age_s: float) -> None:
    """Compare the age, but for the time that the scenario takes."""
    known_s = context.followed.age_s
    took_s = boot_s() - context.clock
    assert age_s - ROUNDING_S <= known_s <= age_s + took_s + ROUNDING_S


class _Unused:
    """Stand for a collection that nobody asks."""

    async def read(self) -> Listing[int] | StoreError:
        """Give nothing."""
        raise NotImplementedError

    async def changes(
        self, since: int, wait_s: float
    ) -> Changes[int] | HistoryExpired | StoreError:
        """Give nothing."""
        raise NotImplementedError


@given('the store forgets its history while watches hear nothing')
def step_deaf(context: Context) -> None:
    """Have watches hear nothing, then forget what happened."""
    bench = direct_bench(context)
    bench.store.mode = StoreMode.DEAF


@given('a second direct router')
def step_second(context: Context) -> None:
    """Start another router."""
    bench = direct_bench(context)
    bench.start_router('router-2')
    bench.until_ready()


@given('the store {mode} the answers of writes for a while')
def step_lossy(context: Context, mode: str) -> None:
    """Lose answers, and end that from a timer."""
    bench = direct_bench(context)
    bench.store.mode = MODES[mode]
    timer = threading.Timer(1.0, _calm, [context])
    timer.start()
    context.resources.callback(timer.join)


def _calm(context: Context) -> None:
    direct_bench(context).store.mode = StoreMode.CALM


@when('the store is {mode}')
def step_mode(context: Context, mode: str) -> None:
    """Set how the store treats calls."""
    bench = direct_bench(context)
    if bench.store.mode is StoreMode.DEAF:
        bench.on_loop(bench.store.compact)
    bench.store.mode = MODES[mode]


@when('an entry of an upstream is written with {fields}')
def step_odd_entry(context: Context, fields: str) -> None:
    """Write an entry as it is."""
    bench = direct_bench(context)
    bench.on_loop(
        lambda: bench.store.put('servers', 'odd', json.loads(fields))
    )


@when("a configuration is written that can't be read")
def step_odd_configuration(context: Context) -> None:
    """Write one whose routes are no list."""
    direct_bench(context).configure(Routes=5)


@then('an upstream that comes then is used')
def step_comes(context: Context) -> None:
    """Add an upstream and wait until the router knows it."""
    bench = direct_bench(context)
    bench.add_upstream('late', 'registry')
    bench.until(
        lambda: 'late' in bench.routers[0].upstream_ids, 'the new upstream'
    )


@when('the key of a team is taken away')
def step_revoke(context: Context) -> None:
    """Write a configuration without the key."""
    direct_bench(context).configure(
        Tenants=[{'Name': 'north', 'ApiKeys': ['new'], 'Isolated': False}]
    )


@when('a route is added and then an older configuration is written')
def step_older(context: Context) -> None:
    """Write a newer and then an older configuration."""
    bench = direct_bench(context)
    older = dict(bench.config)
    added = route('/added/', 'idempotent', 'registry')
    bench.configure(Routes=[*bench.config['Routes'], added])
    bench.until(lambda: bench.ask('/added/1').status == 200, 'the new route')
    bench.on_loop(lambda: bench.store.put('config', 'main', older))
    bench.run(sleep(0.3))


@when('a router starts now')
def step_start(context: Context) -> None:
    """Replace the router by one that reads the whole list at once."""
    bench = direct_bench(context)
    old = bench.routers.pop()
    bench.run(old.close())
    bench.start_router('router-9')
    bench.until_ready()


@when('upstream "{name}" says that it is leaving')
def step_leaving(context: Context, name: str) -> None:
    """Change its entry."""
    direct_bench(context).register(name, 'draining')


@when('upstream "{name}" loses its entry')
def step_removed(context: Context, name: str) -> None:
    """Remove its entry."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.remove('servers', name))


@when('upstream "{name}" says that it is leaving and then that it is ready')
def step_back(context: Context, name: str) -> None:
    """Change its entry twice."""
    bench = direct_bench(context)
    bench.register(name, 'draining')
    bench.run(sleep(0.3))
    bench.register(name, 'ready')


@when('the store returns from an outage with no upstream left')
def step_lapse(context: Context) -> None:
    """Remove all entries while the store is away."""
    bench = direct_bench(context)
    bench.store.mode = StoreMode.RESET
    bench.run(sleep(0.3))
    for name in bench.upstreams:
        bench.on_loop(partial(bench.store.remove, 'servers', name))
    bench.store.mode = StoreMode.CALM


@when('a router is stopped during a request and the answers go on')
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


@when('a router is stopped and a request comes on a kept connection')
def step_kept(context: Context) -> None:
    """Use one connection before and after the stop begins."""
    bench = direct_bench(context)
    connection: http.client.HTTPConnection = bench.connect()
    bench.ask_on(connection, '/records/1')
    front = bench.routers[0]._caller_server
    # A stop between an answer and the wait for the next request ends the
    # connection at once; here it is to be quiet when the stop comes.
    bench.until(lambda: len(front._quiet) == 1, 'a quiet connection')
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
    """Ask until the status comes."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask(key=KEY).status == status, f'a {status}')


@then('its caller is told to come back at once on a new connection')
def step_elsewhere(context: Context) -> None:
    """Check the headers of the last answer."""
    headers = direct_bench(context).answer.headers
    assert headers['Connection'] == 'close', headers
    assert float(headers['Retry-After']) <= 0.05, headers


@then('a request on the new route still gets 200')
def step_still(context: Context) -> None:
    """Ask on the added route."""
    assert direct_bench(context).ask('/added/2').status == 200


@then('it sends requests to all of them')
def step_all(context: Context) -> None:
    """Ask until each upstream was used."""
    bench = direct_bench(context)

    def all_used() -> bool:
        bench.ask()
        return all(one.received for one in bench.upstreams.values())

    bench.until(all_used, 'a request at every upstream')


@then('soon only "{name}" receives requests')
def step_only(context: Context, name: str) -> None:
    """Wait until the other upstream is left out, then look on."""
    bench = direct_bench(context)
    others = [one for key, one in bench.upstreams.items() if key != name]

    def left_out() -> bool:
        before = [len(one.received) for one in others]
        for _ in range(6):
            bench.ask()
        return before == [len(one.received) for one in others]

    bench.until(left_out, 'no more requests at the other upstream')
    assert left_out()


@then('after a while requests get 503')
def step_gone(context: Context) -> None:
    """Ask until the lapsed entries are no longer believed."""
    step_soon(context, 503)


@then('the request gets 200 and the end of its connection is announced')
def step_announced(context: Context) -> None:
    """Check the last answer."""
    answer: Answer = direct_bench(context).answer
    assert answer.status == 200, answer
    assert answer.headers.get('Connection') == 'close', answer


@then('the router is not ready')
def step_not_ready(context: Context) -> None:
    """Check the readiness."""
    assert not direct_bench(context).routers[0].ready
