"""Exchange updates with a peer each period and detect failed members."""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Coroutine
from random import Random
from typing import Any

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import PeerSettings
from lacewing_common.wire_peers import Exchange
from lacewing_common.wire_peers import EXCHANGE_METHOD
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord
from lacewing_common.wire_peers import Probe
from lacewing_common.wire_peers import PROBE_METHOD
from lacewing_common.wire_peers import ProbeReply
from lacewing_common.wire_peers import TABLE_METHOD
from lacewing_common.wire_peers import TableQuery
from lacewing_common.wire_peers import TableReply

from lacewing_daemon.peers._channels import PeerCallFailed
from lacewing_daemon.peers._channels import PeerChannels
from lacewing_daemon.peers._metrics import EXCHANGES
from lacewing_daemon.peers._metrics import MEMBERS
from lacewing_daemon.peers._partners import Partners
from lacewing_daemon.peers._running_clock import RunningClock
from lacewing_daemon.peers._table import MemberTable
from lacewing_daemon.peers._updates import GossipUpdates

FANOUT = 3
_INDIRECT_PROBES = 3
_DISCOVERY_ATTEMPTS = 2
_JITTER = 0.25
# Rounds between calls to an address of a dead member or of no member, made
# in addition to the call to a partner.
_CONTACT_INTERVAL_ROUNDS = 8
_MAX_TABLE_PULLS = 32
# Mean time between table pulls, in exchange periods.
_TABLE_PULL_PERIODS = 5.0
_MAX_CONCURRENT_CALLS = 16

_log = get_log(Part.MEMBERS)


class Gossip:
    """Run the exchanges of one process."""

    def __init__(
        self,
        settings: PeerSettings,
        table: MemberTable,
        updates: GossipUpdates,
        partners: Partners,
        channels: PeerChannels,
        rng: Random,
        contacts: Callable[[], tuple[str, ...]],
        clock: RunningClock,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._table = table
        self._updates = updates
        self._partners = partners
        self._channels = channels
        self._rng = rng
        self._contacts = contacts
        self._rounds = 0
        self._contacted: set[str] = set()
        self._pull_after_s = 0.0
        self._last_answer_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def last_answer_s(self) -> float:
        """Return the running-clock time of the last answer of a peer."""
        return self._last_answer_s

    async def discover(self) -> None:
        """Call several known addresses concurrently before serving.

        A single lost message must not leave the process without any peer.
        """
        for _ in range(_DISCOVERY_ATTEMPTS):
            addresses = self._unknown_addresses()
            self._rng.shuffle(addresses)
            calls = []
            for address in addresses[: 2 * FANOUT]:
                calls.append(self._exchange_with(address, None))
            answered = await asyncio.gather(*calls)
            if any(answered) or not calls:
                return

    def contact_new(self) -> None:
        """Call up to ``FANOUT`` of the addresses not contacted yet."""
        unknown = self._unknown_addresses()
        self._contacted.intersection_update(unknown)
        new = [each for each in unknown if each not in self._contacted]
        for address in new[:FANOUT]:
            self._contacted.add(address)
            self._spawn(self._contact(address))

    async def run(self) -> None:
        """Exchange with one peer in each period until cancelled."""
        try:
            while True:
                await self._sleep(self._settings.exchange_s)
                self._confirm_suspects()
                self._channels.close_idle()
                self._table.remove_dead()
                self._update_metrics()
                self._call_next()
        finally:
            await self._cancel_calls()

    async def run_urgent(self) -> None:
        """Send urgent updates to a few peers immediately until cancelled."""
        while True:
            await self._updates.urgent.wait()
            self._updates.urgent.clear()
            for record in self._partners.sample(FANOUT):
                self._spawn(self._exchange(record))
            # Batches changes that occur close together.
            await asyncio.sleep(0.05 * self._settings.exchange_s)

    async def flush(self) -> None:
        """Send pending updates to a few peers and wait for their answers."""
        calls = []
        for record in self._partners.sample(FANOUT):
            calls.append(self._exchange(record))
        await asyncio.gather(*calls)

    async def _sleep(self, period_s: float) -> None:
        wait_s = period_s * self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        late_s = await self._clock.sleep(wait_s)
        if late_s > self._settings.probe_s:
            # This process was stalled, so refutations may have arrived that
            # it has not read yet. Confirming suspicions now would declare
            # healthy peers dead throughout the fleet.
            self._table.restart_suspicions()

    def _update_metrics(self) -> None:
        counts = self._table.counts
        MEMBERS.labels('alive').set(counts.alive)
        MEMBERS.labels('suspect').set(counts.suspect)
        MEMBERS.labels('dead').set(counts.dead)
        MEMBERS.labels('leaving').set(counts.leaving)

    def _call_next(self) -> None:
        if len(self._tasks) >= _MAX_CONCURRENT_CALLS:
            return
        self._rounds += 1
        partner = self._partners.next_partner()
        if partner is not None:
            self._spawn(self._exchange(partner))
        if partner is None or self._rounds % _CONTACT_INTERVAL_ROUNDS == 0:
            unknown = self._unknown_addresses()
            if unknown:
                address = self._rng.choice(unknown)
                self._spawn(self._contact(address))

    def _unknown_addresses(self) -> list[str]:
        """Return known addresses that belong to no live member.

        Addresses of dead members are included: otherwise the two sides of a
        long network partition would never reconnect.
        """
        living = {record.address for record in self._table.live_peers()}
        living.add(self._table.own_record.address)
        found = {record.address for record in self._table.dead_members()}
        found.update(self._contacts())
        return sorted(found - living)

    async def _contact(self, address: str) -> None:
        await self._exchange_with(address, None)

    async def _exchange(self, record: MemberRecord) -> None:
        started_s, running_from_s = time.monotonic(), self._clock.now_s
        if await self._exchange_with(record.address, record):
            return
        ran_s = self._clock.now_s - running_from_s
        stalled_s = time.monotonic() - started_s - ran_s
        ran_briefly = ran_s < self._settings.probe_s / 2
        if ran_briefly and stalled_s > self._settings.probe_s:
            # The peer may have answered while this process was stalled.
            return
        if record.liveness is Liveness.ALIVE:
            await self._probe_indirectly(record)

    async def _exchange_with(
        self, address: str, record: MemberRecord | None
    ) -> bool:
        answer = await self._channels.call(
            address,
            EXCHANGE_METHOD,
            self._updates.make_request(
                record or self._dead_member_at(address)
            ),
            Exchange,
            self._clock.extend_timeout(self._settings.probe_s),
        )
        if isinstance(answer, PeerCallFailed):
            EXCHANGES.labels('failed').inc()
            _log.debug('Exchange failed.', error=answer.message)
            return False
        EXCHANGES.labels('answered').inc()
        self._last_answer_s = self._clock.now_s
        self._updates.apply(answer)
        self._check_process_id(record, answer.sender)
        if answer.table_hash != self._table.hash:
            await self._pull_table(address)
        return True

    def _dead_member_at(self, address: str) -> MemberRecord | None:
        for record in self._table.dead_members():
            if record.address == address:
                return record
        return None

    def _check_process_id(
        self, called: MemberRecord | None, answered: MemberRecord | None
    ) -> None:
        if called is None or answered is None:
            return
        if called.process_id != answered.process_id:
            # The VM was replaced and its address reused. The address keeps
            # answering, so the former member would never become suspect.
            self._table.set_liveness(called, Liveness.DEAD)

    async def _probe_indirectly(self, record: MemberRecord) -> None:
        """Suspect a peer if indirect probes through other peers fail too.

        With direct calls alone, one broken path between two zones would make
        the members of each zone suspect all members of the other.
        """
        calls = []
        for helper in self._partners.sample(
            _INDIRECT_PROBES, record.process_id
        ):
            calls.append(self._probe_through(helper, record))
        if any(await asyncio.gather(*calls)):
            return
        if self._table.set_liveness(record, Liveness.SUSPECT):
            _log.info('Suspected.', member=record.process_id)

    async def _probe_through(
        self, helper: MemberRecord, record: MemberRecord
    ) -> bool:
        answer = await self._channels.call(
            helper.address,
            PROBE_METHOD,
            Probe(record.address),
            ProbeReply,
            2 * self._clock.extend_timeout(self._settings.probe_s),
        )
        return isinstance(answer, ProbeReply) and answer.answered

    def _confirm_suspects(self) -> None:
        before_s = self._clock.now_s - self._settings.suspect_s
        for record in self._table.suspected_before(before_s):
            if self._table.set_liveness(record, Liveness.DEAD):
                _log.info('Dead.', member=record.process_id)

    async def _pull_table(self, address: str) -> None:
        """Pull differing records, or the whole table after a start.

        Tables often differ briefly while updates propagate; the delay between
        pulls limits the cost.
        """
        now_s = time.monotonic()
        if now_s < self._pull_after_s:
            return
        pause_s = _TABLE_PULL_PERIODS * self._settings.exchange_s
        self._pull_after_s = now_s + pause_s * self._rng.uniform(0.5, 1.5)
        for _ in range(_MAX_TABLE_PULLS):
            query = TableQuery(self._table.bucket_hashes)
            answer = await self._channels.call(
                address,
                TABLE_METHOD,
                query,
                TableReply,
                self._clock.extend_timeout(self._settings.probe_s),
            )
            if isinstance(answer, PeerCallFailed):
                return
            before = self._table.bucket_hashes
            self._updates.apply_table(answer)
            if self._table.bucket_hashes == before:
                return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel_calls(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
