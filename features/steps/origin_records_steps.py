"""Check that routers find what other routers recorded of streams."""

import asyncio
from dataclasses import dataclass
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.origins import Question
from lacewing_daemon.direct.origins import stream_key
from lacewing_daemon.direct.origins import StreamOrigin
from lacewing_daemon.direct.origins import UnknownOrigin
from lacewing_daemon.direct.origins._directory import RECORD_TIMEOUT_S
from lacewing_daemon.direct.origins._records import OriginRecords
from support.origin_fleet import OriginFleet

SEED = 7
LIFE_S = 15.0
SERVICE = 'models'
STREAM = stream_key('north', 'request-1')


@dataclass(frozen=True)
class Recorded:
    """Hold a stream, the router that relays it and its software."""

    key: bytes
    relay: str
    software: str


@given('{routers:d} routers that record {streams:d} streams')
def step_record(context: Context, routers: int, streams: int) -> None:
    """Describe the fleet; it runs in the next step's event loop."""
    context.sizes = (routers, 0, streams)


@given(
    '{routers:d} routers that record {streams:d} streams'
    ' while {dark:d} others have no power'
)
def step_record_dark(
    context: Context, routers: int, streams: int, dark: int
) -> None:
    """Describe a fleet whose list has routers without power."""
    context.sizes = (routers, dark, streams)


@when('{killed:d} of them are killed and the others look the streams up')
def step_look_up(context: Context, killed: int) -> None:
    """Record, kill and find."""
    routers, dark, streams = context.sizes
    context.found = asyncio.run(
        _record_and_find(routers, dark, streams, killed)
    )


async def _record_and_find(
    routers: int, dark: int, streams: int, killed: int
) -> list[tuple[Recorded, StreamOrigin | UnknownOrigin]]:
    random = Random(SEED)
    fleet = OriginFleet(routers + dark)
    addresses = list(fleet.routers)
    fleet.dark = set(random.sample(addresses, dark))
    live = [each for each in addresses if each not in fleet.dark]
    recorded = []
    for number in range(streams):
        relay = random.choice(live)
        key = stream_key('north', f'request-{number}')
        software = f'v{number % 3}'
        origin = StreamOrigin(SERVICE, software)
        fleet.routers[relay].record(key, origin, LIFE_S)
        recorded.append(Recorded(key, relay, software))
    await asyncio.sleep(2.5 * RECORD_TIMEOUT_S if dark else 0.05)
    fleet.killed = set(random.sample(live, killed))
    left = [each for each in live if each not in fleet.killed]
    found = []
    for stream in recorded:
        others = [each for each in left if each != stream.relay]
        asked = fleet.routers[random.choice(others)]
        question = Question(stream.key, SERVICE, LIFE_S)
        found.append((stream, await asked.find(question)))
    return found


@then('at least {share:f} of the streams that others relayed are known')
def step_share(context: Context, share: float) -> None:
    """Count the streams whose origin was found."""
    known = 0
    for _, origin in context.found:
        known += isinstance(origin, StreamOrigin)
    assert known >= share * len(context.found), (known, len(context.found))


@then('no stream has the version of another')
def step_right(context: Context) -> None:
    """Compare the versions."""
    for stream, origin in context.found:
        if isinstance(origin, StreamOrigin):
            assert origin.software == stream.software, (stream, origin)


@when(
    '{count:d} streams begin, {rate:d} a second, that last {life_s:d} s each'
)
def step_many(context: Context, count: int, rate: int, life_s: int) -> None:
    """Record streams in simulated time, with a sweep each second."""
    records = OriginRecords()
    origin = StreamOrigin('models', 'v1')
    context.most = 0
    for number in range(count):
        now_s = number / rate
        records.add(number.to_bytes(16, 'big'), origin, life_s, now_s)
        if number % rate == 0:
            records.remove_expired(now_s)
        context.most = max(context.most, len(records))
    context.records = records
    context.end_s = count / rate


@then('no router holds more than {count:d} records')
def step_bounded(context: Context, count: int) -> None:
    """Check the largest number of records."""
    assert 0 < context.most <= count, context.most


@then('none are left {seconds:d} s after the last stream')
def step_none_left(context: Context, seconds: int) -> None:
    """Check the last sweep."""
    context.records.remove_expired(context.end_s + seconds)
    assert len(context.records) == 0, len(context.records)


@given('{count:d} routers that have long known software "{software}" only')
def step_one_version(context: Context, count: int, software: str) -> None:
    """Describe what the routers of the next step have observed."""
    context.versions_known = (count, software)


def _observing_fleet(context: Context) -> OriginFleet:
    count, software = context.versions_known
    fleet = OriginFleet(count)
    for address, origins in fleet.routers.items():
        fleet.present[address] = [_engine(software)]
        origins.history.confirm(0.0)
    fleet.now_s = 100.0
    return fleet


def _engine(software: str) -> Upstream:
    return Upstream(
        'eng', SERVICE, '127.0.0.1:1', 'east', 4, False, {}, 0, software
    )


@when('router 1 relays a stream and "{software}" appears {where}')
def step_appears(context: Context, software: str, where: str) -> None:
    """Record, add a version at some routers and look the stream up."""

    async def play() -> None:
        fleet = _observing_fleet(context)
        first, second = list(fleet.routers)[:2]
        origin = StreamOrigin(SERVICE, 'v1')
        fleet.routers[first].record(STREAM, origin, LIFE_S)
        await asyncio.sleep(0)
        assert fleet.records_sent == 0, fleet.records_sent
        seen_at = [] if where == 'nowhere' else list(fleet.routers)
        if where == 'at router 2 only':
            seen_at = [second]
        for address in seen_at:
            fleet.present[address].append(_engine(software))
            fleet.routers[address].send_held_back()
        await asyncio.sleep(0.05)
        context.records_sent = fleet.records_sent
        fleet.killed = {first}
        question = Question(STREAM, SERVICE, LIFE_S)
        context.origin = await fleet.routers[second].find(question)

    asyncio.run(play())


@when('router 2 has just started and is asked for a stream {named}')
def step_just_started(context: Context, named: str) -> None:
    """Let one router have observed nothing yet."""

    async def play() -> None:
        fleet = _observing_fleet(context)
        second = list(fleet.routers)[1]
        history = fleet.routers[second].history
        history.confirm(60.0)
        history.confirm(0.0)
        key = None if named == 'without a name' else STREAM
        question = Question(key, SERVICE, LIFE_S)
        context.origin = await fleet.routers[second].find(question)

    asyncio.run(play())


@then('the stream is known to have begun at "{software}"')
def step_begun_at(context: Context, software: str) -> None:
    """Check the origin."""
    assert context.origin == StreamOrigin(SERVICE, software), context.origin


@then('nothing is known of the stream')
def step_not_known(context: Context) -> None:
    """Check that no origin was found."""
    assert isinstance(context.origin, UnknownOrigin), context.origin


@then('its record was sent to {count:d} routers')
def step_sent(context: Context, count: int) -> None:
    """Check the records that keepers got."""
    assert context.records_sent == count, context.records_sent
