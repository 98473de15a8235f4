"""Encode the record of a lease, and keep who acted last under it."""

from collections.abc import Callable

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.whole_number import WholeNumber

# Written if nobody ever acted, as JSON has no infinity.
NEVER_ACTED_S = 3600.0
# Holders' lease durations differ while a deployment is being reconfigured, but
# not by more than this factor; a longer one was written by another writer.
_MAX_DURATION_FACTOR = 10.0


class LeaseRecord(msgspec.Struct, frozen=True):
    """Hold a lease's value; ``holder`` '' means released.

    ``nonce`` is unique to each write, so that a writer recognizes its own
    write if the answer was lost. ``duration_s`` is the lease duration that
    the holder observes. ``acted_ago_s``: for how long neither the holder nor
    any before it had acted when it wrote this; it will not act before its next
    write. 0: it may be acting. ``era`` is the store era of the write, 0 if the
    store gave none. ``acted_by`` names the holder that acted last, '' if that
    is unknown. It is None in records of earlier releases, in which
    ``acted_ago_s`` leaves out the holders before.
    """

    holder: str
    nonce: str
    duration_s: float
    acted_ago_s: float = 0.0
    era: WholeNumber = 0
    acted_by: str | None = None

    @property
    def may_be_acting(self) -> bool:
        """Return whether the holder may act without another write."""
        return self.holder != '' and self.acted_ago_s <= 0.0


def decode_record(value: bytes, duration_s: float) -> LeaseRecord | None:
    """Decode a lease's value; None if no holder wrote it.

    If accepted, a record that lasts for years would block the lease for
    everybody, and one that acted long ago would let two holders act.
    """
    try:
        record = msgspec.json.decode(value, type=LeaseRecord)
    except DECODE_ERRORS:
        return None
    if not 0 < record.duration_s <= duration_s * _MAX_DURATION_FACTOR:
        return None
    if not 0 <= record.acted_ago_s <= NEVER_ACTED_S:
        return None
    return record


class LastActions:
    """Keep when the own holder and any other one acted last.

    Times are those of the clock of this process. The last action is enough
    for all holders: each one waits before its first action, so whoever acted
    last was the only one for that long.
    """

    def __init__(self, holder: str, clock: Callable[[], float]) -> None:
        self._holder = holder
        self._clock = clock
        self._own_s = float('-inf')
        self._other = ''
        self._other_s = float('-inf')

    @property
    def other_ago_s(self) -> float:
        """Return the minimum time since another holder may have acted."""
        return self._clock() - self._other_s

    @property
    def last_holder(self) -> str:
        """Return who acted last, '' if that is unknown."""
        if self._own_s > self._other_s:
            return self._holder
        return self._other

    @property
    def last_ago_s(self) -> float:
        """Return the minimum time since any holder may have acted."""
        ago_s = self._clock() - max(self._own_s, self._other_s)
        return min(NEVER_ACTED_S, ago_s)

    def record(self, holder: str, acted_s: float) -> None:
        """Record that a holder may have acted until a time, at most now."""
        acted_s = min(acted_s, self._clock())
        if holder == self._holder:
            self._own_s = max(self._own_s, acted_s)
            return
        if acted_s >= self._other_s:
            self._other = holder
            self._other_s = acted_s
