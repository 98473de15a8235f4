"""Replay series of changes of the store to one that follows them."""

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

# What one call and its answer take on the way to the store and back.
CALL_S = 0.01
SEED = 7


class _ChangingStore:
    """Tell changes at their times; the scenario's clock moves with calls."""

    def __init__(self, times_s: list[float]) -> None:
        self.now_s = 0.0
        self.times_s = times_s
        self.calls = 0

    def clock(self) -> float:
        """Return the scenario's time."""
        return self.now_s

    async def read(self) -> Listing[int]:
        """Return the entries as of the first revision."""
        self.now_s += CALL_S
        return Listing({}, 0)

    async def changes(self, since: int, wait_s: float) -> Changes[int]:
        """Wait for the next change; revisions count changes."""
        self.calls += 1
        end_s = self.now_s + wait_s
        if since < len(self.times_s):
            self.now_s = max(self.now_s, min(end_s, self.times_s[since]))
        else:
            self.now_s = end_s
        made = [time_s for time_s in self.times_s if time_s <= self.now_s]
        changed = []
        for number in range(since, len(made)):
            changed.append((f'upstream-{number}', number))
        self.now_s += CALL_S
        return Changes(tuple(changed), len(made))


@given(
    'entries of upstreams that change {rate:d} times a second for'
    ' {seconds:d} seconds'
)
def step_series(context: Context, rate: int, seconds: int) -> None:
    """Draw the times of the changes."""
    random = Random(SEED)
    times_s = [random.uniform(0, seconds) for _ in range(rate * seconds)]
    context.store = _ChangingStore(sorted(times_s))


@given('entries of upstreams that change once after {seconds:d} seconds')
def step_once(context: Context, seconds: int) -> None:
    """Set one change."""
    context.store = _ChangingStore([float(seconds)])


@when('a router follows them')
def step_follow(context: Context) -> None:
    """Make calls until all changes are told."""
    store = context.store
    follower: CollectionWatcher[int] = CollectionWatcher(
        'upstreams',
        store,
        UPSTREAMS_WAIT_S,
        Random(),
        batch_delay_s=UPSTREAMS_BATCH_DELAY_S,
        clock=store.clock,
    )
    context.late_s = []

    def told(_name: str, number: int | None) -> None:
        assert number is not None
        context.late_s.append(store.now_s - store.times_s[number])

    follower.on_change(told)

    async def play() -> None:
        while len(context.late_s) < len(store.times_s):
            pause_s = await follower.step()
            store.now_s += pause_s

    asyncio.run(play())


@then('it makes at most {most:f} calls a second')
def step_calls(context: Context, most: float) -> None:
    """Compare the calls with the time."""
    rate = context.store.calls / context.store.now_s
    assert rate <= most, rate


@then('it knows of each change within {most_s:f} seconds')
def step_known(context: Context, most_s: float) -> None:
    """Compare how late changes were known."""
    assert max(context.late_s) <= most_s, max(context.late_s)
