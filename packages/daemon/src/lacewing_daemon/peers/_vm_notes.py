"""Hold VM states from the platform's list, shared between peers."""

import time
from collections.abc import Callable
from collections.abc import Iterable

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.wire_peers import VmNote

# Limited because the address may be reused after its VM is removed.
_RETENTION_S = 600.0

_log = get_log(Part.MEMBERS)


class VmNotes:
    """Hold the latest note on each address that is or was leaving."""

    def __init__(self) -> None:
        self._notes: dict[str, VmNote] = {}
        self._callbacks: list[Callable[[VmNote], None]] = []

    def all(self) -> tuple[VmNote, ...]:
        """Return all notes."""
        return tuple(self._notes.values())

    def get(self, address: str) -> VmNote | None:
        """Return the note on an address, if any."""
        return self._notes.get(address)

    def is_leaving(self, address: str) -> bool:
        """Return whether the VM is leaving according to the list."""
        note = self._notes.get(address)
        return note is not None and note.leaving

    def on_change(self, callback: Callable[[VmNote], None]) -> None:
        """Register a callback for changed notes."""
        self._callbacks.append(callback)

    def merge_all(self, notes: Iterable[VmNote]) -> None:
        """Merge notes that a peer sent."""
        for note in notes:
            self.merge(note)

    def merge(self, note: VmNote) -> bool:
        """Store a note if it is more recent; return whether it was."""
        current = self._notes.get(note.address)
        if current is not None and current.seen_ms >= note.seen_ms:
            return False
        if note.seen_ms < _oldest_ms():
            return False
        self._notes[note.address] = note
        _log.info('VM noted.', address=note.address, leaving=note.leaving)
        for callback in self._callbacks:
            callback(note)
        return True

    def observe(self, address: str, leaving: bool) -> bool:
        """Record a state that this process has just read in the list."""
        return self.merge(VmNote(address, leaving, _now_ms()))

    def forget_old(self) -> None:
        """Remove the notes older than ``_RETENTION_S``."""
        oldest_ms = _oldest_ms()
        for note in self.all():
            if note.seen_ms < oldest_ms:
                del self._notes[note.address]


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _oldest_ms() -> int:
    return _now_ms() - int(_RETENTION_S * 1000)
