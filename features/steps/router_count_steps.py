"""Check how direct routers count each other."""

import asyncio
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

STEP_S = RENEW_S / 2


class _Store:
    """Keep objects in memory; answers can be lost or not come at all."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.loses_next = False
        self.away = False
        self._version = 0

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
        if self.away:
            return StoreError(StoreFault.UNAVAILABLE, 'away')
        return tuple(self.objects.values())

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write on condition."""
        if self.away:
            return StoreError(StoreFault.UNAVAILABLE, 'away')
        found = self.objects.get(name)
        if (0 if found is None else found.version) != expect:
            return StoreError(StoreFault.CONFLICT, 'changed meanwhile')
        self._version += 1
        self.objects[name] = StoredObject(kind, name, self._version, value)
        if self.loses_next:
            self.loses_next = False
            return StoreError(StoreFault.UNKNOWN, 'no answer')
        return self.objects[name]

    async def delete(
        self, kind: str, name: str, expect: int
    ) -> None | StoreError:
        """Delete on condition."""
        found = self.objects.get(name)
        if found is None or found.version != expect:
            return StoreError(StoreFault.CONFLICT, 'changed meanwhile')
        del self.objects[name]
        return None


@given('{count:d} routers that share a store')
def step_routers(context: Context, count: int) -> None:
    """Make the counts of several routers."""
    context.store = _Store()
    context.now_s = 100.0
    context.counts = []
    context.told = []
    for number in range(count):
        context.counts.append(
            RouterCount(
                context.store,
                f'router-{number}',
                Random(number),
                context.told.append,
                lambda: float(context.now_s),
            )
        )


@when('all of them renew their entries and look')
def step_all(context: Context) -> None:
    """Let each write, then each read."""
    asyncio.run(_renew(context))
    asyncio.run(_look(context))


@when('one is killed and the others go on for {seconds:d} seconds')
def step_killed(context: Context, seconds: int) -> None:
    """Drop one and let time pass for the others."""
    context.counts.pop()
    _go_on(context, seconds)


@when('both go on for {seconds:d} seconds')
def step_go_on(context: Context, seconds: int) -> None:
    """Let time pass."""
    _go_on(context, seconds)


@when('one leaves and the others look')
def step_leaves(context: Context) -> None:
    """Stop one regularly."""
    asyncio.run(context.counts.pop().deregister())
    asyncio.run(_look(context))


@when('the answer to a renewal of one is lost')
def step_lost(context: Context) -> None:
    """Let the write take effect without an answer."""
    context.store.loses_next = True
    asyncio.run(context.counts[0].renew())


@when('{count:d} routers whose entries take {size:d} bytes look in turn')
def step_many(context: Context, count: int, size: int) -> None:
    """Work out what each look reads, over the time between two."""
    context.bytes_per_s = count * size / count_interval_s(count)


@then('each reads at most {most:d} bytes a second')
def step_bytes(context: Context, most: int) -> None:
    """Compare."""
    assert context.bytes_per_s <= most, context.bytes_per_s


@when('the store gives no answer')
def step_away(context: Context) -> None:
    """Renew and look in vain."""
    context.store.away = True
    step_all(context)


@then('each counts {count:d} routers')
@then('each of the others counts {count:d} routers')
@then('it assumes {count:d} routers')
def step_count(context: Context, count: int) -> None:
    """Compare the counts."""
    for one in context.counts:
        assert one.count == count, one.count
    if context.told:
        assert context.told[-1] == count, context.told


@then('the store holds {count:d} entries')
def step_entries(context: Context, count: int) -> None:
    """Count the entries that are left."""
    assert len(context.store.objects) == count, context.store.objects


def _go_on(context: Context, seconds: int) -> None:
    for number in range(int(seconds / STEP_S)):
        context.now_s += STEP_S
        if number % 2:
            asyncio.run(_renew(context))
        asyncio.run(_look(context))


async def _renew(context: Context) -> None:
    for one in context.counts:
        await one.renew()


async def _look(context: Context) -> None:
    for one in context.counts:
        await one.refresh()
