"""Replay series of store changes to a collection watcher."""

import asyncio
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Changes
from lacewing_daemon.direct import Listing
from lacewing_daemon.direct._collection_watcher import CollectionWatcher
from lacewing_daemon.direct._fleet import UPSTREAMS_BATCH_DELAY_S
from lacewing_daemon.direct._fleet import UPSTREAMS_WAIT_S

# Round-trip time of a call to the store.
CALL_LATENCY_S = 0.01
SEED = 7


class _ChangingCollection:
    """Return changes at their times; calls advance the simulated clock."""

    def __init__(self, times_s: list[float]) -> None:
        self.now_s = 0.0
        self.times_s = times_s
        self.calls = 0

    def clock(self) -> float:
        """Return the simulated time."""
        return self.now_s

    async def read(self) -> Listing[int]:
        """Return the empty list at the first revision."""
        self.now_s += CALL_LATENCY_S
        return Listing({}, 0)

    async def changes(self, since: int, wait_s: float) -> Changes[int]:
        """Wait for the next change; each change adds one revision."""
        self.calls += 1
        end_s = self.now_s + wait_s
        if since < len(self.times_s):
            self.now_s = max(self.now_s, min(end_s, self.times_s[since]))
        else:
            self.now_s = end_s
        visible = [time_s for time_s in self.times_s if time_s <= self.now_s]
        changed = []
        for number in range(since, len(visible)):
            changed.append((f'upstream-{number}', number))
        self.now_s += CALL_LATENCY_S
        return Changes(tuple(changed), len(visible))


@given(
    'entries of upstreams that change {rate:d} times a second for'
    ' {seconds:d} seconds'
)
def step_series(context: Context, rate: int, seconds: int) -> None:
    """Draw the times of the changes."""
    random = Random(SEED)
    times_s = [random.uniform(0, seconds) for _ in range(rate * seconds)]
    context.store = _ChangingCollection(sorted(times_s))


@given('entries of upstreams that change once after {seconds:d} seconds')
def step_once(context: Context, seconds: int) -> None:
    """Schedule one change."""
    context.store = _ChangingCollection([float(seconds)])


@when('a router watches them')
def step_watch(context: Context) -> None:
    """Make calls until all changes are reported."""
    store = context.store
    watcher: CollectionWatcher[int] = CollectionWatcher(
        'upstreams',
        store,
        UPSTREAMS_WAIT_S,
        Random(),
        batch_delay_s=UPSTREAMS_BATCH_DELAY_S,
        clock=store.clock,
    )
    context.delays_s = []

    def record_delay(_name: str, number: int | None) -> None:
        assert number is not None
        context.delays_s.append(store.now_s - store.times_s[number])

    watcher.on_change(record_delay)

    async def make_calls() -> None:
        while len(context.delays_s) < len(store.times_s):
            pause_s = await watcher.step()
            store.now_s += pause_s

    asyncio.run(make_calls())


@then('it makes at most {max_rate:f} calls a second')
def step_calls(context: Context, max_rate: float) -> None:
    """Check the rate of calls."""
    rate = context.store.calls / context.store.now_s
    assert rate <= max_rate, rate


@then('it knows of each change within {limit_s:f} seconds')
def step_known(context: Context, limit_s: float) -> None:
    """Check the delay of all changes."""
    assert max(context.delays_s) <= limit_s, max(context.delays_s)
