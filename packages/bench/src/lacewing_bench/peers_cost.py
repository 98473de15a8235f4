"""Measure the cost of peer exchanges by the size of the member table.

Run ``python -m lacewing_bench.peers_cost``. Two peers exchange over loopback.
Their tables also contain members without an address, which are never called,
so that only the table size varies.
"""

import asyncio
import gc
import time
import tracemalloc
from dataclasses import dataclass
from random import Random
from typing import Any

import fire
from grpclib.protocol import H2Protocol
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.settings import PeerSettings
from lacewing_common.settings import Settings
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord
from lacewing_daemon._peers_server import PeersServer
from lacewing_daemon.peers import PeerNode
from lacewing_daemon.peers._metrics import EXCHANGES
from tabulate import tabulate

# The costs are per exchange, so this interval does not affect them as long
# as the event loop is not saturated.
_PEER_SETTINGS = PeerSettings(exchange_s=0.02, probe_s=2.0, suspect_s=60.0)
_WARM_S = 2.0
_MEASURE_S = 4.0
_ZONES = 8
_HEADERS = (
    'members',
    'ms CPU/exchange',
    'bytes/exchange',
    'cold join ms CPU',
    'bytes/member',
)


@dataclass(frozen=True)
class Cost:
    """Hold the cost of one exchange, summed over both peers."""

    cpu_ms: float
    wire_bytes: float


class _ByteCounter:
    """Count the bytes that HTTP/2 connections receive."""

    received = 0

    @classmethod
    def install(cls) -> None:
        data_received = H2Protocol.data_received

        def counting(self: Any, data: bytes) -> None:
            cls.received += len(data)
            data_received(self, data)

        setattr(H2Protocol, 'data_received', counting)


class _Peer:
    def __init__(self, name: str, contacts: list[str]) -> None:
        settings = Settings(
            role=Role.ROUTER,
            process_id=name,
            place=Place('region-0', 'zone-0'),
            peers=_PEER_SETTINGS,
        )
        self.node = PeerNode(
            ProcessName(name, new_incarnation()),
            settings,
            {},
            lambda: tuple(contacts),
            Random(1),
        )
        self._server = PeersServer(settings, [self.node.service])

    @property
    def address(self) -> str:
        return self._server.address

    async def listen(self) -> None:
        await self._server.start()

    async def close(self) -> None:
        await self.node.close()
        self._server.stop()
        await self._server.wait_closed()


def fake_members(number: int) -> list[MemberRecord]:
    """Return members without an address, which are never called."""
    records: list[MemberRecord] = []
    for index in range(number):
        zone = index % _ZONES
        records.append(
            MemberRecord(
                f'agent-service-{index}',
                new_incarnation(),
                0,
                Liveness.ALIVE,
                False,
                Role.AGENT,
                f'region-{zone // 4}',
                f'zone-{zone}',
                f'service-{index % 6}',
                '',
            )
        )
    return records


async def _exchange_cost(members: int) -> Cost:
    contacts: list[str] = []
    first = _Peer('first', contacts)
    second = _Peer('second', contacts)
    table_members = fake_members(members - 2)
    for peer in (first, second):
        peer.node.table.merge_all(table_members)
        await peer.listen()
        contacts.append(peer.address)
    await second.node.discover()
    for peer in (first, second):
        peer.node.start(peer.address)
    await asyncio.sleep(_WARM_S)
    await _wait_for_updates(first, second)
    before_calls = _answered_exchanges()
    before_bytes = _ByteCounter.received
    before_s = time.process_time()
    await asyncio.sleep(_MEASURE_S)
    cpu_s = time.process_time() - before_s
    calls = _answered_exchanges() - before_calls
    size = _ByteCounter.received - before_bytes
    await first.close()
    await second.close()
    return Cost(cpu_s / calls * 1000, size / calls)


async def _wait_for_updates(first: _Peer, second: _Peer) -> None:
    """Wait until both peers have sent the updates about their start."""
    while first.node.pending_updates or second.node.pending_updates:
        await asyncio.sleep(0.1)


def _answered_exchanges() -> float:
    return float(EXCHANGES.labels('answered')._value.get())


async def _cold_join_ms(members: int) -> float:
    contacts: list[str] = []
    full = _Peer('full', contacts)
    full.node.table.merge_all(fake_members(members - 2))
    await full.listen()
    contacts.append(full.address)
    cold = _Peer('cold', contacts)
    before_s = time.process_time()
    await cold.node.discover()
    cpu_s = time.process_time() - before_s
    assert cold.node.counts.alive >= members - 1, cold.node.counts
    await cold.node.close()
    await full.close()
    return cpu_s * 1000


async def _bytes_per_member(members: int) -> float:
    peer = _Peer('one', [])
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    peer.node.table.merge_all(fake_members(members))
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / members


def main(members: str = '20,150,600,1220') -> None:
    """Measure tables of several sizes.

    Args:
        members: the table sizes, separated by commas.
    """
    _ByteCounter.install()
    sizes = members if isinstance(members, tuple) else str(members).split(',')
    rows: list[list[str]] = []
    for size in sizes:
        number = int(size)
        cost = asyncio.run(_exchange_cost(number))
        join_ms = asyncio.run(_cold_join_ms(number))
        memory = asyncio.run(_bytes_per_member(number))
        rows.append(
            [
                str(number),
                f'{cost.cpu_ms:.2f}',
                f'{cost.wire_bytes:.0f}',
                f'{join_ms:.0f}',
                f'{memory:.0f}',
            ]
        )
    print(tabulate(rows, _HEADERS))


if __name__ == '__main__':
    fire.Fire(main)
