"""Run peers in one process over loopback with simulated faults."""

import asyncio
import time
from asyncio import Runner
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from random import Random
from typing import Any
from typing import TypeVar

from behave.runner import Context
from lacewing_bench.fakes import FakeStore
from lacewing_common.document import Document
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.document import part_digest
from lacewing_common.document_objects import encode_head
from lacewing_common.document_objects import head_object
from lacewing_common.document_objects import HEADS
from lacewing_common.document_objects import PARTS
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.settings import PeerSettings
from lacewing_common.settings import Settings
from lacewing_common.settings import WorkerSettings
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import StoreError
from lacewing_common.store import Vm
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire_peers import FETCH_METHOD
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord
from lacewing_daemon._peers_server import PeersServer
from lacewing_daemon.peers import PeerCallFailed
from lacewing_daemon.peers import PeerChannels
from lacewing_daemon.peers import PeerNode
from lacewing_daemon.peers import PlatformReader

T = TypeVar('T')

BUNDLE = DocumentName(DocumentKind.BUNDLE, 'bundle')
TIMEOUT_S = 20.0
_POLL_S = 0.01
_INVALID_PART = b'wrong'
_KILLED_GROUP = -1
FAST_SETTINGS = PeerSettings(
    exchange_s=0.05, probe_s=0.3, suspect_s=0.6, vm_list_s=0.05, readers=1
)
_ZONES = (('r1', 'z1'), ('r1', 'z2'), ('r2', 'z3'), ('r2', 'z4'))


class Network:
    """Interrupt paths between peers and lose a fraction of messages."""

    def __init__(self) -> None:
        self._rng = Random(6)
        self._groups: dict[str, int] = {}
        self._interrupted_paths: set[tuple[str, str]] = set()
        self._loss_fraction = 0.0
        self.fetch_delay_s = 0.0
        self.parts_fetched: list[str] = []
        self.interrupted_calls = 0

    def set_group(self, address: str, group: int) -> None:
        """Set the group of an address; groups are mutually unreachable."""
        self._groups[address] = group

    def interrupt(self, one: str, other: str) -> None:
        """Interrupt the path between two addresses."""
        self._interrupted_paths.add((one, other))
        self._interrupted_paths.add((other, one))

    def set_loss(self, fraction: float) -> None:
        """Lose this fraction of the calls and of the answers."""
        self._loss_fraction = fraction

    def delivers(self, caller: str, callee: str) -> bool:
        """Return, at random for losses, whether a message is delivered."""
        if (caller, callee) in self._interrupted_paths:
            self.interrupted_calls += 1
            return False
        if self._groups.get(caller, 0) != self._groups.get(callee, 0):
            return False
        return self._rng.random() >= self._loss_fraction


class _FaultyChannels(PeerChannels):
    def __init__(self, network: Network) -> None:
        super().__init__(None)
        self._network = network
        self.address = ''

    async def call(
        self,
        address: str,
        method: str,
        request: object,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | PeerCallFailed:
        if not self._network.delivers(self.address, address):
            return PeerCallFailed('call lost')
        if method == FETCH_METHOD:
            digests = getattr(request, 'digests', ())
            self._network.parts_fetched.extend(digests)
            await asyncio.sleep(self._network.fetch_delay_s)
        answer = await super().call(
            address, method, request, reply_type, timeout_s
        )
        if not self._network.delivers(address, self.address):
            return PeerCallFailed('answer lost')
        return answer


class Peer:
    """Run one peer and record the bundle versions it accepted."""

    def __init__(
        self,
        name: str,
        index: int,
        contacts: list[str],
        network: Network,
        store: FakeStore | None,
    ) -> None:
        self.name = name
        self._store = store
        self._reader_task: asyncio.Task[None] | None = None
        self._platform_reader: PlatformReader | None = None
        self.versions: list[int] = []
        self._network = network
        region, zone = _ZONES[index % len(_ZONES)]
        role = Role.ROUTER if index % 3 == 0 else Role.AGENT
        settings = Settings(
            role=role,
            process_id=name,
            place=Place(region, zone),
            peers=FAST_SETTINGS,
            worker=WorkerSettings(url='http://127.0.0.1:1', service='s'),
        )
        self.channels = _FaultyChannels(network)
        self.node = PeerNode(
            ProcessName(name, new_incarnation()),
            settings,
            {DocumentKind.BUNDLE: self._validate},
            lambda: tuple(contacts),
            Random(index),
            self.channels,
        )
        self.validates_bundles = True
        self.node.documents.on_change(
            DocumentKind.BUNDLE, self._record_version
        )
        self._server = PeersServer(settings, [self.node.service])

    @property
    def address(self) -> str:
        """Return the address on which it listens."""
        return self._server.address

    @property
    def version(self) -> int:
        """Return the active version of the bundle, 0 for none."""
        return self.node.documents.version(BUNDLE)

    @property
    def is_reading(self) -> bool:
        """Return whether it watches the platform."""
        return (
            self._platform_reader is not None
            and self._platform_reader.is_reading
        )

    async def listen(self, group: int) -> None:
        """Start the listener without calling any peer."""
        await self._server.start()
        self.channels.address = self.address
        self._network.set_group(self.address, group)

    async def join(self) -> None:
        """Discover peers and join the fleet."""
        await self.node.discover()
        self.node.start(self.address)
        if self._store is not None:
            self._reader_task = asyncio.create_task(
                self._read_platform(self._store)
            )

    async def kill(self) -> None:
        """Stop without notice to the peers."""
        # The server still answers over its open connections.
        self._network.set_group(self.address, _KILLED_GROUP)
        self._server.stop()
        if self._reader_task is not None:
            self._reader_task.cancel()
            await asyncio.wait([self._reader_task])
        await self.node.close()
        await self._server.wait_closed()

    async def _read_platform(self, store: FakeStore) -> None:
        self._platform_reader = PlatformReader(
            self.node,
            store,
            FAST_SETTINGS,
            _watched_documents,
            _ignore_list,
            Random(7),
        )
        await self._platform_reader.run(contacts=1)

    def _validate(self, document: Document) -> Refusal | None:
        if self.validates_bundles and _INVALID_PART in document.parts:
            return not_run(Reason.BAD_REQUEST, 'not signed off')
        return None

    def _record_version(self, document: Document) -> None:
        self.versions.append(document.head.version)


class PeersBench:
    """Run peers from the steps of one scenario."""

    def __init__(self, context: Context) -> None:
        self._runner: Runner = context.resources.enter_context(Runner())
        context.resources.callback(self.close)
        self.network = Network()
        self.contacts: list[str] = []
        self.peers: dict[str, Peer] = {}
        self.store: FakeStore | None = None
        self._loop_blocker: asyncio.Task[None] | None = None

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine to its end in the scenario's event loop."""
        result: T = self._runner.run(coroutine)
        return result

    def start_loop_blocker(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task that blocks the event loop of the peers."""
        self._loop_blocker = self._runner.get_loop().create_task(coroutine)

    def start(self, number: int) -> None:
        """Start peers that have the first one as their seed."""
        for index in range(number):
            self.add(f'p{index + 1}', index)
        self.until_all_know(number)

    def add(self, name: str, index: int, group: int = 0) -> Peer:
        """Start one peer in a group of the network and let it join."""
        peer = self.listen(name, index, group)
        self.run(peer.join())
        return peer

    def listen(self, name: str, index: int, group: int = 0) -> Peer:
        """Start the listener of a peer that joins later."""
        peer = Peer(name, index, self.contacts, self.network, self.store)
        self.peers[name] = peer
        self.run(peer.listen(group))
        if not self.contacts:
            self.contacts.append(peer.address)
        return peer

    def kill(self, name: str) -> Peer:
        """Kill a peer without notice to its peers."""
        peer = self.peers.pop(name)
        self.run(peer.kill())
        return peer

    def accept(self, name: str, version: int, *parts: bytes) -> None:
        """Let one peer accept a bundle as if read from the platform."""
        found = self.offer(name, version, *parts)
        assert found is True, found

    def offer(self, name: str, version: int, *parts: bytes) -> bool | Refusal:
        """Offer a bundle to one peer and return its answer."""
        return self.run(self._accept_bundle(name, version, parts))

    def write_bundle(self, version: int) -> None:
        """Write a bundle to the platform as an operator's tool does."""
        assert self.store is not None
        part = b'bundle %d' % version
        digest = part_digest(part)
        head = DocumentHead(BUNDLE, version, (digest,))
        self.run(self.store.put(PARTS, digest, part, MUST_NOT_EXIST))
        found = self.run(self.store.get(HEADS, head_object(BUNDLE)))
        expect = 0 if isinstance(found, StoreError) else found.version
        written = self.run(
            self.store.put(
                HEADS, head_object(BUNDLE), encode_head(head), expect
            )
        )
        assert not isinstance(written, StoreError), written

    def until(self, condition: Callable[[], bool], what: str) -> None:
        """Run the peers until a condition holds."""
        self.run(_until(condition, what))

    def until_all_know(self, number: int) -> None:
        """Wait until each peer knows this many live members."""

        def all_known() -> bool:
            return all(
                peer.node.counts.alive == number
                for peer in self.peers.values()
            )

        self.until(all_known, f'{number} members known to all peers')

    def until_version(self, version: int) -> None:
        """Wait until a version is active at all peers."""

        def is_active() -> bool:
            return all(peer.version == version for peer in self.peers.values())

        self.until(is_active, f'version {version} at all peers')

    def until_all_agree(
        self, name: str, matches: Callable[[MemberRecord], bool]
    ) -> None:
        """Wait until the records of a peer at all other peers match."""

        def all_match() -> bool:
            for peer in self.peers.values():
                record = peer.node.table.get(name)
                if peer.name != name and (
                    record is None or not matches(record)
                ):
                    return False
            return True

        self.until(all_match, f'agreement on {name}')

    def any_peer_considers(self, name: str, liveness: Liveness) -> bool:
        """Return whether any peer has a record with this liveness."""
        for peer in self.peers.values():
            record = peer.node.table.get(name)
            if record is not None and record.liveness is liveness:
                return True
        return False

    def close(self) -> None:
        """Kill all peers."""
        if self._loop_blocker is not None:
            self._loop_blocker.cancel()
        for name in list(self.peers):
            self.kill(name)

    async def _accept_bundle(
        self, name: str, version: int, parts: tuple[bytes, ...]
    ) -> bool | Refusal:
        # Runs in the event loop because accepting wakes the gossip task.
        digests = tuple(part_digest(part) for part in parts)
        head = DocumentHead(BUNDLE, version, digests)
        parts_by_digest: Mapping[str, bytes] = dict(
            zip(digests, parts, strict=True)
        )
        return self.peers[name].node.documents.accept(head, parts_by_digest)


def _watched_documents() -> tuple[DocumentName, ...]:
    return (BUNDLE,)


def _ignore_list(_vms: Iterable[Vm]) -> None:
    """Ignore the VM list; the scenarios check the VM notes."""


async def _until(condition: Callable[[], bool], what: str) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, f'no {what} in {TIMEOUT_S} s'
        await asyncio.sleep(_POLL_S)
