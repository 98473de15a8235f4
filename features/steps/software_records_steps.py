"""Check that software versions are recorded in the store."""

import asyncio
import json
from math import isinf
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.origins._history import SoftwareHistory
from lacewing_daemon.direct.origins._version_records import KIND
from lacewing_daemon.direct.origins._version_records import VersionRecords
from support.direct_bench import direct_bench

SERVICE = 'models'
# The adapter marks the kinds of the system's own objects.
STORED_KIND = 'lacewing-' + KIND
UNREADABLE: dict[str, Any] = {
    'missing': None,
    'unreadable': {'versions': 'v1'},
    'empty': {'versions': []},
}


class _Objects:
    """Hold one object; ``failing`` writes have no effect.

    ``failing_reads`` are not answered.
    """

    def __init__(self) -> None:
        self.value = b''
        self.version = 0
        self.failing = 0
        self.failing_reads = 0

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Return the object."""
        if self.failing_reads:
            self.failing_reads -= 1
            return StoreError(StoreFault.UNAVAILABLE, 'down')
        if not self.version:
            return StoreError(StoreFault.NOT_FOUND, 'no such object')
        return StoredObject(kind, name, self.version, self.value)

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write if the version is the expected one."""
        if self.failing:
            self.failing -= 1
            return StoreError(StoreFault.UNAVAILABLE, 'down')
        if expect != self.version:
            return StoreError(StoreFault.CONFLICT, 'another version')
        self.value = value
        self.version += 1
        return StoredObject(kind, name, self.version, value)


class RecordsSite:
    """Drive a history and its records with a simulated clock."""

    def __init__(self, first_start: bool = False) -> None:
        self.now_s = 0.0
        self.age_s = 0.0
        self.present = [_upstream('v1')]
        self.objects = _Objects()
        self.eras = StoreEras()
        self.history = SoftwareHistory(
            lambda _service: self.present, lambda: self.now_s, first_start
        )
        objects: Any = self.objects
        self.records = VersionRecords(
            objects,
            self.history,
            self.history.confirm,
            lambda: (SERVICE,),
            '10.0.0.1:7000',
            lambda: (),
            self.eras,
            lambda: self.age_s,
        )

    def record(self, versions: str) -> None:
        """Let another router write."""
        text = json.dumps({'versions': versions.split(', ')})
        self.objects.value = text.encode()
        self.objects.version += 1


def _upstream(software: str) -> Upstream:
    return Upstream(
        f'eng-{software}',
        SERVICE,
        '127.0.0.1:1',
        'east',
        4,
        False,
        {},
        0,
        software,
    )


def _recorded(context: Context) -> list[str]:
    stored = direct_bench(context).store.specification(STORED_KIND, SERVICE)
    if stored is None:
        return []
    versions: list[str] = json.loads(stored['text'])['versions']
    return versions


@given('the store has the versions "{versions}"')
@then('the store has the versions "{versions}"')
def step_recorded(context: Context, versions: str) -> None:
    """Wait until the routers have recorded the versions."""
    expected = versions.split(', ')
    direct_bench(context).until(
        lambda: _recorded(context) == expected, f'{versions} in the store'
    )


@given('a store whose record of versions is {record}')
def step_record(context: Context, record: str) -> None:
    """Write a record that tells nothing."""
    value = UNREADABLE[record]
    bench = direct_bench(context)
    if value is not None:
        stored = {'text': json.dumps(value)}
        bench.on_loop(lambda: bench.store.put(STORED_KIND, SERVICE, stored))


@given('all routers are killed')
@when('all routers are killed')
def step_all_killed(context: Context) -> None:
    """Close all routers without a drain."""
    bench = direct_bench(context)
    for router in bench.routers:
        bench.run(router.close())


@given('a router that starts later')
@when('a router that starts later')
def step_later(context: Context) -> None:
    """Start a router once the system has run."""
    bench = direct_bench(context)
    bench.first_start = False
    router = bench.start_router('router-later')
    bench.until(lambda: router.ready, 'a ready router')


@given('a router that starts again with the same settings')
def step_again(context: Context) -> None:
    """Start a router whose settings are still those of the first start."""
    bench = direct_bench(context)
    assert bench.first_start
    router = bench.start_router('router-again')
    bench.until(lambda: router.ready, 'a ready router')


@given('"{name}" has left')
def step_left(context: Context, name: str) -> None:
    """Remove the entry of an upstream."""
    bench = direct_bench(context)
    bench.on_loop(lambda: bench.store.remove('servers', name))
    for router in bench.routers:
        bench.until(lambda: name not in router.upstream_ids, 'it to leave')


@when('an engine "{name}" of software "{software}" appears')
def step_appears(context: Context, name: str, software: str) -> None:
    """Register another engine."""
    context.execute_steps(f'Given an engine "{name}" of software "{software}"')


@given('recorded versions "{versions}" of a list that is observed')
def step_observed(context: Context, versions: str) -> None:
    """Let a router read the record."""
    site = context.records_site = RecordsSite()
    site.record(versions)
    site.history.confirm(0.0)
    site.now_s += 1.0
    assert direct_bench(context).run(site.records.update())


@given('a store that fails the next {count:d} writes')
def step_failing(context: Context, count: int) -> None:
    """Let writes fail."""
    context.records_site.objects.failing = count


@when('the list is not observed for {seconds:d} s')
def step_unobserved(context: Context, seconds: int) -> None:
    """Let the list grow old, without a chance to read the record."""
    site = context.records_site
    site.now_s += seconds
    site.history.confirm(float(seconds))


@when('the list is observed again and the record has "{versions}"')
def step_observed_again(context: Context, versions: str) -> None:
    """Confirm the list and let the router read the record."""
    site = context.records_site
    site.record(versions)
    site.history.confirm(0.0)
    site.now_s += 1.0
    assert direct_bench(context).run(site.records.update())


@when('an upstream of software "{software}" is observed for {seconds:d} s')
def step_another(context: Context, software: str, seconds: int) -> None:
    """Add an upstream and let the router try once a second."""
    site = context.records_site
    site.present.append(_upstream(software))
    for _ in range(seconds):
        site.now_s += 1.0
        site.history.confirm(0.0)
        direct_bench(context).run(site.records.update())


@then('the only version of the last {seconds:d} s is {version}')
def step_only(context: Context, seconds: int, version: str) -> None:
    """Compare; "unknown" stands for none."""
    found = context.records_site.history.only_software(SERVICE, seconds)
    expected = None if version == 'unknown' else version.strip('"')
    assert found == expected, found


@then('the record has the versions "{versions}"')
def step_written(context: Context, versions: str) -> None:
    """Compare what the store has."""
    found = json.loads(context.records_site.objects.value)['versions']
    assert found == versions.split(', '), found


@given('a first start whose first {count:d} reads of records fail')
def step_first_start_reads(context: Context, count: int) -> None:
    """Create the records of a router with the settings of a first start."""
    context.records_site = RecordsSite(first_start=True)
    context.records_site.objects.failing_reads = count


@when('records are updated with a list of age {ages}')
def step_update(context: Context, ages: str) -> None:
    """Update once for each age, in seconds, a second apart."""
    site = context.records_site
    for age_s in ages.split(', '):
        site.now_s += 1.0
        site.age_s = float(age_s)
        asyncio.run(site.records.update())


@then('the versions of all time are {known}')
def step_all_time(context: Context, known: str) -> None:
    """Check what the router takes for observed."""
    observed_s = context.records_site.history.observed_s
    assert isinf(observed_s) is (known == 'known'), observed_s
