"""Run several peers in one process over loopback, with faults between."""

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
PATIENCE_S = 20.0
_POLL_S = 0.01
_WRONG = b'wrong'
_GRAVE = -1
QUICK = PeerSettings(
    exchange_s=0.05, probe_s=0.3, suspect_s=0.6, vm_list_s=0.05, readers=1
)
_ZONES = (('r1', 'z1'), ('r1', 'z2'), ('r2', 'z3'), ('r2', 'z4'))


class Network:
    """Cut paths between peers and lose a share of the calls."""

    def __init__(self) -> None:
        self._rng = Random(6)
        self._groups: dict[str, int] = {}
        self._cut_pairs: set[tuple[str, str]] = set()
        self._lose_share = 0.0
        self.fetch_s = 0.0
        self.parts_fetched: list[str] = []
        self.refused = 0

    def put(self, address: str, group: int) -> None:
        """Put an address into a group; only its members hear each other."""
        self._groups[address] = group

    def cut(self, one: str, other: str) -> None:
        """Cut the path between two addresses."""
        self._cut_pairs.add((one, other))
        self._cut_pairs.add((other, one))

    def lose(self, share: float) -> None:
        """Lose a share of the calls, and as many of the answers."""
        self._lose_share = share

    def passes(self, caller: str, callee: str) -> bool:
        """Draw whether a message gets through."""
        if (caller, callee) in self._cut_pairs:
            self.refused += 1
            return False
        if self._groups.get(caller, 0) != self._groups.get(callee, 0):
            return False
        return self._rng.random() >= self._lose_share


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
        if not self._network.passes(self.address, address):
            return PeerCallFailed('cut')
        if method == FETCH_METHOD:
            digests = getattr(request, 'digests', ())
            self._network.parts_fetched.extend(digests)
            await asyncio.sleep(self._network.fetch_s)
        answer = await super().call(
            address, method, request, reply_type, timeout_s
        )
        if not self._network.passes(address, self.address):
            return PeerCallFailed('answer lost')
        return answer


class Peer:
    """Hold one peer, its server and the versions it had in force."""

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
        self._reader: asyncio.Task[None] | None = None
        self._platform: PlatformReader | None = None
        self.versions: list[int] = []
        self._network = network
        region, zone = _ZONES[index % len(_ZONES)]
        role = Role.ROUTER if index % 3 == 0 else Role.AGENT
        settings = Settings(
            role=role,
            process_id=name,
            place=Place(region, zone),
            peers=QUICK,
            worker=WorkerSettings(url='http://127.0.0.1:1', service='s'),
        )
        self.channels = _FaultyChannels(network)
        self.node = PeerNode(
            ProcessName(name, new_incarnation()),
            settings,
            {DocumentKind.BUNDLE: self._guard},
            lambda: tuple(contacts),
            Random(index),
            self.channels,
        )
        self.guard_strict = True
        self.node.documents.on_change(DocumentKind.BUNDLE, self._note)
        self._server = PeersServer(settings, [self.node.service])

    @property
    def address(self) -> str:
        """Return the address it listens on."""
        return self._server.address

    @property
    def version(self) -> int:
        """Return the version of the bundle in force, 0 for none."""
        return self.node.documents.version(BUNDLE)

    @property
    def reading(self) -> bool:
        """Tell whether it watches the platform."""
        return self._platform is not None and self._platform.is_reading

    async def listen(self, group: int) -> None:
        """Listen, without a word to anybody yet."""
        await self._server.start()
        self.channels.address = self.address
        self._network.put(self.address, group)

    async def join(self) -> None:
        """Look around and join."""
        await self.node.discover()
        self.node.start(self.address)
        if self._store is not None:
            self._reader = asyncio.create_task(self._read(self._store))

    async def kill(self) -> None:
        """End without a word."""
        # The server goes on answering over connections that are open.
        self._network.put(self.address, _GRAVE)
        self._server.stop()
        if self._reader is not None:
            self._reader.cancel()
            await asyncio.wait([self._reader])
        await self.node.close()
        await self._server.wait_closed()

    async def _read(self, store: FakeStore) -> None:
        self._platform = PlatformReader(
            self.node, store, QUICK, _followed, _take_no_list, Random(7)
        )
        await self._platform.run(contacts=1)

    def _guard(self, document: Document) -> Refusal | None:
        if self.guard_strict and _WRONG in document.parts:
            return not_run(Reason.BAD_REQUEST, 'not signed off')
        return None

    def _note(self, document: Document) -> None:
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

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine to its end in the scenario's event loop."""
        result: T = self._runner.run(work)
        return result

    def start_loop_blocker(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that blocks the event loop of the peers."""
        self._loop_blocker = self._runner.get_loop().create_task(work)

    def start(self, number: int) -> None:
        """Start peers that know the first as their seed."""
        for index in range(number):
            self.add(f'p{index + 1}', index)
        self.until_all_know(number)

    def add(self, name: str, index: int, group: int = 0) -> Peer:
        """Start one peer, in a group of the network."""
        peer = self.listen(name, index, group)
        self.run(peer.join())
        return peer

    def listen(self, name: str, index: int, group: int = 0) -> Peer:
        """Have one peer listen that joins later."""
        peer = Peer(name, index, self.contacts, self.network, self.store)
        self.peers[name] = peer
        self.run(peer.listen(group))
        if not self.contacts:
            self.contacts.append(peer.address)
        return peer

    def kill(self, name: str) -> Peer:
        """End a peer without a word."""
        peer = self.peers.pop(name)
        self.run(peer.kill())
        return peer

    def roll(self, name: str, version: int, *parts: bytes) -> None:
        """Have one peer take a bundle, as if it had read the platform."""
        found = self.offer(name, version, *parts)
        assert found is True, found

    def offer(self, name: str, version: int, *parts: bytes) -> bool | Refusal:
        """Give a bundle to one peer and return what it says."""
        return self.run(self._accept(name, version, parts))

    def write_roll(self, version: int) -> None:
        """Write a bundle to the platform, as an operator's tool does."""
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
        """Let the peers run until a condition holds."""
        self.run(_until(condition, what))

    def until_all_know(self, number: int) -> None:
        """Wait until each peer knows so many living members."""

        def complete() -> bool:
            return all(
                peer.node.counts.alive == number
                for peer in self.peers.values()
            )

        self.until(complete, f'{number} members known to all')

    def until_version(self, version: int) -> None:
        """Wait until a version is in force at all peers."""

        def in_force() -> bool:
            return all(peer.version == version for peer in self.peers.values())

        self.until(in_force, f'version {version} everywhere')

    def until_all_think(
        self, name: str, fits: Callable[[MemberRecord], bool]
    ) -> None:
        """Wait until what all others hold of a peer fits."""

        def fit() -> bool:
            for peer in self.peers.values():
                record = peer.node.table.get(name)
                if peer.name != name and (record is None or not fits(record)):
                    return False
            return True

        self.until(fit, f'agreement on {name}')

    def some_think(self, name: str, liveness: Liveness) -> bool:
        """Tell whether any peer thinks so of another."""
        for peer in self.peers.values():
            record = peer.node.table.get(name)
            if record is not None and record.liveness is liveness:
                return True
        return False

    def close(self) -> None:
        """End all peers."""
        if self._loop_blocker is not None:
            self._loop_blocker.cancel()
        for name in list(self.peers):
            self.kill(name)

    async def _accept(
        self, name: str, version: int, parts: tuple[bytes, ...]
    ) -> bool | Refusal:
        # In the event loop: accepting wakes the task that tells the peers.
        digests = tuple(part_digest(part) for part in parts)
        head = DocumentHead(BUNDLE, version, digests)
        held: Mapping[str, bytes] = dict(zip(digests, parts, strict=True))
        return self.peers[name].node.documents.accept(head, held)


def _followed() -> tuple[DocumentName, ...]:
    return (BUNDLE,)


def _take_no_list(_vms: Iterable[Vm]) -> None:
    """Leave it to the notes what the list says."""


async def _until(condition: Callable[[], bool], what: str) -> None:
    deadline_s = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline_s, f'no {what} in {PATIENCE_S} s'
        await asyncio.sleep(_POLL_S)
