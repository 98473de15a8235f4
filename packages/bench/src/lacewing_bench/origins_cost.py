"""Compare ways by which routers learn at which version a stream began.

Run ``python -m lacewing_bench.origins_cost``. Bytes, processor time and memory
of one record are measured on real connections over loopback. Delays and
losses are computed for routers that are killed while streams are open.
"""

import asyncio
import gc
import time
import tracemalloc
from dataclasses import dataclass
from random import Random

import fire
from grpclib.protocol import H2Protocol
from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct.origins import stream_key
from lacewing_daemon.direct.origins import StreamOrigin
from lacewing_daemon.direct.origins import StreamOrigins
from lacewing_daemon.direct.origins._directory import CANDIDATES
from lacewing_daemon.direct.origins._directory import SentOrigin
from lacewing_daemon.direct.origins._records import OriginRecords
from lacewing_daemon.direct.origins._service import OriginService
from lacewing_daemon.rendezvous import rank_workers
from lacewing_platform_testing import free_ports
from tabulate import tabulate

SIZES = (1, 4, 30, 330)
SEED = 45
STREAMS_PER_S = 23.0
LIFE_S = 15.0
MEAN_STREAM_S = 0.6
MIN_ONE_WAY_MS = 0.9
MAX_ONE_WAY_MS = 3.0
LOST_STREAMS = 2000
_CALLS = 400
_RECORDS = 5000
_ORIGIN = StreamOrigin('tutor-llm', 'v1.1')
_MS = 1000.0
_HEADERS = (
    'way',
    'routers',
    'KB/s sent',
    '% of a core',
    'first event later, ms',
    'KB held',
    'known, one killed',
    'known, half killed',
)


@dataclass(frozen=True)
class Way:
    """Hold a way; ``keepers`` is None for all other routers.

    ``awaited``: the first event leaves once the keepers have the record.
    ``asked``: routers that are asked for a stream, None for all others.
    """

    name: str
    keepers: int | None
    awaited: bool
    asked: int | None


WAYS = (
    Way('all others before the first event', None, True, 0),
    Way('two keepers, before the first event', 2, True, CANDIDATES),
    Way('two keepers, beside the first event', 2, False, CANDIDATES),
    Way('one keeper, beside the first event', 1, False, CANDIDATES),
    Way('asked on demand', 0, False, None),
)


@dataclass(frozen=True)
class CallCost:
    """Hold the cost of recording one stream at one other router."""

    wire_bytes: float
    cpu_ms: float
    held_bytes: float


class _ByteCounter:
    """Count the bytes that HTTP/2 connections receive."""

    received = 0


def _count_bytes() -> None:
    original = H2Protocol.data_received

    def data_received(self: H2Protocol, data: bytes) -> None:
        _ByteCounter.received += len(data)
        original(self, data)

    setattr(H2Protocol, 'data_received', data_received)


async def _no_versions(_service: str) -> frozenset[Software]:
    return frozenset()


async def _measure_call() -> CallCost:
    """Record streams one by one at another router."""
    addresses = [f'127.0.0.1:{free_ports()}' for _ in range(2)]
    links = [PeerLink(address) for address in addresses]
    services = []
    for link in links:
        origins = StreamOrigins(lambda: (), lambda _service: (), _no_versions)
        service = OriginService(link, origins)
        link.add_service(service)
        services.append(service)
    tasks = [asyncio.create_task(link.run()) for link in links]
    await asyncio.sleep(0.2)
    for number in range(_CALLS + 1):
        if number == 1:
            # The first call opens the connection.
            _ByteCounter.received = 0
            start_s = time.process_time()
        sent = SentOrigin(stream_key('north', str(number)), _ORIGIN, LIFE_S)
        assert await services[0].record(addresses[1], (sent,), 1.0)
    cpu_ms = (time.process_time() - start_s) * _MS / _CALLS
    wire_bytes = _ByteCounter.received / _CALLS
    for task, link in zip(tasks, links, strict=True):
        task.cancel()
        link.close()
    return CallCost(wire_bytes, cpu_ms, _measure_memory())


def _measure_memory() -> float:
    keys = [stream_key('north', str(number)) for number in range(_RECORDS)]
    gc.collect()
    tracemalloc.start()
    records = OriginRecords()
    for key in keys:
        records.add(bytes(bytearray(key)), _ORIGIN, LIFE_S, 0.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(records)


def _one_way_s(random: Random) -> float:
    return random.uniform(MIN_ONE_WAY_MS, MAX_ONE_WAY_MS) / _MS


def first_event_delay_ms(way: Way, routers: int, random: Random) -> float:
    """Return by how much a first event is later on average."""
    keepers = _keeper_count(way, routers)
    if not way.awaited or not keepers:
        return 0.0
    total_s = 0.0
    for _ in range(LOST_STREAMS):
        total_s += max(
            _one_way_s(random) + _one_way_s(random) for _ in range(keepers)
        )
    return total_s * _MS / LOST_STREAMS


def known_share(
    way: Way, routers: int, killed: int, random: Random
) -> float | None:
    """Return the share of begun streams that survivors know after a kill.

    Streams are open for an exponential time, and those of killed routers are
    taken up at the others.
    """
    left = routers - killed
    if left < 1:
        return None
    names = tuple(
        f'10.0.{each // 250}.{each % 250}' for each in range(routers)
    )
    known = 0
    begun = 0
    for number in range(LOST_STREAMS):
        dead = frozenset(random.sample(names, killed))
        relay = random.choice(tuple(dead))
        asker = random.choice([each for each in names if each not in dead])
        age_s = random.expovariate(1 / MEAN_STREAM_S)
        key = stream_key('north', str(number))
        others = tuple(each for each in names if each != relay)
        keepers = _ranked(key, others, _keeper_count(way, routers))
        arrivals = {each: _one_way_s(random) for each in keepers}
        if way.awaited and keepers:
            if age_s < 2 * max(arrivals.values()):
                # The caller has no event yet.
                continue
        begun += 1
        peers = tuple(each for each in names if each != asker)
        asked = len(peers) if way.asked is None else way.asked
        reached = {asker, *_ranked(key, peers, asked)} - dead
        for keeper, arrival_s in arrivals.items():
            if keeper in reached and arrival_s <= age_s:
                known += 1
                break
    return known / begun


def _ranked(key: bytes, names: tuple[str, ...], count: int) -> tuple[str, ...]:
    if count >= len(names):
        return names
    return rank_workers(key[:8], names, count) if count else ()


def _keeper_count(way: Way, routers: int) -> int:
    others = routers - 1
    return others if way.keepers is None else min(way.keepers, others)


def _row(way: Way, routers: int, cost: CallCost) -> tuple[object, ...]:
    random = Random(SEED)
    keepers = _keeper_count(way, routers)
    records_s = STREAMS_PER_S * keepers
    held = STREAMS_PER_S * LIFE_S * (keepers + 1)
    one = None if routers == 1 else known_share(way, routers, 1, random)
    half = None
    if routers > 2:
        half = known_share(way, routers, routers // 2, random)
    return (
        way.name,
        routers,
        round(records_s * cost.wire_bytes / 1000, 1),
        round(records_s * cost.cpu_ms / _MS * 100, 2),
        round(first_event_delay_ms(way, routers, random), 1),
        round(held * cost.held_bytes / 1000),
        '-' if one is None else round(one, 3),
        '-' if half is None else round(half, 3),
    )


def main() -> None:
    """Print a table of all ways and sizes."""
    _count_bytes()
    cost = asyncio.run(_measure_call())
    print(
        f'one record at one router: {cost.wire_bytes:.0f} bytes both ways,'
        f' {cost.cpu_ms:.2f} ms of processor time at both, '
        f'{cost.held_bytes:.0f} bytes held'
    )
    rows = []
    for way in WAYS:
        for routers in SIZES:
            rows.append(_row(way, routers, cost))
    print(tabulate(rows, _HEADERS))


if __name__ == '__main__':
    fire.Fire(main)
