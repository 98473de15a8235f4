"""Check that routers find what other routers recorded of streams."""

import asyncio
from dataclasses import dataclass
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct.origins import stream_key
from lacewing_daemon.direct.origins import StreamOrigin
from lacewing_daemon.direct.origins import UnknownOrigin
from lacewing_daemon.direct.origins._directory import RECORD_TIMEOUT_S
from lacewing_daemon.direct.origins._records import OriginRecords
from support.origin_fleet import OriginFleet

SEED = 7
LIFE_S = 15.0


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
        origin = StreamOrigin('models', software)
        fleet.routers[relay].record(key, origin, LIFE_S)
        recorded.append(Recorded(key, relay, software))
    await asyncio.sleep(2.5 * RECORD_TIMEOUT_S if dark else 0.05)
    fleet.killed = set(random.sample(live, killed))
    left = [each for each in live if each not in fleet.killed]
    found = []
    for stream in recorded:
        others = [each for each in left if each != stream.relay]
        asked = fleet.routers[random.choice(others)]
        found.append((stream, await asked.find(stream.key)))
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
