"""Check how routers take turns in ordering engines to load weights."""

import threading
from typing import Any

from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._cluster_state import OLD_WEIGHTS_FRACTION
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import MODEL


@when('new weights are named')
def step_name(context: Context) -> None:
    """Name the next version."""
    _name(context, 2)


@when('three versions of weights are named at once')
def step_three(context: Context) -> None:
    """Name versions faster than they can be loaded."""
    for version in (2, 3, 4):
        _name(context, version)


@when('the router that gives orders dies and new weights are named')
def step_holder_dies(context: Context) -> None:
    """End the lease's holder without a release."""
    bench = direct_bench(context)
    bench.until(lambda: bool(_holder(context)), 'a holder')
    context.first_holder = _holder(context)
    names = ['router-1', 'router-2']
    index = names.index(context.first_holder)
    router = bench.routers.pop(index)
    context.first_fence = _fence(context)
    bench.run(router.close())
    _name(context, 2)


@when('the router that gives orders stops in the middle of a renewal')
def step_stops_renewing(context: Context) -> None:
    """Hold the answer to a write back until the stop has begun."""
    bench = direct_bench(context)
    bench.until(lambda: bool(_holder(context)), 'a holder')
    store = bench.store
    bench.on_loop(store.answers_writes.clear)
    bench.until(lambda: store.writes_held > 0, 'a renewal under way')
    stopping = threading.Thread(
        target=lambda: bench.run(bench.routers[0].stop())
    )
    stopping.start()
    bench.until(lambda: not bench.routers[0].ready, 'a stop that has begun')
    bench.on_loop(store.answers_writes.set)
    stopping.join()


@then('nobody holds the lease')
def step_released(context: Context) -> None:
    """Look at the lease's holder."""
    assert _holder(context) == '', _lease(context)


@when('engines load new weights that their entries never name')
def step_unnamed(context: Context) -> None:
    """Load new weights; the stand-ins' entries stay as they are."""
    _name(context, 2)
    _until_weights(context, 2)


@then('a router that starts now answers prompts when old ones are overdue')
def step_overdue(context: Context) -> None:
    """Start a router, wait until older weights are refused, then ask it."""
    bench = direct_bench(context)
    router = bench.start_router('router-3')
    bench.routers.remove(router)
    bench.routers.insert(0, router)
    bench.until_ready()
    limit_s = BOUNDS.weights_s * OLD_WEIGHTS_FRACTION

    def overdue() -> bool:
        return router.weights_age_s(MODEL) > limit_s

    bench.until(overdue, 'weights that are overdue')
    assert bench.ask_model().status == 200, bench.answer


@then('all engines have them, by orders of one holder')
def step_loaded(context: Context) -> None:
    """Wait for the weights and look at who ordered them."""
    _until_weights(context, 2)
    holders = {order['Holder'] for order in _orders(context)}
    assert holders == {'router-1'}, holders


@then('all engines have the last one')
def step_last(context: Context) -> None:
    """Wait for the last version."""
    _until_weights(context, 4)


@then('no engine was ordered an older version after a newer one')
def step_order(context: Context) -> None:
    """Look at the orders of each engine."""
    for upstream in direct_bench(context).upstreams.values():
        versions = [str(order['Version']) for order in upstream.orders]
        assert versions == sorted(versions), versions


@then('every order names the count of orders taken before it')
def step_count(context: Context) -> None:
    """Look at the precondition of each order."""
    _until_weights(context, 2)
    for upstream in direct_bench(context).upstreams.values():
        counts = [order['Precondition'] for order in upstream.orders]
        assert counts == list(range(len(counts))), counts


@then('all engines have them, by orders of the other holder')
def step_other(context: Context) -> None:
    """Wait for the weights and look at who ordered them."""
    _until_weights(context, 2)
    holders = {order['Holder'] for order in _orders(context)}
    assert len(holders) == 1, holders
    assert context.first_holder not in holders, holders


@then('the fencing number has grown')
def step_fence(context: Context) -> None:
    """Compare with the dead holder's."""
    for order in _orders(context):
        assert order['FencingToken'] > context.first_fence, order


def _name(context: Context, version: int) -> None:
    bench = direct_bench(context)
    named = {'Model': MODEL, 'Version': version}
    bench.on_loop(lambda: bench.store.put('versions', MODEL, named))


def _until_weights(context: Context, version: int) -> None:
    bench = direct_bench(context)

    def loaded() -> bool:
        return all(
            one.weights[MODEL] == version for one in bench.upstreams.values()
        )

    bench.until(loaded, f'version {version} on all engines')


def _orders(context: Context) -> list[dict[str, Any]]:
    orders: list[dict[str, Any]] = []
    for upstream in direct_bench(context).upstreams.values():
        orders.extend(upstream.orders)
    return orders


def _lease(context: Context) -> str:
    found = direct_bench(context).store.specification(
        'lacewing-leases', 'weights'
    )
    return '' if found is None else str(found['text'])


def _holder(context: Context) -> str:
    for name in ('router-1', 'router-2'):
        if f'"holder":"{name}"' in _lease(context):
            return name
    return ''


def _fence(context: Context) -> int:
    return direct_bench(context).store.revision
