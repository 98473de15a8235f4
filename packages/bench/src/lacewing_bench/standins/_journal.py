"""Publish cache events with sequence numbers, late and with gaps."""

import asyncio
from collections import deque
from enum import Enum
from typing import Protocol

import msgspec

from lacewing_bench.standins._blocks import to_hex

_KEPT_EVENTS = 20_000


class EventKind(Enum):
    """Tell what happened to blocks."""

    STORED = 'stored'
    EVICTED = 'evicted'
    CLEARED = 'cleared'


class CacheEvent(msgspec.Struct, frozen=True):
    """Hold one event as engines publish it; blocks in hex."""

    epoch: str
    sequence: int
    kind: EventKind
    blocks: tuple[str, ...]


class _Kept(msgspec.Struct, frozen=True):
    visible_at: float
    sequence: int
    rendered: bytes


class EventFaults(Protocol):
    """Decide what becomes of an event."""

    def take_event_loss(self) -> bool:
        """Decide whether the present event is lost."""

    def event_delay_s(self) -> float:
        """Return the seconds by which the present event is late."""


class Journal:
    """Keep the latest cache events of one epoch."""

    def __init__(self, epoch: str, faults: EventFaults) -> None:
        self._epoch = epoch
        self._faults = faults
        self._sequence = 0
        self._kept: deque[_Kept] = deque(maxlen=_KEPT_EVENTS)
        self._changed = asyncio.Event()
        self._closed = False

    @property
    def epoch(self) -> str:
        """Return the epoch of all events."""
        return self._epoch

    @property
    def sequence(self) -> int:
        """Return the latest event's number."""
        return self._sequence

    @property
    def closed(self) -> bool:
        """Tell whether no more events will come."""
        return self._closed

    def publish(self, kind: EventKind, blocks: tuple[bytes, ...]) -> None:
        """Number and keep an event, unless a fault loses it."""
        self._sequence += 1
        if self._faults.take_event_loss():
            return
        event = CacheEvent(self._epoch, self._sequence, kind, to_hex(blocks))
        rendered = b'id: %d\ndata: %b\n\n' % (
            self._sequence,
            msgspec.json.encode(event),
        )
        delay_s = self._faults.event_delay_s()
        visible_at = asyncio.get_running_loop().time() + delay_s
        self._kept.append(_Kept(visible_at, self._sequence, rendered))
        self._changed.set()

    def wake(self) -> None:
        """Wake the readers."""
        self._changed.set()

    def close(self) -> None:
        """Wake the readers for the last time."""
        self._closed = True
        self.wake()

    def after(self, sequence: int) -> tuple[_Kept, ...]:
        """Return the visible events after a number, oldest first."""
        now = asyncio.get_running_loop().time()
        shown: list[_Kept] = []
        for kept in self._newer(sequence):
            if kept.visible_at > now:
                break
            shown.append(kept)
        return tuple(shown)

    async def wait(self, sequence: int) -> None:
        """Wait until an event after a number may be visible."""
        newer = self._newer(sequence)
        if newer:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(newer[0].visible_at - now, 0.0))
            return
        self._changed.clear()
        await self._changed.wait()

    def _newer(self, sequence: int) -> list[_Kept]:
        found: list[_Kept] = []
        for kept in reversed(self._kept):
            if kept.sequence <= sequence:
                break
            found.append(kept)
        found.reverse()
        return found
