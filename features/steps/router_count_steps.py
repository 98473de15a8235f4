"""Check how direct routers count each other."""

import asyncio
import heapq
from collections import Counter
from collections.abc import Callable
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct._router_count import count_interval_s
from lacewing_daemon.direct._router_count import RENEW_S
from lacewing_daemon.direct._router_count import RouterCount
from lacewing_daemon.direct._router_count import ROUTERS

COUNT_INTERVAL_S = RENEW_S / 2
_START_LIMIT_S = 120.0


class _Store:
    """Keep objects in memory; responses can be lost or fail."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.lose_next_response = False
        self.is_unavailable = False
        self.writes_per_s = 0
        self.clock: Callable[[], float] = lambda: 0.0
        self._write_counts: Counter[int] = Counter()
        self._version = 0

    def _takes_write(self) -> bool:
        """Count a write; return false beyond the rate, 0 for no limit."""
        second = int(self.clock())
        self._write_counts[second] += 1
        if not self.writes_per_s:
            return True
        return self._write_counts[second] <= self.writes_per_s

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        found = self.objects.get(name)
        if found is None:
            return StoreError(StoreFault.NOT_FOUND, 'no such entry')
        return found

    async def peek(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        return await self.get(kind, name)

    async def peek_all(
        self, kind: str
    ) -> tuple[StoredObject, ...] | StoreError:
        """Read all objects."""
        assert kind == ROUTERS
        if self.is_unavailable:
            return StoreError(StoreFault.UNAVAILABLE, 'unavailable')
        return tuple(self.objects.values())

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version matches."""
        if self.is_unavailable:
            return StoreError(StoreFault.UNAVAILABLE, 'unavailable')
        if not self._takes_write():
            return StoreError(StoreFault.RATE_LIMITED, 'too many writes')
        found = self.objects.get(name)
        if (0 if found is None else found.version) != expect:
            return StoreError(StoreFault.CONFLICT, 'changed meanwhile')
        self._version += 1
        self.objects[name] = StoredObject(kind, name, self._version, value)
        if self.lose_next_response:
            self.lose_next_response = False
            return StoreError(StoreFault.UNKNOWN, 'no response')
        return self.objects[name]

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete if the version matches."""
        found = self.objects.get(name)
        if found is None or found.version != expect:
            return StoreError(StoreFault.CONFLICT, 'changed meanwhile')
        del self.objects[name]
        return None


@given('{count:d} routers that share a store')
def step_routers(context: Context, count: int) -> None:
    """Create the counts of several routers."""
    context.store = _Store()
    context.now_s = 100.0
    context.counts = []
    context.reported = []
    for number in range(count):
        context.counts.append(
            RouterCount(
                context.store,
                f'router-{number}',
                Random(number),
                context.reported.append,
                lambda: float(context.now_s),
            )
        )


@given('{count:d} routers that have entries of predecessors')
def step_predecessors(context: Context, count: int) -> None:
    """Write an entry for each router before it starts."""
    step_routers(context, count)
    for number in range(count):
        value = f'{number:032x}'.encode()
        entry = context.store.put(ROUTERS, f'router-{number}', value, 0)
        asyncio.run(entry)


@given('a store that takes {count:d} writes a second')
def step_rate(context: Context, count: int) -> None:
    """Have the store refuse further writes in the same second."""
    context.store.writes_per_s = count
    context.store.clock = lambda: float(context.now_s)


@when('all of them start at once')
def step_start(context: Context) -> None:
    """Run each router's steps at its own times until it has its share."""
    asyncio.run(_start_all(context))


async def _start_all(context: Context) -> None:
    random = Random(0)
    start_s = context.now_s
    due = []
    for number in range(len(context.counts)):
        due.append((start_s + random.uniform(0.0, 0.3), number))
    context.shared_after_s = []
    while due and context.now_s < start_s + _START_LIMIT_S:
        context.now_s, number = heapq.heappop(due)
        count = context.counts[number]
        await count.step()
        if count.share > 0:
            context.shared_after_s.append(context.now_s - start_s)
            continue
        heapq.heappush(due, (context.now_s + count.next_step_in_s, number))


@then('each has its share within {seconds:d} seconds')
def step_shares(context: Context, seconds: int) -> None:
    """Check how long each router had no share."""
    assert len(context.shared_after_s) == len(context.counts)
    assert max(context.shared_after_s) <= seconds, max(context.shared_after_s)


@when('all of them renew their entries and count')
def step_all(context: Context) -> None:
    """Let each router write its entry, then let each read."""
    asyncio.run(_renew_all(context))
    asyncio.run(_count_all(context))


@when('one is killed and the others run for {seconds:d} seconds')
def step_killed(context: Context, seconds: int) -> None:
    """Drop one router and let time pass for the others."""
    context.counts.pop()
    _run_routers(context, seconds)


@when('both run for {seconds:d} seconds')
def step_run(context: Context, seconds: int) -> None:
    """Let time pass."""
    _run_routers(context, seconds)


@when('one leaves and the others count')
def step_leaves(context: Context) -> None:
    """Shut one router down gracefully."""
    asyncio.run(context.counts.pop().deregister())
    asyncio.run(_count_all(context))


@when('the response to a renewal of one is lost')
def step_lost(context: Context) -> None:
    """Let the write take effect without a response."""
    context.store.lose_next_response = True
    asyncio.run(context.counts[0].renew())


@when('{count:d} routers whose entries take {size:d} bytes count in turn')
def step_many(context: Context, count: int, size: int) -> None:
    """Compute the bytes read by a count over the count interval."""
    context.bytes_per_s = count * size / count_interval_s(count)


@then('each reads at most {limit_bytes:d} bytes a second')
def step_bytes(context: Context, limit_bytes: int) -> None:
    """Check the bytes read a second."""
    assert context.bytes_per_s <= limit_bytes, context.bytes_per_s


@when('the store does not respond')
def step_unavailable(context: Context) -> None:
    """Fail to renew and to count."""
    context.store.is_unavailable = True
    step_all(context)


@then('each counts {count:d} routers')
@then('each of the others counts {count:d} routers')
@then('it assumes {count:d} routers')
def step_count(context: Context, count: int) -> None:
    """Check the counts."""
    for router_count in context.counts:
        assert router_count.count == count, router_count.count
    if context.reported:
        assert context.reported[-1] == count, context.reported


@then('the store holds {count:d} entries')
def step_entries(context: Context, count: int) -> None:
    """Check the number of remaining entries."""
    assert len(context.store.objects) == count, context.store.objects


def _run_routers(context: Context, seconds: int) -> None:
    for number in range(int(seconds / COUNT_INTERVAL_S)):
        context.now_s += COUNT_INTERVAL_S
        if number % 2:
            asyncio.run(_renew_all(context))
        asyncio.run(_count_all(context))


async def _renew_all(context: Context) -> None:
    for router_count in context.counts:
        await router_count.renew()


async def _count_all(context: Context) -> None:
    for router_count in context.counts:
        await router_count.refresh()
