"""Assemble the components of a fleet member."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from random import Random

from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentValidator
from lacewing_common.identity import ProcessName
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import Settings
from lacewing_common.status import MemberStatus
from lacewing_common.tls import client_context
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord

from lacewing_daemon.background import keep_running
from lacewing_daemon.peers._channels import PeerChannels
from lacewing_daemon.peers._fetcher import Fetcher
from lacewing_daemon.peers._gossip import Gossip
from lacewing_daemon.peers._members import GossipMembers
from lacewing_daemon.peers._partners import Partners
from lacewing_daemon.peers._replicas import DocumentReplicas
from lacewing_daemon.peers._running_clock import RunningClock
from lacewing_daemon.peers._service import PeerService
from lacewing_daemon.peers._table import MemberTable
from lacewing_daemon.peers._updates import GossipUpdates
from lacewing_daemon.peers._vm_notes import VmNotes

# A starting process waits for its peers' documents; otherwise it would serve
# callers without any. The wait is limited because a large document on a slow
# link may take longer than callers of a restarted VM are willing to wait.
FIRST_FETCH_TIMEOUT_S = 1.0

_log = get_log(Part.MEMBERS)


class PeerNode:
    """Maintain members and documents and exchange both with peers.

    ``contacts`` returns the addresses of seeds and of listed VMs.
    """

    def __init__(
        self,
        name: ProcessName,
        settings: Settings,
        validators: Mapping[DocumentKind, DocumentValidator],
        contacts: Callable[[], tuple[str, ...]],
        rng: Random,
        channels: PeerChannels | None = None,
    ) -> None:
        self._clock = RunningClock()
        self._table = MemberTable(
            _make_own_record(name, settings), lambda: self._clock.now_s
        )
        self._vm_notes = VmNotes()
        self._replicas = DocumentReplicas(validators)
        if channels is None:
            channels = PeerChannels(client_context(settings))
        self._channels = channels
        self._fetcher = Fetcher(self._replicas, self._channels, rng)
        self._updates = GossipUpdates(
            self._table,
            self._vm_notes,
            self._replicas,
            self._fetcher,
            settings.peers.exchange_s,
        )
        self._gossip = Gossip(
            settings.peers,
            self._table,
            self._updates,
            Partners(self._table, rng),
            self._channels,
            rng,
            contacts,
            self._clock,
        )
        self._service = PeerService(
            self._updates,
            self._table,
            self._vm_notes,
            self._replicas,
            self._channels,
            settings.peers.probe_s,
            rng,
            self._clock,
        )
        self._members = GossipMembers(self._table, self._vm_notes, contacts)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def service(self) -> PeerService:
        """Return the gRPC service that the listener for peers serves."""
        return self._service

    @property
    def documents(self) -> DocumentReplicas:
        """Return the documents of this process."""
        return self._replicas

    @property
    def channels(self) -> PeerChannels:
        """Return the connections to peers."""
        return self._channels

    @property
    def members(self) -> GossipMembers:
        """Return the source of known agent addresses."""
        return self._members

    @property
    def table(self) -> MemberTable:
        """Return the member table."""
        return self._table

    @property
    def vm_notes(self) -> VmNotes:
        """Return the notes on VMs from the platform's VM list."""
        return self._vm_notes

    @property
    def counts(self) -> MemberStatus:
        """Return the number of known members by state."""
        return self._table.counts

    @property
    def last_contact_s(self) -> float:
        """Return the ``clock`` time of the last call or answer from a peer."""
        return max(self._gossip.last_answer_s, self._service.last_call_s)

    @property
    def clock(self) -> RunningClock:
        """Return the clock for the time without messages from peers."""
        return self._clock

    @property
    def pending_updates(self) -> int:
        """Return the number of updates still being disseminated."""
        return self._updates.pending_count

    @property
    def has_peers(self) -> bool:
        """Return whether any other live process is known."""
        return bool(self._table.live_peers())

    def contact_new(self) -> None:
        """Call a few of the addresses not contacted yet."""
        self._gossip.contact_new()

    async def discover(self) -> None:
        """Fetch members and documents from a few peers before serving."""
        await self._gossip.discover()
        await self._fetcher.wait_idle(FIRST_FETCH_TIMEOUT_S)

    def start(self, address: str) -> None:
        """Join the fleet with the address of the listener for peers."""
        self._table.set_address(address)
        for name, run in (
            ('gossip', self._gossip.run),
            ('urgent gossip', self._gossip.run_urgent),
        ):
            self._tasks.append(asyncio.create_task(keep_running(name, run)))

    async def announce_leaving(self) -> None:
        """Tell a few peers that this process accepts no new work."""
        self._table.mark_leaving()
        await self._gossip.flush()

    async def close(self) -> None:
        """Stop the exchanges and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._fetcher.close()
        self._channels.close()


def _make_own_record(name: ProcessName, settings: Settings) -> MemberRecord:
    worker = settings.worker
    return MemberRecord(
        name.process_id,
        name.incarnation,
        0,
        Liveness.ALIVE,
        False,
        settings.role,
        settings.place.region,
        settings.place.availability_zone,
        '' if worker is None else worker.service,
        '',
    )
