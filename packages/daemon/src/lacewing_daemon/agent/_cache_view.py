"""Know which blocks the worker has cached, from its events."""

from collections.abc import Callable
from enum import Enum

import msgspec
from lacewing_common.prefix import HASH_BYTES


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
    blocks: tuple[str, ...] = ()


class CacheSnapshot(msgspec.Struct, frozen=True):
    """Hold all cached blocks (hex) as of an event's number."""

    epoch: str
    sequence: int
    blocks: tuple[str, ...]


class CacheView:
    """Hold the hashes of the blocks cached in one epoch.

    After a gap ``exact`` is false until the next snapshot: the view is then
    a guess, which answers correct as they come. A guess costs at most a
    recomputation, as the engine itself decides what it reuses.
    """

    def __init__(self, on_change: Callable[[bytes, bool], None]) -> None:
        self._on_change = on_change
        self._epoch = ''
        self._sequence = 0
        self._exact = False
        self._held: set[bytes] = set()

    @property
    def epoch(self) -> str:
        """Return the epoch of the blocks, '' before any is known."""
        return self._epoch

    @property
    def sequence(self) -> int:
        """Return the number of the last event taken."""
        return self._sequence

    @property
    def exact(self) -> bool:
        """Tell whether no event was missed since the last snapshot."""
        return self._exact

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, block: bytes) -> bool:
        return block in self._held

    def hit_blocks(self, blocks: bytes) -> int:
        """Count the leading blocks, joined hashes, that are cached."""
        hits = 0
        for start in range(0, len(blocks), HASH_BYTES):
            if blocks[start : start + HASH_BYTES] not in self._held:
                break
            hits += 1
        return hits

    def take(self, event: CacheEvent) -> None:
        """Apply an event; note a gap before it."""
        if event.epoch != self._epoch:
            self._begin(event.epoch, 0)
            self._exact = True
        if event.sequence <= self._sequence:
            return
        if event.sequence != self._sequence + 1:
            # An evicted block whose event was lost would count as cached
            # for ever and draw requests here; only a snapshot can tell.
            self._exact = False
        self._sequence = event.sequence
        if event.kind is EventKind.CLEARED:
            self._replace(set())
            return
        stored = event.kind is EventKind.STORED
        for name in event.blocks:
            self._set(bytes.fromhex(name), stored)

    def reset(self, snapshot: CacheSnapshot) -> None:
        """Take the whole cache as of an event's number."""
        if snapshot.epoch != self._epoch:
            self._begin(snapshot.epoch, snapshot.sequence)
        elif snapshot.sequence < self._sequence:
            # Events overtook it; another one has to be fetched.
            return
        self._sequence = snapshot.sequence
        self._exact = True
        self._replace({bytes.fromhex(name) for name in snapshot.blocks})

    def correct(self, epoch: str, blocks: bytes, hit_blocks: int) -> None:
        """Take what the engine truly reused of a prompt just now.

        The block after the last hit was missing then, but the request has
        stored it since: only what was hit is certain.
        """
        if epoch != self._epoch or self._exact:
            return
        for start in range(0, hit_blocks * HASH_BYTES, HASH_BYTES):
            self._set(blocks[start : start + HASH_BYTES], True)

    def _begin(self, epoch: str, sequence: int) -> None:
        self._replace(set())
        self._epoch = epoch
        self._sequence = sequence

    def _replace(self, held: set[bytes]) -> None:
        gone = self._held - held
        come = held - self._held
        self._held = held
        for block in gone:
            self._on_change(block, False)
        for block in come:
            self._on_change(block, True)

    def _set(self, block: bytes, stored: bool) -> None:
        if stored == (block in self._held):
            return
        if stored:
            self._held.add(block)
        else:
            self._held.discard(block)
        self._on_change(block, stored)
