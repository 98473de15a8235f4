"""Count the routers that live, by entries that each keeps in the store."""

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

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._metrics import LIVE_ROUTERS
from lacewing_daemon.direct._site import SystemObjects
from lacewing_daemon.direct._store_eras import StoreEras

ROUTERS = 'routers'
# Each router renews its entry this often, and counts more often, as reads
# that may be old cost a tenth.
RENEW_S = 10.0
LOOK_S = 4.0
# Each look reads all entries, some 150 bytes each. With more routers than
# this they look less often: 330 read 3 KB a second each in place of 12.
ROUTERS_A_LOOK = 80
# An entry that was not renewed for so long is of a router that is gone; two
# renewals may be lost.
LIVE_S = 3.5 * RENEW_S
# Then it is removed, by whoever sees it first; a router that lives after all
# writes it anew.
REMOVE_S = 300.0
# Taken before the first count. Too many only makes shares smaller.
DEFAULT_ROUTER_COUNT = 8

# What a router writes into its entry: 16 random bytes in hexadecimal, and the
# address that other routers call, if it listens for them.
_VALUE = re.compile(rb'[0-9a-f]{32}(?: ([0-9.]+:[0-9]{1,5}))?')

_log = get_log(Part.MEMBERS)


def count_interval_s(routers: int) -> float:
    """Return how often a router counts when there are so many."""
    return LOOK_S * max(1.0, routers / ROUTERS_A_LOOK)


@dataclass(frozen=True)
class _Seen:
    """Hold a version of an entry and when it was first seen."""

    version: int
    since_s: float
    address: str = ''
    era: int = 0


class RouterCount:
    """Know how many routers share what holds for all of them together.

    Retry budget, connections and places at upstreams are bounded for the
    whole fleet. A router that takes its part for larger than it is, because
    it does not know the others, breaks the bound just when all of them meet
    refusals.
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
        self._eras.on_restore(self._take_return)
        self._returned_s = float('-inf')
        self._on_count = on_count
        self._store = store
        self._name = name
        self._random = random
        self._clock = clock
        self._version = MUST_NOT_EXIST
        self._renewed_s = float('-inf')
        self._seen: dict[str, _Seen] = {}
        self._count = DEFAULT_ROUTER_COUNT
        self._leaving = False
        self._doubts_own = False

    @property
    def count(self) -> int:
        """Return the number of routers that live, this one included."""
        return self._count

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return where the other routers that live listen for this one."""
        now_s = self._clock()
        found = []
        for name, seen in self._seen.items():
            if name == self._name or not seen.address:
                continue
            if now_s - seen.since_s <= LIVE_S:
                found.append(seen.address)
        return tuple(found)

    async def run(self) -> None:
        """Renew the own entry and count all until cancelled."""
        while True:
            if self._clock() - self._renewed_s >= RENEW_S:
                await self.renew()
            await self.refresh()
            spread = 0.75 + self._random.random() / 2
            await asyncio.sleep(count_interval_s(self._count) * spread)

    async def renew(self) -> None:
        """Write the own entry, unless this router leaves."""
        if self._leaving:
            return
        value = f'{uuid4().hex} {self._address}'.strip()
        if self._doubts_own:
            await self._read_own()
        answer = await self._store.put(
            ROUTERS, self._name, value.encode(), self._version
        )
        if isinstance(answer, StoredObject):
            self._version = answer.version
            self._renewed_s = self._clock()
            return
        if answer.fault is StoreFault.CONFLICT:
            await self._read_own()
        if answer.fault is StoreFault.NOT_FOUND:
            self._version = MUST_NOT_EXIST

    async def refresh(self) -> None:
        """Count the entries that were renewed lately."""
        listed = await self._store.peek_all(ROUTERS)
        if isinstance(listed, StoreError):
            return
        count = self.count_live(listed)
        if count != self._count:
            _log.info('Counts other routers.', routers=count)
            self._on_count(count)
        LIVE_ROUTERS.set(count)
        self._count = count
        for entry in listed:
            seen = self._seen[entry.name]
            if self._clock() - seen.since_s > REMOVE_S:
                await self._store.delete(ROUTERS, entry.name, entry.version)

    def count_live(self, listed: Sequence[StoredObject]) -> int:
        """Note the versions of all entries; return how many live.

        Whether one is renewed is judged by the own clock, from when each
        version was first seen here. What somebody else wrote counts as no
        router: each would take its part of what all share for smaller than
        it is.
        """
        now_s = self._clock()
        seen: dict[str, _Seen] = {}
        live = 0
        for entry in listed:
            known = self._seen.get(entry.name)
            value = _VALUE.fullmatch(entry.value)
            if known is not None and known.era < entry.era:
                # Its versions have gone back; only the next one renews it.
                known = replace(known, version=entry.version, era=entry.era)
            if known is None or known.version < entry.version:
                address = b'' if value is None else value.group(1) or b''
                known = _Seen(
                    entry.version, now_s, address.decode(), entry.era
                )
            seen[entry.name] = known
            own = entry.name == self._name
            if not own and value is None:
                if entry.name not in self._seen:
                    _log.error('Left an entry out.', entry=entry.name)
                continue
            if own or now_s - known.since_s <= LIVE_S:
                live += 1
        for name, known in self._seen.items():
            if name in seen or now_s - self._returned_s > RENEW_S:
                continue
            # Lost with what the store lost, until its router writes it again.
            seen[name] = known
            if now_s - known.since_s <= LIVE_S:
                live += 1
        self._seen = seen
        return max(1, live)

    async def deregister(self) -> None:
        """Remove the own entry, so that the others' parts grow at once."""
        self._leaving = True
        if self._version != MUST_NOT_EXIST:
            await self._store.delete(ROUTERS, self._name, self._version)

    def _take_return(self) -> None:
        """Write the own entry again soon: it may be lost, or an older one."""
        self._returned_s = self._clock()
        self._renewed_s = float('-inf')
        self._doubts_own = True

    async def _read_own(self) -> None:
        found = await self._store.get(ROUTERS, self._name)
        if isinstance(found, StoredObject):
            self._version = found.version
            self._doubts_own = False
            return
        if found.fault is StoreFault.NOT_FOUND:
            self._version = MUST_NOT_EXIST
            self._doubts_own = False
