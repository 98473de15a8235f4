"""Cache prompt blocks in limited memory, least recently used out first."""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from lacewing_bench.standins._journal import EventKind


class EventSink(Protocol):
    """Take cache events."""

    def publish(self, kind: EventKind, blocks: tuple[bytes, ...]) -> None:
        """Publish one event."""


@dataclass
class Lease:
    """Pin the leading blocks of a running request's prompt.

    ``held`` counts the leading blocks that are cached and pinned;
    ``generation`` tells leases from before a clearing.
    """

    blocks: tuple[bytes, ...]
    generation: int
    held: int = 0


@dataclass
class _Batch:
    """Gather the blocks of consecutive events of one kind."""

    kind: EventKind
    blocks: list[bytes] = field(default_factory=list)


class BlockCache:
    """Hold at most ``capacity`` blocks.

    Blocks are named by salted hashes, so that entries of other teams and
    weights versions never match. Changes are published by ``flush``.
    """

    def __init__(self, capacity: int, events: EventSink) -> None:
        self.capacity = capacity
        self._events = events
        self._unpinned: OrderedDict[bytes, None] = OrderedDict()
        self._pins: dict[bytes, int] = {}
        self._promised = 0
        self._generation = 0
        self._batches: list[_Batch] = []

    def __len__(self) -> int:
        return len(self._unpinned) + len(self._pins)

    def hit_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Count the leading blocks that are cached."""
        hits = 0
        for block in blocks:
            if block not in self._pins and block not in self._unpinned:
                break
            hits += 1
        return hits

    def has_room(self, blocks: tuple[bytes, ...]) -> bool:
        """Tell whether a request's blocks fit beside those pinned."""
        missing = len(blocks) - self.hit_blocks(blocks)
        newly_pinned = missing
        for block in blocks[: len(blocks) - missing]:
            if block in self._unpinned:
                newly_pinned += 1
        used = len(self._pins) + self._promised
        return used + newly_pinned <= self.capacity

    def held(self) -> tuple[bytes, ...]:
        """Return all cached blocks."""
        return (*self._unpinned, *self._pins)

    def lease(self, blocks: tuple[bytes, ...]) -> Lease:
        """Pin the cached leading blocks; promise room for the others."""
        lease = Lease(blocks, self._generation)
        hits = self.hit_blocks(blocks)
        for block in blocks[:hits]:
            self._pin(block)
        lease.held = hits
        self._promised += len(blocks) - hits
        return lease

    def extend(self, lease: Lease, held: int) -> None:
        """Store a lease's blocks, as computed, up to a count."""
        if lease.generation != self._generation:
            return
        for block in lease.blocks[lease.held : held]:
            known = block in self._pins or block in self._unpinned
            if not known and not self._make_room():
                return
            self._pin(block)
            lease.held += 1
            self._promised -= 1
            if not known:
                self._note(EventKind.STORED, block)

    def release(self, lease: Lease) -> None:
        """Unpin a lease's blocks, its last block the first to go."""
        if lease.generation != self._generation:
            return
        self._promised -= len(lease.blocks) - lease.held
        for block in reversed(lease.blocks[: lease.held]):
            self._unpin(block)

    def insert(self, blocks: tuple[bytes, ...]) -> int:
        """Store imported blocks; return how many leading ones are held."""
        lease = self.lease(blocks)
        self.extend(lease, len(blocks))
        self.release(lease)
        return lease.held

    def clear(self) -> None:
        """Drop all blocks, pinned ones too."""
        self._generation += 1
        self._promised = 0
        self._unpinned.clear()
        self._pins.clear()
        self._batches.append(_Batch(EventKind.CLEARED))

    def flush(self) -> None:
        """Publish the changes since the last time."""
        batches, self._batches = self._batches, []
        for batch in batches:
            self._events.publish(batch.kind, tuple(batch.blocks))

    def _pin(self, block: bytes) -> None:
        self._unpinned.pop(block, None)
        self._pins[block] = self._pins.get(block, 0) + 1

    def _unpin(self, block: bytes) -> None:
        pins = self._pins[block] - 1
        if pins > 0:
            self._pins[block] = pins
            return
        del self._pins[block]
        self._unpinned[block] = None

    def _make_room(self) -> bool:
        if len(self) < self.capacity:
            return True
        if not self._unpinned:
            return False
        oldest, _ = self._unpinned.popitem(last=False)
        self._note(EventKind.EVICTED, oldest)
        return True

    def _note(self, kind: EventKind, block: bytes) -> None:
        if not self._batches or self._batches[-1].kind is not kind:
            self._batches.append(_Batch(kind))
        self._batches[-1].blocks.append(block)
