"""Test that one router at a time orders engines to load weights."""

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
def step_release(context: Context) -> None:
    """Release the next version."""
    _release_weights(context, 2)


@when('three versions of weights are named at once')
def step_three(context: Context) -> None:
    """Release versions faster than they can be loaded."""
    for version in (2, 3, 4):
        _release_weights(context, version)


@when('the lease holder dies and new weights are named')
def step_holder_dies(context: Context) -> None:
    """Terminate the lease holder without releasing the lease."""
    bench = direct_bench(context)
    bench.until(lambda: bool(_holder(context)), 'a lease holder')
    context.first_holder = _holder(context)
    router_ids = ['router-1', 'router-2']
    index = router_ids.index(context.first_holder)
    router = bench.routers.pop(index)
    context.first_revision = _store_revision(context)
    bench.run(router.close())
    _release_weights(context, 2)


@when('the lease holder stops during a renewal')
def step_stops_renewing(context: Context) -> None:
    """Withhold the answer to a write until the stop has begun."""
    bench = direct_bench(context)
    bench.until(lambda: bool(_holder(context)), 'a lease holder')
    store = bench.store
    bench.on_loop(store.answers_writes.clear)
    bench.until(lambda: store.writes_held > 0, 'a renewal in progress')
    stopping = threading.Thread(
        target=lambda: bench.run(bench.routers[0].stop())
    )
    stopping.start()
    bench.until(lambda: not bench.routers[0].ready, 'a router that stops')
    bench.on_loop(store.answers_writes.set)
    stopping.join()


@then('nobody holds the lease')
def step_released(context: Context) -> None:
    """Check that the stored lease names no holder."""
    assert _holder(context) == '', _lease_text(context)


@when('engines load new weights without updating their entries')
def step_outdated_entries(context: Context) -> None:
    """Load new weights; fake upstreams never update their entries."""
    _release_weights(context, 2)
    _wait_for_weights(context, 2)


@then('a router that starts now serves prompts when old weights are overdue')
def step_overdue(context: Context) -> None:
    """Start a router and send it a prompt once old weights are overdue."""
    bench = direct_bench(context)
    router = bench.start_router('router-3')
    bench.routers.remove(router)
    bench.routers.insert(0, router)
    bench.until_ready()
    limit_s = BOUNDS.weights_s * OLD_WEIGHTS_FRACTION

    def is_overdue() -> bool:
        return router.weights_age_s(MODEL) > limit_s

    bench.until(is_overdue, 'overdue weights')
    assert bench.ask_model().status == 200, bench.answer


@then('all engines have them, by orders of one holder')
def step_loaded(context: Context) -> None:
    """Wait for the weights and check which router ordered them."""
    _wait_for_weights(context, 2)
    holders = {order['Holder'] for order in _orders(context)}
    assert holders == {'router-1'}, holders


@then('the last engine was ordered less than {limit_s:g} s after the first')
def step_ordered_soon(context: Context, limit_s: float) -> None:
    """Compare the times of the first orders to the engines."""
    first_orders_s = []
    for upstream in direct_bench(context).upstreams.values():
        if upstream.ordered_s:
            first_orders_s.append(upstream.ordered_s[0])
    took_s = max(first_orders_s) - min(first_orders_s)
    assert took_s < limit_s, took_s


@then('all engines have the last one')
def step_last(context: Context) -> None:
    """Wait for the last version."""
    _wait_for_weights(context, 4)


@then('no engine was ordered an earlier version after a later one')
def step_order(context: Context) -> None:
    """Check the sequence of versions ordered from each engine."""
    for upstream in direct_bench(context).upstreams.values():
        versions = [str(order['Version']) for order in upstream.orders]
        assert versions == sorted(versions), versions


@then('every order carries the count of orders accepted before it')
def step_count(context: Context) -> None:
    """Check the precondition of each order."""
    _wait_for_weights(context, 2)
    for upstream in direct_bench(context).upstreams.values():
        counts = [order['Precondition'] for order in upstream.orders]
        assert counts == list(range(len(counts))), counts


@then('all engines have them, by orders of the other holder')
def step_other(context: Context) -> None:
    """Wait for the weights and check which router ordered them."""
    _wait_for_weights(context, 2)
    holders = {order['Holder'] for order in _orders(context)}
    assert len(holders) == 1, holders
    assert context.first_holder not in holders, holders


@then('the fencing number has grown')
def step_fence(context: Context) -> None:
    """Compare with the store's revision when the first holder died."""
    for order in _orders(context):
        assert order['FencingToken'] > context.first_revision, order


def _release_weights(context: Context, version: int) -> None:
    bench = direct_bench(context)
    release = {'Model': MODEL, 'Version': version}
    bench.on_loop(lambda: bench.store.put('versions', MODEL, release))


def _wait_for_weights(context: Context, version: int) -> None:
    bench = direct_bench(context)

    def loaded() -> bool:
        return all(
            upstream.weights[MODEL] == version
            for upstream in bench.upstreams.values()
        )

    bench.until(loaded, f'version {version} on all engines')


def _orders(context: Context) -> list[dict[str, Any]]:
    orders: list[dict[str, Any]] = []
    for upstream in direct_bench(context).upstreams.values():
        orders.extend(upstream.orders)
    return orders


def _lease_text(context: Context) -> str:
    stored = direct_bench(context).store.specification(
        'lacewing-leases', 'weights'
    )
    return '' if stored is None else str(stored['text'])


def _holder(context: Context) -> str:
    for router_id in ('router-1', 'router-2'):
        if f'"holder":"{router_id}"' in _lease_text(context):
            return router_id
    return ''


def _store_revision(context: Context) -> int:
    return direct_bench(context).store.revision
