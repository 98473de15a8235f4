"""Measure the cost to an agent of following an engine's cache."""

import os
import time
import tracemalloc
from dataclasses import dataclass

import msgspec
from lacewing_daemon.agent._cache_follower import EventSink
from lacewing_daemon.agent._cache_view import CacheEvent
from lacewing_daemon.agent._cache_view import CacheSnapshot
from lacewing_daemon.agent._cache_view import CacheView
from lacewing_daemon.agent._cache_view import EventKind
from lacewing_daemon.agent._transfer import AnswerStart

_MS_PER_S = 1000.0
_US_PER_S = 1_000_000


@dataclass(frozen=True)
class FollowingCost:
    """Hold the cost of a view of ``blocks`` at ``events_s`` events per second.

    ``event_us``: CPU time per event of one block; ``core_percent``: share of
    a core that the events use; ``event_bytes``: size of an event on the
    stream from the engine; ``snapshot_ms``, ``snapshot_kb``: cost of one
    resynchronisation; ``view_kb``: memory of the view.
    """

    blocks: int
    events_s: float
    event_us: float
    core_percent: float
    event_bytes: float
    snapshot_ms: float
    snapshot_kb: float
    view_kb: float


def measure_following(blocks: int, events_s: float) -> FollowingCost:
    """Fill a view, then replace each of its blocks once."""
    initial_blocks = tuple(os.urandom(8).hex() for _ in range(blocks))
    new_blocks = tuple(os.urandom(8).hex() for _ in range(blocks))
    snapshot = msgspec.json.encode(CacheSnapshot('e1', 0, initial_blocks))
    started_s = time.process_time()
    view = _view_of(snapshot)
    snapshot_s = time.process_time() - started_s
    tracemalloc.start()
    traced_view = _view_of(snapshot)
    view_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(traced_view) == blocks
    stream = _events(initial_blocks, new_blocks)
    sink = EventSink(view.take)
    sink.head(AnswerStart(200, 'text/event-stream', '', ''))
    started_s = time.process_time()
    for text in stream:
        sink.body(text)
    cpu_s = time.process_time() - started_s
    event_us = cpu_s / len(stream) * _US_PER_S
    return FollowingCost(
        blocks=blocks,
        events_s=events_s,
        event_us=event_us,
        core_percent=event_us * events_s / _US_PER_S * 100,
        event_bytes=sum(len(text) for text in stream) / len(stream),
        snapshot_ms=snapshot_s * _MS_PER_S,
        snapshot_kb=len(snapshot) / 1024,
        view_kb=view_bytes / 1024,
    )


def _view_of(snapshot: bytes) -> CacheView:
    view = CacheView(lambda _block, _stored: None)
    view.reset(msgspec.json.decode(snapshot, type=CacheSnapshot))
    return view


def _events(
    evicted_blocks: tuple[str, ...], stored_blocks: tuple[str, ...]
) -> list[bytes]:
    stream: list[bytes] = []
    for evicted, stored in zip(evicted_blocks, stored_blocks, strict=True):
        for kind, name in (
            (EventKind.EVICTED, evicted),
            (EventKind.STORED, stored),
        ):
            sequence = len(stream) + 1
            event = CacheEvent('e1', sequence, kind, (name,))
            data = msgspec.json.encode(event)
            stream.append(b'id: %d\ndata: %b\n\n' % (sequence, data))
    return stream
