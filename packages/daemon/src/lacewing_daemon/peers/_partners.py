"""Choose whom to exchange with: at random within a proximity."""

from enum import Enum
from random import Random

from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers._table import MemberTable


class Proximity(Enum):
    """Name how near a peer is."""

    ZONE = 'zone'
    REGION = 'region'
    ELSEWHERE = 'elsewhere'


# Of the partners at one time: mostly own zone, some own region, one beyond.
_WANTED = {Proximity.ZONE: 3, Proximity.REGION: 2, Proximity.ELSEWHERE: 1}
PARTNERS = sum(_WANTED.values())
# A connection costs a TLS handshake, some twenty times a call. Partners are
# therefore kept for so many calls; one is exchanged for another at random
# each time, so that the graph of calls never stays the same.
_CALLS_PER_CHANGE = 5


def proximity(me: MemberRecord, other: MemberRecord) -> Proximity:
    """Tell how near another process is."""
    if me.region != other.region:
        return Proximity.ELSEWHERE
    if me.availability_zone != other.availability_zone:
        return Proximity.REGION
    return Proximity.ZONE


class Partners:
    """Hold the few peers that this process calls at present."""

    def __init__(self, table: MemberTable, rng: Random) -> None:
        self._table = table
        self._rng = rng
        self._current: list[str] = []
        self._calls = 0

    def next_partner(self) -> MemberRecord | None:
        """Return the partner to call now; None while nobody is known."""
        self._drop_lost()
        if self._calls % _CALLS_PER_CHANGE == 0 and self._current:
            self._current.pop(self._rng.randrange(len(self._current)))
        self._calls += 1
        self._fill()
        if not self._current:
            return None
        # The one called longest ago: each partner is probed in turn.
        process_id = self._current.pop(0)
        self._current.append(process_id)
        return self._table.get(process_id)

    def sample(self, count: int, without: str = '') -> list[MemberRecord]:
        """Return up to ``count`` partners at random that seem alive."""
        self._drop_lost()
        self._fill()
        found: list[MemberRecord] = []
        for process_id in self._current:
            record = self._table.get(process_id)
            if record is None or record.process_id == without:
                continue
            if record.liveness is Liveness.ALIVE:
                found.append(record)
        return self._rng.sample(found, min(count, len(found)))

    def _drop_lost(self) -> None:
        kept: list[str] = []
        for process_id in self._current:
            record = self._table.get(process_id)
            if record is not None and record.liveness is not Liveness.DEAD:
                kept.append(process_id)
        self._current = kept

    def _fill(self) -> None:
        if len(self._current) >= PARTNERS:
            return
        me = self._table.own_record
        free: dict[Proximity, list[MemberRecord]] = {}
        for record in self._table.live_peers():
            if record.process_id not in self._current and record.address:
                free.setdefault(proximity(me, record), []).append(record)
        held: list[MemberRecord] = []
        for process_id in self._current:
            partner = self._table.get(process_id)
            if partner is not None:
                held.append(partner)
        for near, wanted in _WANTED.items():
            for partner in held:
                if proximity(me, partner) is near:
                    wanted -= 1
            self._draw(free.get(near, []), wanted)
        # Where one of the ranges is too small, any other peer will do.
        rest = [each for few in free.values() for each in few]
        self._draw(rest, PARTNERS - len(self._current))

    def _draw(self, free: list[MemberRecord], wanted: int) -> None:
        while wanted > 0 and free:
            record = free.pop(self._rng.randrange(len(free)))
            # At the front: a new partner is called next, its news is newest.
            self._current.insert(0, record.process_id)
            wanted -= 1
