"""Exchange news with one peer a second and find out who has died."""

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
_HELPERS = 3
_FIRST_TRIES = 2
_JITTER = 0.25
# So many times the period passes before an address that is not a member,
# or a dead member, is tried again beside the partner.
_STRANGER_EVERY = 8
_MAX_TABLE_PULLS = 32
_TABLE_PULL_EVERY = 5.0
_MAX_RUNNING = 16

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
        self._news = updates
        self._partners = partners
        self._channels = channels
        self._rng = rng
        self._contacts = contacts
        self._rounds = 0
        self._met: set[str] = set()
        self._pull_after_s = 0.0
        self._answered_at_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def last_answer_s(self) -> float:
        """Return the running-clock time of the last answer of a peer."""
        return self._answered_at_s

    async def discover(self) -> None:
        """Call a few known addresses at once, before serving.

        One lost message shall not leave a process with nobody it knows of.
        """
        for _ in range(_FIRST_TRIES):
            addresses = self._strangers()
            self._rng.shuffle(addresses)
            calls = []
            for address in addresses[: 2 * FANOUT]:
                calls.append(self._exchange_with(address, None))
            answered = await asyncio.gather(*calls)
            if any(answered) or not calls:
                return

    def contact_new(self) -> None:
        """Call a few of the addresses that were never called."""
        strangers = self._strangers()
        self._met.intersection_update(strangers)
        fresh = [each for each in strangers if each not in self._met]
        for address in fresh[:FANOUT]:
            self._met.add(address)
            self._spawn(self._try(address))

    async def run(self) -> None:
        """Exchange with one peer in each period until cancelled."""
        try:
            while True:
                await self._sleep(self._settings.exchange_s)
                self._confirm_suspects()
                self._channels.close_idle()
                self._table.remove_dead()
                self._show_counts()
                self._call_next()
        finally:
            await self._cancel_calls()

    async def run_urgent(self) -> None:
        """Tell urgent news at once to a few peers until cancelled."""
        while True:
            await self._news.urgent.wait()
            self._news.urgent.clear()
            for record in self._partners.sample(FANOUT):
                self._spawn(self._exchange(record))
            # Changes that come together are told together.
            await asyncio.sleep(0.05 * self._settings.exchange_s)

    async def flush(self) -> None:
        """Tell the news to a few peers and wait for their answers."""
        calls = []
        for record in self._partners.sample(FANOUT):
            calls.append(self._exchange(record))
        await asyncio.gather(*calls)

    async def _sleep(self, period_s: float) -> None:
        wait_s = period_s * self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        late_s = await self._clock.sleep(wait_s)
        if late_s > self._settings.probe_s:
            # This process stood still. Refutations may have been waiting to
            # be read all the while; confirming now would declare healthy
            # peers dead all over the fleet.
            self._table.restart_suspicions()

    def _show_counts(self) -> None:
        counts = self._table.counts
        MEMBERS.labels('alive').set(counts.alive)
        MEMBERS.labels('suspect').set(counts.suspect)
        MEMBERS.labels('dead').set(counts.dead)
        MEMBERS.labels('leaving').set(counts.leaving)

    def _call_next(self) -> None:
        if len(self._tasks) >= _MAX_RUNNING:
            return
        self._rounds += 1
        partner = self._partners.next_partner()
        if partner is not None:
            self._spawn(self._exchange(partner))
        if partner is None or self._rounds % _STRANGER_EVERY == 0:
            strangers = self._strangers()
            if strangers:
                address = self._rng.choice(strangers)
                self._spawn(self._try(address))

    def _strangers(self) -> list[str]:
        """Return addresses to try that belong to no living member.

        Without the dead among them two halves of a fleet that lost each
        other for long would never meet again.
        """
        living = {record.address for record in self._table.live_peers()}
        living.add(self._table.own_record.address)
        found = {record.address for record in self._table.dead_members()}
        found.update(self._contacts())
        return sorted(found - living)

    async def _try(self, address: str) -> None:
        await self._exchange_with(address, None)

    async def _exchange(self, record: MemberRecord) -> None:
        started_s, running_from_s = time.monotonic(), self._clock.now_s
        if await self._exchange_with(record.address, record):
            return
        ran_s = self._clock.now_s - running_from_s
        stalled_s = time.monotonic() - started_s - ran_s
        ran_briefly = ran_s < self._settings.probe_s / 2
        if ran_briefly and stalled_s > self._settings.probe_s:
            # The peer may well have answered while this process stood still.
            return
        if record.liveness is Liveness.ALIVE:
            await self._doubt(record)

    async def _exchange_with(
        self, address: str, record: MemberRecord | None
    ) -> bool:
        answer = await self._channels.call(
            address,
            EXCHANGE_METHOD,
            self._news.make_request(record or self._dead_at(address)),
            Exchange,
            self._clock.extend_timeout(self._settings.probe_s),
        )
        if isinstance(answer, PeerCallFailed):
            EXCHANGES.labels('failed').inc()
            _log.debug('Exchange failed.', error=answer.message)
            return False
        EXCHANGES.labels('answered').inc()
        self._answered_at_s = self._clock.now_s
        self._news.apply(answer)
        self._note_owner(record, answer.sender)
        if answer.table_hash != self._table.hash:
            await self._pull_table(address)
        return True

    def _dead_at(self, address: str) -> MemberRecord | None:
        for record in self._table.dead_members():
            if record.address == address:
                return record
        return None

    def _note_owner(
        self, called: MemberRecord | None, answered: MemberRecord | None
    ) -> None:
        if called is None or answered is None:
            return
        if called.process_id != answered.process_id:
            # Its VM was replaced and the address is used again: waiting for
            # it to be silent would take for ever.
            self._table.set_liveness(called, Liveness.DEAD)

    async def _doubt(self, record: MemberRecord) -> None:
        """Have others try a silent peer before it is suspected.

        One broken path between two zones would else make each member of
        one suspect all of the other.
        """
        calls = []
        for helper in self._partners.sample(_HELPERS, record.process_id):
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
        """Repair a difference, or fill the table of a cold process.

        News under way makes tables differ for moments all the time; the
        pause between pulls keeps that cheap.
        """
        now_s = time.monotonic()
        if now_s < self._pull_after_s:
            return
        pause_s = _TABLE_PULL_EVERY * self._settings.exchange_s
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
            self._news.apply_table(answer)
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
