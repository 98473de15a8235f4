"""Check the maximum age of releases that a router learns of late."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import Collection
from lacewing_daemon.direct import HistoryExpired
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._weights_releases import min_allowed_version
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX

# Distance from a limit at which it is checked.
STEP_S = 0.01
# Tolerance for pauses and a slow machine.
SLOW_S = 0.25
LIMIT_S = 10.0
_ENTRY_NAME = 'named'
_SECOND = Changes(((_ENTRY_NAME, 2),), 2)
_CALLS: dict[str, Changes[int] | HistoryExpired | StoreError] = {
    'waits for a change': _SECOND,
    'whose call for changes fails': StoreError(StoreFault.UNAVAILABLE, 'x'),
    'whose store drops its history': HistoryExpired('x'),
}


class _Store:
    """Return one list, then the scenario's answer, then a second value."""

    def __init__(
        self, answer: Changes[int] | HistoryExpired | StoreError
    ) -> None:
        self.answer = answer
        self.after_s = 0.0
        self._lists = 0
        self._calls = 0

    async def read(self) -> Listing[int]:
        """Return the next list."""
        self._lists += 1
        return Listing({_ENTRY_NAME: self._lists}, self._lists)

    async def changes(
        self, since: int, wait_s: float
    ) -> Changes[int] | HistoryExpired | StoreError:
        """Return the answer, then the second value, then block."""
        if since > 1:
            await asyncio.Event().wait()
        self._calls += 1
        if self._calls > 1:
            return _SECOND
        await asyncio.sleep(self.after_s)
        return self.answer


@when(
    'version {version:d} is found that was released within the last'
    ' {gap_s:f} s'
)
def step_found(context: Context, version: int, gap_s: float) -> None:
    """Report the release to the router."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.release(version, gap_s)


@given('its process was started {ago_s:f} s ago')
def step_started(context: Context, ago_s: float) -> None:
    """Set the start of the router's process."""
    router = context.weights_router
    router.cluster_state.set_process_start(router.clock.now_s - ago_s)


@when('it finds version {version:d} as it starts')
def step_found_at_start(context: Context, version: int) -> None:
    """Report a release that may have been made at any time."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.release(version, float('inf'))


@then('engines with version 1 are used for {used_s:f} s more')
def step_used(context: Context, used_s: float) -> None:
    """Check right before and after the limit."""
    router = context.weights_router
    latest = max(router.released_s)
    for at_s, version in ((used_s - STEP_S, 1), (used_s + STEP_S, latest)):
        router.clock.now_s = context.begin_s + at_s
        for upstream_id in router.ids:
            assert router.expected_version(upstream_id) == version, (
                at_s,
                upstream_id,
            )


@given('a router that reads a list and {then}')
def step_reads(context: Context, then: str) -> None:
    """Script the store."""
    context.scripted = _Store(_CALLS[then])


@when('a change is reported to it after {after_s:f} s')
def step_reported(context: Context, after_s: float) -> None:
    """Watch the store until it returns the second value."""
    context.scripted.after_s = after_s
    context.max_ages = asyncio.run(_watch(context.scripted))


async def _watch(
    store: Collection[int], wait_s: float = 4.0, last: int = 2
) -> dict[int, float]:
    watcher: CollectionWatcher[int] = CollectionWatcher(
        'entries', store, wait_s, Random()
    )
    max_ages = {}
    last_reported = asyncio.Event()

    def on_change(_name: str, value: int | None) -> None:
        assert value is not None
        max_ages[value] = watcher.max_change_age_s
        if value == last:
            last_reported.set()

    watcher.on_change(on_change)
    running = asyncio.create_task(watcher.run())
    await asyncio.wait_for(last_reported.wait(), LIMIT_S)
    running.cancel()
    return max_ages


@then('the change may have been made {ago_s:f} s before')
def step_made(context: Context, ago_s: float) -> None:
    """Check the maximum age; the first list's values have no limit."""
    assert context.max_ages[1] == float('inf'), context.max_ages
    assert ago_s <= context.max_ages[2] <= ago_s + SLOW_S, context.max_ages


class _LateStore:
    """Return one list, one late change, then another one at once."""

    def __init__(self, late_s: float) -> None:
        self._late_s = late_s

    async def read(self) -> Listing[int]:
        """Return the list."""
        return Listing({_ENTRY_NAME: 0}, 1)

    async def changes(self, since: int, wait_s: float) -> Changes[int]:
        """Return the changes, then block."""
        if since > 2:
            await asyncio.Event().wait()
        if since == 1:
            await asyncio.sleep(self._late_s)
        return Changes(((_ENTRY_NAME, since),), since + 1)


@given(
    'a router that waits {wait_s:f} s for an answer that comes after'
    ' {late_s:f} s'
)
def step_late(context: Context, wait_s: float, late_s: float) -> None:
    """Script the store."""
    context.late = (_LateStore(late_s), wait_s)


@when('the store reports another change at once')
def step_other_change(context: Context) -> None:
    """Watch the store until it has returned both."""
    store, wait_s = context.late
    context.max_ages = asyncio.run(_watch(store, wait_s, 2))


@then('the other change may have been made {ago_s:f} s before')
def step_other_made(context: Context, ago_s: float) -> None:
    """Check the maximum age of the second change."""
    assert ago_s <= context.max_ages[2] <= ago_s + SLOW_S, context.max_ages


@when(
    'engine "{name}" has version {version:d} and a router starts without'
    ' the weights'
)
def step_without(context: Context, name: str, version: int) -> None:
    """Remove the released weights from the store; start a router."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.ignores_orders = True
    bench.upstreams[name].weights[MODEL] = version
    bench.register(name)
    bench.on_loop(lambda: bench.store.remove('versions', MODEL))
    bench.start_router()
    bench.until_ready()


@then('it knows that version {version:d} is released')
def step_knows(context: Context, version: int) -> None:
    """Check the current release in its cluster state."""
    release = _cluster_state(context).current_release(MODEL)
    assert release.version == version, release


@then('it soon asks no engine for version {version:d}')
def step_soon(context: Context, version: int) -> None:
    """Wait until no run may begin on older weights, then send prompts."""
    bench = direct_bench(context)
    cluster_state = _cluster_state(context)

    def overdue() -> bool:
        releases = cluster_state.releases(MODEL)
        return (
            min_allowed_version(releases, cluster_state.old_weights_limit_s)
            > version
        )

    bench.until(overdue, f'the end of use of version {version}')
    before = len(bench.received())
    for _ in range(5):
        assert bench.ask_model().status == 200, bench.answer
    expected = []
    for received in bench.received()[before:]:
        expected.append(int(received.headers[PREFIX + 'Expected-Version']))
    assert expected and min(expected) > version, expected


def _cluster_state(context: Context) -> ClusterState:
    return direct_bench(context).routers[0]._fleet.cluster_state
