"""Choose peers for exchanges at random, by proximity."""

from enum import Enum
from random import Random

from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.peers._table import MemberTable


class Proximity(Enum):
    """Classify how near a peer is."""

    ZONE = 'zone'
    REGION = 'region'
    ELSEWHERE = 'elsewhere'


# Partners at a time: most in the same zone, one outside the region.
_PARTNERS_BY_PROXIMITY = {
    Proximity.ZONE: 3,
    Proximity.REGION: 2,
    Proximity.ELSEWHERE: 1,
}
PARTNERS = sum(_PARTNERS_BY_PROXIMITY.values())
# A new connection costs a TLS handshake, about twenty times as much as a call,
# so partners are kept for several calls. After this many calls a random one is
# replaced, so that the call graph keeps changing.
_CALLS_PER_REPLACEMENT = 5


def proximity(own_record: MemberRecord, other: MemberRecord) -> Proximity:
    """Return how near another process is."""
    if own_record.region != other.region:
        return Proximity.ELSEWHERE
    if own_record.availability_zone != other.availability_zone:
        return Proximity.REGION
    return Proximity.ZONE


class Partners:
    """Maintain the small set of peers that this process calls."""

    def __init__(self, table: MemberTable, rng: Random) -> None:
        self._table = table
        self._rng = rng
        self._current: list[str] = []
        self._calls = 0

    def next_partner(self) -> MemberRecord | None:
        """Return the partner to call next, None if no peer is known."""
        self._remove_dead()
        if self._calls % _CALLS_PER_REPLACEMENT == 0 and self._current:
            self._current.pop(self._rng.randrange(len(self._current)))
        self._calls += 1
        self._fill()
        if not self._current:
            return None
        # Round robin, so that each partner is probed in turn.
        process_id = self._current.pop(0)
        self._current.append(process_id)
        return self._table.get(process_id)

    def sample(self, count: int, excluded: str = '') -> list[MemberRecord]:
        """Return up to ``count`` random partners that are alive."""
        self._remove_dead()
        self._fill()
        found: list[MemberRecord] = []
        for process_id in self._current:
            record = self._table.get(process_id)
            if record is None or record.process_id == excluded:
                continue
            if record.liveness is Liveness.ALIVE:
                found.append(record)
        return self._rng.sample(found, min(count, len(found)))

    def _remove_dead(self) -> None:
        kept: list[str] = []
        for process_id in self._current:
            record = self._table.get(process_id)
            if record is not None and record.liveness is not Liveness.DEAD:
                kept.append(process_id)
        self._current = kept

    def _fill(self) -> None:
        if len(self._current) >= PARTNERS:
            return
        own_record = self._table.own_record
        candidates: dict[Proximity, list[MemberRecord]] = {}
        for record in self._table.live_peers():
            if record.process_id not in self._current and record.address:
                candidates.setdefault(
                    proximity(own_record, record), []
                ).append(record)
        partners: list[MemberRecord] = []
        for process_id in self._current:
            partner = self._table.get(process_id)
            if partner is not None:
                partners.append(partner)
        for near, wanted in _PARTNERS_BY_PROXIMITY.items():
            for partner in partners:
                if proximity(own_record, partner) is near:
                    wanted -= 1
            self._add_random(candidates.get(near, []), wanted)
        # Fill up with any peers if a proximity has too few.
        rest = [each for group in candidates.values() for each in group]
        self._add_random(rest, PARTNERS - len(self._current))

    def _add_random(self, candidates: list[MemberRecord], wanted: int) -> None:
        while wanted > 0 and candidates:
            record = candidates.pop(self._rng.randrange(len(candidates)))
            # Call new partners first, as their updates are the newest.
            self._current.insert(0, record.process_id)
            wanted -= 1
