"""Check how long versions may be named of which a router did not hear."""

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

# How near to a limit is looked; what pauses and the machine may add.
STEP_S = 0.01
SLOW_S = 0.25
LIMIT_S = 10.0
_NAMED = 'named'
_SECOND = Changes(((_NAMED, 2),), 2)
_CALLS: dict[str, Changes[int] | HistoryExpired | StoreError] = {
    'waits for a change': _SECOND,
    'whose call for changes fails': StoreError(StoreFault.UNAVAILABLE, 'x'),
    'whose store drops its history': HistoryExpired('x'),
}


class _Store:
    """Answer one list, then what a scenario says, then a second value."""

    def __init__(
        self, answer: Changes[int] | HistoryExpired | StoreError
    ) -> None:
        self.answer = answer
        self.after_s = 0.0
        self._lists = 0
        self._calls = 0

    async def read(self) -> Listing[int]:
        """Give the next list."""
        self._lists += 1
        return Listing({_NAMED: self._lists}, self._lists)

    async def changes(
        self, since: int, wait_s: float
    ) -> Changes[int] | HistoryExpired | StoreError:
        """Give the answer, then the second value, then nothing."""
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
    """Tell the router of it."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.name(version, gap_s)


@given('its process was started {ago_s:f} s ago')
def step_started(context: Context, ago_s: float) -> None:
    """Tell the router when that was."""
    router = context.weights_router
    router.knowledge.set_process_start(router.clock.now_s - ago_s)


@when('it finds version {version:d} as it starts')
def step_found_at_start(context: Context, version: int) -> None:
    """Tell the router of one that may have been named at any time."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.name(version, float('inf'))


@then('engines with version 1 are used for {used_s:f} s more')
def step_used(context: Context, used_s: float) -> None:
    """Look right before and after."""
    router = context.weights_router
    newest = max(router.named)
    for at_s, version in ((used_s - STEP_S, 1), (used_s + STEP_S, newest)):
        router.clock.now_s = context.begin_s + at_s
        for name in router.ids:
            assert router.asked(name) == version, (at_s, name)


@given('a router that reads a list and {then}')
def step_reads(context: Context, then: str) -> None:
    """Script the store."""
    context.scripted = _Store(_CALLS[then])


@when('a change is reported to it after {after_s:f} s')
def step_told(context: Context, after_s: float) -> None:
    """Follow the store until it tells the second value."""
    context.scripted.after_s = after_s
    context.unsure = asyncio.run(_follow(context.scripted))


async def _follow(
    store: Collection[int], wait_s: float = 4.0, last: int = 2
) -> dict[int, float]:
    followed: CollectionWatcher[int] = CollectionWatcher(
        'entries', store, wait_s, Random()
    )
    unsure = {}
    told_all = asyncio.Event()

    def told(_name: str, value: int | None) -> None:
        assert value is not None
        unsure[value] = followed.max_change_age_s
        if value == last:
            told_all.set()

    followed.on_change(told)
    running = asyncio.create_task(followed.run())
    await asyncio.wait_for(told_all.wait(), LIMIT_S)
    running.cancel()
    return unsure


@then('the change may have been made {ago_s:f} s before')
def step_made(context: Context, ago_s: float) -> None:
    """Compare; what the first list told is as old as one likes."""
    assert context.unsure[1] == float('inf'), context.unsure
    assert ago_s <= context.unsure[2] <= ago_s + SLOW_S, context.unsure


class _LateStore:
    """Answer one list, one change late, then another one at once."""

    def __init__(self, late_s: float) -> None:
        self._late_s = late_s

    async def read(self) -> Listing[int]:
        """Give the list."""
        return Listing({_NAMED: 0}, 1)

    async def changes(self, since: int, wait_s: float) -> Changes[int]:
        """Give the changes, then nothing."""
        if since > 2:
            await asyncio.Event().wait()
        if since == 1:
            await asyncio.sleep(self._late_s)
        return Changes(((_NAMED, since),), since + 1)


@given(
    'a router that waits {wait_s:f} s for an answer that comes after'
    ' {late_s:f} s'
)
def step_late(context: Context, wait_s: float, late_s: float) -> None:
    """Script the store."""
    context.late = (_LateStore(late_s), wait_s)


@when('the store reports another change at once')
def step_other_change(context: Context) -> None:
    """Follow the store until it has told both."""
    store, wait_s = context.late
    context.unsure = asyncio.run(_follow(store, wait_s, 2))


@then('the other change may have been made {ago_s:f} s before')
def step_other_made(context: Context, ago_s: float) -> None:
    """Compare."""
    assert ago_s <= context.unsure[2] <= ago_s + SLOW_S, context.unsure


@when(
    'engine "{name}" has version {version:d} and a router starts without'
    ' the weights'
)
def step_without(context: Context, name: str, version: int) -> None:
    """Take the named weights out of the store; start a router."""
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
    """Look at what it knows."""
    named = _knowledge(context).current_release(MODEL)
    assert named.version == version, named


@then('it soon asks no engine for version {version:d}')
def step_soon(context: Context, version: int) -> None:
    """Wait until nothing older may begin, then send prompts."""
    bench = direct_bench(context)
    knowledge = _knowledge(context)

    def overdue() -> bool:
        namings = knowledge.releases(MODEL)
        return (
            min_allowed_version(namings, knowledge.old_weights_limit_s)
            > version
        )

    bench.until(overdue, f'an end of version {version}')
    before = len(bench.received())
    for _ in range(5):
        assert bench.ask_model().status == 200, bench.answer
    asked = []
    for received in bench.received()[before:]:
        asked.append(int(received.headers[PREFIX + 'Expected-Version']))
    assert asked and min(asked) > version, asked


def _knowledge(context: Context) -> ClusterState:
    return direct_bench(context).routers[0]._fleet.cluster_state
