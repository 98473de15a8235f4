"""Agree, without a message, on the few that read from the platform."""

from enum import Enum

import xxhash
from lacewing_common.settings import PeerSettings

from lacewing_daemon.peers._running_clock import RunningClock
from lacewing_daemon.peers._table import MemberTable

# So many periods without a word from any peer, and what a process thinks
# of the others says more about its own network than about them.
_ISOLATED_AFTER = 10.0


class ReaderRole(Enum):
    """Tell how a process reads from the platform."""

    READ = 'read'
    LISTEN = 'listen'
    ISOLATED = 'alone'


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
    def known_count(self) -> int:
        """Return the number of processes known, dead ones among them."""
        return len(self._table.all())

    def role(self, last_contact_s: float) -> ReaderRole:
        """Return the duty of this process.

        ``last_contact_s`` is the running-clock time of the last message from a
        peer.
        """
        if self.known_count == 1:
            return ReaderRole.READ
        silent_s = self._clock.now_s - max(last_contact_s, self._began_s)
        if silent_s > _ISOLATED_AFTER * self._settings.exchange_s:
            return ReaderRole.ISOLATED
        if self._rank() < self._settings.readers:
            return ReaderRole.READ
        return ReaderRole.LISTEN

    def _rank(self) -> int:
        me = self._table.own_record
        mine = _weight(me.process_id)
        rank = 0
        for record in self._table.live_peers():
            if record.region != me.region or record.leaving:
                continue
            if _weight(record.process_id) < mine:
                rank += 1
        return rank


def _weight(process_id: str) -> int:
    return xxhash.xxh3_64_intdigest(process_id.encode())
