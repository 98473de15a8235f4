"""Measure what the exchange costs a router."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

import msgspec
from grpclib.protocol import H2Protocol
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._contention import Contention
from lacewing_daemon.direct._open_request import OpenRequest
from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._settings import Bounds
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.exchange import PeerLoads
from lacewing_daemon.direct.exchange._interval import interval_s
from lacewing_daemon.direct.exchange._load_entries import engine_key
from lacewing_daemon.direct.exchange._load_entries import EngineLoad
from lacewing_daemon.direct.exchange._load_exchange import LoadExchange
from lacewing_daemon.direct.exchange._load_section import LoadSection
from lacewing_daemon.direct.exchange._messages import ExchangeMessage
from lacewing_daemon.direct.exchange._service import connect_exchange
from lacewing_platform_testing import free_ports
from prometheus_client import REGISTRY

_BOUNDS = Bounds(
    drain_s=1.0,
    revoke_s=1.0,
    lease_s=1.0,
    weights_s=1.0,
    repeat_ratio=0.1,
    repeat_slack=1.0,
    repeat_window_s=1.0,
)
_MS = 1000.0
# A request of screening, roughly: tokens to prefill, seconds until its first
# event and from there to its end, tokens that it adds to the KV memory.
_PREFILL_TOKENS = 1500.0
_WAIT_S = 0.15
_RUN_S = 0.35
_KV_TOKENS = 1600


@dataclass(frozen=True)
class Shape:
    """Hold the size of a deployment; ``sends_per_s`` of one router."""

    routers: int
    engines: int
    sends_per_s: float


@dataclass(frozen=True)
class Messages:
    """Hold what one router sends: sizes, interval and time to collect."""

    mean_bytes: float
    full_bytes: float
    interval_s: float
    collect_ms: float
    apply_ms: float


_Due = tuple[float, int, tuple[UpstreamState, OpenRequest]]


def _addresses(count: int) -> tuple[str, ...]:
    return tuple(f'10.0.{n // 250}.{n % 250}:7400' for n in range(count))


class Deployment:
    """Simulate the requests of one router, with its real section."""

    def __init__(self, shape: Shape) -> None:
        self._shape = shape
        self._random = Random(3)
        self._now_s = 1000.0
        self._due: list[_Due] = []
        addresses = _addresses(shape.routers)
        self.cluster_state = ClusterState(
            _BOUNDS, LoadPolicy(), contention=Contention.ON
        )
        for number in range(shape.engines):
            name = f'i-{number:010x}'
            upstream = Upstream(
                name, 'm', '10.0.0.1:80', 'z', 48, False, {}, 1_700_000_000_000
            )
            self.cluster_state.update_upstream(name, upstream)
        self._states = list(self.cluster_state.upstreams.values())
        self.section = LoadSection(
            addresses[0], self.cluster_state, lambda: addresses[1:]
        )
        self.exchange = LoadExchange(
            addresses[0],
            lambda: True,
            lambda: addresses[1:],
            self._random,
            clock=lambda: self._now_s,
        )
        self.exchange.add_section(self.section)

    def messages(self, seconds: float) -> Iterable[tuple[float, bytes]]:
        """Return messages and the time since the one before."""
        peers = self._shape.routers - 1
        mean_bytes = 100.0
        waited_s = 0.0
        end_s = self._now_s + seconds
        while self._now_s < end_s:
            step_s = interval_s(peers, mean_bytes)
            waited_s += step_s
            self._advance(step_s)
            message = self.exchange.collect(self._now_s)
            if message is not None:
                data = bytes(message)
                mean_bytes += 0.1 * (len(data) - mean_bytes)
                yield waited_s, data
                waited_s = 0.0

    def _advance(self, step_s: float) -> None:
        end_s = self._now_s + step_s
        at_s = self._now_s
        while True:
            at_s += self._random.expovariate(self._shape.sends_per_s)
            if at_s > end_s:
                break
            state = self._random.choice(self._states)
            tokens = _PREFILL_TOKENS * self._random.expovariate(1.0)
            request = state.open_request(1.0, 4, at_s, tokens, _KV_TOKENS)
            first_s = at_s + _WAIT_S * self._random.expovariate(1.0)
            self._due.append((first_s, 0, (state, request)))
            self._due.append((first_s + _RUN_S, 1, (state, request)))
        kept = []
        for due_s, kind, (state, request) in sorted(
            self._due, key=lambda one: one[:2]
        ):
            if due_s > end_s:
                kept.append((due_s, kind, (state, request)))
            elif kind == 0:
                state.mark_started(request)
                state.data_received(due_s)
            else:
                state.close_request(request)
        self._due = kept
        self._now_s = end_s


def measure_messages(shape: Shape, seconds: float = 30.0) -> Messages:
    """Measure the messages of one router, sent and applied at another."""
    sender = Deployment(shape)
    receiver = Deployment(shape)
    sizes = []
    intervals = []
    start_s = time.process_time()
    messages = []
    for waited_s, data in sender.messages(seconds):
        sizes.append(len(data))
        intervals.append(waited_s)
        messages.append(data)
    collect_ms = (time.process_time() - start_s) * _MS / len(messages)
    start_s = time.process_time()
    for number, data in enumerate(messages):
        message = msgspec.msgpack.decode(data, type=ExchangeMessage)
        load = message.sections.get('load')
        if load is not None:
            receiver.section.apply('x', bytes(load), 1000.0 + number / 4)
    apply_ms = (time.process_time() - start_s) * _MS / len(messages)
    return Messages(
        sum(sizes) / len(sizes),
        max(sizes),
        sum(intervals) / len(intervals),
        collect_ms,
        apply_ms,
    )


@dataclass(frozen=True)
class TransportCost:
    """Hold the cost of one message between two routers, both sides."""

    cpu_ms: float
    wire_bytes: float


class _ByteCounter:
    """Count the bytes that HTTP/2 connections receive."""

    received = 0


def _count_bytes() -> None:
    original = H2Protocol.data_received

    def data_received(self: H2Protocol, data: bytes) -> None:
        _ByteCounter.received += len(data)
        original(self, data)

    setattr(H2Protocol, 'data_received', data_received)


class _FixedSection:
    """Tell a fixed number of bytes."""

    def __init__(self, size: int) -> None:
        self._data = b'x' * size

    @property
    def name(self) -> str:
        """Return the name in messages."""
        return 'load'

    def collect(self, _now_s: float, _full: bool) -> object | None:
        """Return the bytes."""
        return self._data

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Ignore the bytes."""

    def forget(self, sender: str) -> None:
        """Ignore a sender."""


async def _measure_mesh(routers: int, size: int) -> TransportCost:
    addresses = [f'127.0.0.1:{free_ports()}' for _ in range(routers)]
    tasks = []
    links = []
    exchanges = []
    for address in addresses:
        others = tuple(set(addresses) - {address})
        exchange = LoadExchange(
            address, _always, partial(tuple, others), Random(1)
        )
        exchange.add_section(_FixedSection(size))
        link = PeerLink(address)
        carrier = connect_exchange(link, exchange)
        tasks.append(asyncio.create_task(link.run()))
        links.append(link)
        exchanges.append((exchange, carrier))
    await asyncio.sleep(0.5)
    for exchange, carrier in exchanges:
        tasks.append(asyncio.create_task(exchange.run(carrier)))
    await asyncio.sleep(2.0)
    _ByteCounter.received = 0
    received = _received_count()
    start_s = time.process_time()
    await asyncio.sleep(_MESH_SECONDS)
    cpu_ms = (time.process_time() - start_s) * _MS
    count = _received_count() - received
    wire_bytes = _ByteCounter.received / count
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    for link in links:
        link.close()
    return TransportCost(cpu_ms / count, wire_bytes)


def _received_count() -> float:
    labels = {'result': 'received'}
    name = 'lacewing_direct_exchange_messages_total'
    return REGISTRY.get_sample_value(name, labels) or 0.0


def _always() -> bool:
    return True


def measure_memory(peers: int, engines: int) -> float:
    """Return the KB that loads of peers take, told of all engines."""
    keys = [engine_key(f'i-{number:010x}/1') for number in range(engines)]
    load = EngineLoad({4: 1500.0}, {4: 1500.0}, 1, 1, 1600, 1.0)
    gc.collect()
    tracemalloc.start()
    loads = PeerLoads('own', lambda: peers, lambda _key: 110.0)
    for number in range(peers):
        sender = f'10.0.0.{number}:7400'
        loads.heard(sender, 1.0)
        for key in keys:
            loads.apply(sender, key, load, 1.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1000


def measure_transport(size: int, routers: int = 9) -> TransportCost:
    """Measure messages of a size between routers, on loopback."""
    return asyncio.run(_measure_mesh(routers, size))


_MESH_SECONDS = 6.0
_count_bytes()
