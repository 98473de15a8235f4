"""Agree, without a message, on the few that read from the platform."""

from enum import Enum

import xxhash
from lacewing_common.settings import PeerSettings

from lacewing_daemon.peers._running_clock import RunningClock
from lacewing_daemon.peers._table import MemberTable

# So many periods without a word from any peer, and what a process thinks
# of the others says more about its own network than about them.
_ISOLATED_AFTER = 10.0


class Duty(Enum):
    """Tell how a process reads from the platform."""

    READ = 'read'
    LISTEN = 'listen'
    ALONE = 'alone'


class Election:
    """Rank the living members of a region by a hash of their names.

    Every process watching the platform for itself would take 1,220 of its
    2,000 reads a second. Views that differ for moments give a few readers
    more or fewer, which is harmless.
    """

    def __init__(
        self, settings: PeerSettings, table: MemberTable, clock: RunningClock
    ) -> None:
        self._settings = settings
        self._table = table
        self._clock = clock
        self._began_s = clock.now_s

    @property
    def known(self) -> int:
        """Return the number of processes known, dead ones among them."""
        return len(self._table.all())

    def duty(self, heard_at_s: float) -> Duty:
        """Return the duty of this process.

        ``heard_at_s`` is the running-clock time of the last message from a
        peer.
        """
        if self.known == 1:
            return Duty.READ
        silent_s = self._clock.now_s - max(heard_at_s, self._began_s)
        if silent_s > _ISOLATED_AFTER * self._settings.exchange_s:
            return Duty.ALONE
        if self._rank() < self._settings.readers:
            return Duty.READ
        return Duty.LISTEN

    def _rank(self) -> int:
        me = self._table.me
        mine = _weight(me.process_id)
        rank = 0
        for record in self._table.others():
            if record.region != me.region or record.leaving:
                continue
            if _weight(record.process_id) < mine:
                rank += 1
        return rank


def _weight(process_id: str) -> int:
    return xxhash.xxh3_64_intdigest(process_id.encode())
