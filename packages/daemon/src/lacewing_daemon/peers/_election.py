"""Elect the few platform readers of a region without messages."""

from enum import Enum

import xxhash
from lacewing_common.settings import PeerSettings

from lacewing_daemon.peers._running_clock import RunningClock
from lacewing_daemon.peers._table import MemberTable

# Exchange periods without a message from any peer after which the member
# table reflects this process's own network rather than the other members.
_ISOLATION_PERIODS = 10.0


class ReaderRole(Enum):
    """Define how a process reads from the platform."""

    READ = 'read'
    LISTEN = 'listen'
    ISOLATED = 'alone'


class Election:
    """Rank the live members of a region by a hash of their names.

    If every process watched the platform, they would use 1,220 of its 2,000
    reads a second. While the views of members differ, there may briefly be
    more or fewer readers than configured, which is harmless.
    """

    def __init__(
        self, settings: PeerSettings, table: MemberTable, clock: RunningClock
    ) -> None:
        self._settings = settings
        self._table = table
        self._clock = clock
        self._started_s = clock.now_s

    @property
    def known_count(self) -> int:
        """Return the number of known processes, including dead ones."""
        return len(self._table.all())

    def role(self, last_contact_s: float) -> ReaderRole:
        """Return the reader role of this process.

        ``last_contact_s`` is the running-clock time of the last message
        from a peer.
        """
        if self.known_count == 1:
            return ReaderRole.READ
        silent_s = self._clock.now_s - max(last_contact_s, self._started_s)
        if silent_s > _ISOLATION_PERIODS * self._settings.exchange_s:
            return ReaderRole.ISOLATED
        if self._rank() < self._settings.readers:
            return ReaderRole.READ
        return ReaderRole.LISTEN

    def _rank(self) -> int:
        own_record = self._table.own_record
        own_hash = _rank_hash(own_record.process_id)
        rank = 0
        for record in self._table.live_peers():
            if record.region != own_record.region or record.leaving:
                continue
            if _rank_hash(record.process_id) < own_hash:
                rank += 1
        return rank


def _rank_hash(process_id: str) -> int:
    return xxhash.xxh3_64_intdigest(process_id.encode())
