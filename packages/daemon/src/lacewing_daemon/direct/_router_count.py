"""Count the live routers by the entry that each keeps in the store."""

import asyncio
import re
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from uuid import uuid4

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

from lacewing_daemon.background import call_back
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._metrics import LIVE_ROUTERS
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras

ROUTERS = 'routers'
# How often each router renews its entry. It counts entries more often, because
# eventually consistent reads cost a tenth.
RENEW_S = 10.0
MIN_COUNT_INTERVAL_S = 4.0
# A router whose entry is not written yet, or that has not counted yet, has no
# share of the limits of teams, and tries again after this.
RETRY_S = 1.0
# Each count reads all entries, some 150 bytes each. With more routers than
# this they count less often: 330 routers read 3 KB/s each instead of 12 KB/s.
FULL_RATE_ROUTERS = 80
# An entry that was not renewed for this long belongs to a terminated router;
# two renewals may be lost.
LIVE_TIMEOUT_S = 3.5 * RENEW_S
# After this time the entry is removed; a router that is still alive writes a
# new one. A process that finds an entry here is counted by the others.
REMOVE_AFTER_S = LIVE_TIMEOUT_S + 5.0
# How many of the routers remove such an entry, on average.
REMOVERS = 3.0
# How much later than the count interval all routers have counted a new entry:
# intervals vary by a quarter, and eventually consistent reads lag by seconds.
COUNT_DELAY_S = 4.0
# Assumed before the first count. Too high a number only makes shares smaller.
DEFAULT_ROUTER_COUNT = 8

# The value of an entry: 16 random bytes in hexadecimal, and the address at
# which the router listens for other routers, if it does, or that it has left.
_LEAVING = 'leaving'
_ENTRY_PATTERN = re.compile(rb'[0-9a-f]{32}(?: ([0-9.]+:[0-9]{1,5}|leaving))?')

_log = get_log(Part.MEMBERS)


def count_interval_s(routers: int) -> float:
    """Return the interval between two counts for a number of routers."""
    return MIN_COUNT_INTERVAL_S * max(1.0, routers / FULL_RATE_ROUTERS)


@dataclass(frozen=True)
class _SeenEntry:
    """Hold a version of an entry and the time it was first seen."""

    version: int
    first_seen_s: float
    address: str = ''
    era: int = 0

    @property
    def is_leaving(self) -> bool:
        """Return whether the router has stopped; a successor may start."""
        return self.address == _LEAVING


class RouterCount:
    """Count the routers that share the limits of the whole fleet.

    Retry budgets, connections and slots at upstreams are limited for all
    routers together. A router that does not know of other routers takes too
    large a share, and exceeds the limit just when all routers are refused.
    """

    def __init__(
        self,
        store: SystemObjects,
        name: str,
        random: Random,
        on_count: Callable[[int], None],
        clock: Callable[[], float] = boot_s,
        address: str = '',
        eras: StoreEras | None = None,
    ) -> None:
        self._address = address
        self._eras = eras or StoreEras()
        self._eras.on_restore(self._handle_restore)
        self._restored_s = float('-inf')
        self._on_count = on_count
        self._store = store
        self._name = name
        self._random = random
        self._clock = clock
        self._version = MUST_NOT_EXIST
        self._renewed_s = float('-inf')
        self._seen_entries: dict[str, _SeenEntry] = {}
        self._count = DEFAULT_ROUTER_COUNT
        self._holders = DEFAULT_ROUTER_COUNT
        self._leaving = False
        # The predecessor of this process may have left an entry.
        self._is_own_version_unknown = True
        self._has_counted = False
        self._has_predecessor = False
        self._counted_by_all_s = float('inf')

    @property
    def count(self) -> int:
        """Return the number of live routers, including this one."""
        return self._count

    @property
    def share_holders(self) -> int:
        """Return how many routers the limits of teams are divided among.

        A router that stops is included until its successor may have started,
        so that a rolling restart does not move shares back and forth.
        """
        return self._holders

    @property
    def has_predecessor(self) -> bool:
        """Return whether this process found an entry of its name."""
        return self._has_predecessor

    @property
    def share(self) -> float:
        """Return the part of the limits of teams that is this router's own.

        0 while other routers may not count this one: they divide the limits
        among themselves. A process that finds the entry of its predecessor is
        counted already.
        """
        if not self._has_counted or self._leaving:
            return 0.0
        if self._clock() < self._counted_by_all_s:
            return 0.0
        return 1.0 / self._holders

    @property
    def next_step_in_s(self) -> float:
        """Return the time until the next step, a random one near its mean."""
        interval_s = count_interval_s(self._count)
        if not self._has_counted or self._renewed_s == float('-inf'):
            interval_s = min(interval_s, RETRY_S)
        jitter = 0.75 + self._random.random() / 2
        return interval_s * jitter

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses at which other live routers listen."""
        now_s = self._clock()
        found = []
        for name, seen in self._seen_entries.items():
            if name == self._name or not seen.address:
                continue
            if seen.is_leaving:
                continue
            if now_s - seen.first_seen_s <= LIVE_TIMEOUT_S:
                found.append(seen.address)
        return tuple(found)

    async def run(self) -> None:
        """Renew the own entry and count all entries until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self.next_step_in_s)

    async def step(self) -> None:
        """Renew the own entry if that is due, and count all entries."""
        if self._clock() - self._renewed_s >= RENEW_S:
            await self.renew()
        await self.refresh()

    async def renew(self) -> None:
        """Write the own entry, unless this router is leaving."""
        if self._leaving:
            return
        if self._is_own_version_unknown:
            await self._read_own_version()
        response = await self._write()
        if isinstance(response, StoredObject):
            return
        if response.fault is StoreFault.NOT_FOUND:
            self._version = MUST_NOT_EXIST
        if response.fault is StoreFault.CONFLICT:
            await self._read_own_version()

    async def _write(self) -> StoredObject | StoreError:
        value = f'{uuid4().hex} {self._address}'.strip()
        version = self._version
        response = await self._store.put(
            ROUTERS, self._name, value.encode(), version
        )
        if not isinstance(response, StoredObject):
            return response
        self._version = response.version
        self._renewed_s = self._clock()
        if version == MUST_NOT_EXIST:
            wait_s = COUNT_DELAY_S + count_interval_s(self._count)
            self._counted_by_all_s = self._renewed_s + wait_s
        elif self._counted_by_all_s == float('inf'):
            self._counted_by_all_s = self._renewed_s
            self._has_predecessor = True
        return response

    async def refresh(self) -> None:
        """Count the entries that were renewed recently."""
        listed = await self._store.peek_all(ROUTERS)
        if isinstance(listed, StoreError):
            return
        count = self.count_live(listed)
        if count != self._count:
            _log.info('Counts other routers.', routers=count)
            call_back('router count', self._on_count, count)
        LIVE_ROUTERS.set(count)
        self._count = count
        self._holders = self._count_holders(count)
        self._has_counted = True
        for entry in listed:
            seen = self._seen_entries[entry.name]
            if self._clock() - seen.first_seen_s <= REMOVE_AFTER_S:
                continue
            if self._random.random() < REMOVERS / count:
                await self._store.delete(ROUTERS, entry.name, entry.version)

    def count_live(self, listed: Sequence[StoredObject]) -> int:
        """Record the versions of all entries; return how many are live.

        Renewals are timed with the local clock, from when each version was
        first seen here. A malformed entry does not count as a router: it
        would make the share of every router too small.
        """
        now_s = self._clock()
        seen: dict[str, _SeenEntry] = {}
        live = 0
        for entry in listed:
            known = self._seen_entries.get(entry.name)
            value = _ENTRY_PATTERN.fullmatch(entry.value)
            if known is not None and known.era < entry.era:
                # A restore set its version back; only the next one renews it.
                known = replace(known, version=entry.version, era=entry.era)
            if known is None or known.version < entry.version:
                address = b'' if value is None else value.group(1) or b''
                known = _SeenEntry(
                    entry.version, now_s, address.decode(), entry.era
                )
            seen[entry.name] = known
            own = entry.name == self._name
            if not own and value is None:
                if entry.name not in self._seen_entries:
                    _log.error('Left an entry out.', entry=entry.name)
                continue
            if own:
                live += 1
                continue
            if known.is_leaving:
                continue
            if now_s - known.first_seen_s <= LIVE_TIMEOUT_S:
                live += 1
        for name, known in self._seen_entries.items():
            if name in seen or now_s - self._restored_s > RENEW_S:
                continue
            # Lost in the restore, until its router writes it again.
            seen[name] = known
            if now_s - known.first_seen_s <= LIVE_TIMEOUT_S:
                live += 1
        self._seen_entries = seen
        return max(1, live)

    def _count_holders(self, live: int) -> int:
        now_s = self._clock()
        leaving = 0
        for name, seen in self._seen_entries.items():
            if name == self._name or not seen.is_leaving:
                continue
            if now_s - seen.first_seen_s <= LIVE_TIMEOUT_S:
                leaving += 1
        return live + leaving

    async def deregister(self) -> None:
        """Mark the own entry, so that other routers stop counting it."""
        self._leaving = True
        if self._version != MUST_NOT_EXIST:
            value = f'{uuid4().hex} {_LEAVING}'
            await self._store.put(
                ROUTERS, self._name, value.encode(), self._version
            )

    def _handle_restore(self) -> None:
        """Schedule a renewal: the own entry may be lost or outdated."""
        self._restored_s = self._clock()
        self._renewed_s = float('-inf')
        self._is_own_version_unknown = True

    async def _read_own_version(self) -> None:
        found = await self._store.get(ROUTERS, self._name)
        if isinstance(found, StoredObject):
            self._version = found.version
            self._is_own_version_unknown = False
            return
        if found.fault is StoreFault.NOT_FOUND:
            self._version = MUST_NOT_EXIST
            self._is_own_version_unknown = False
