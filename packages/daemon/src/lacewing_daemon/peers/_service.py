"""Serve the calls of peers over gRPC."""

from random import Random
from typing import Any

from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentName
from lacewing_common.wire_peers import Exchange
from lacewing_common.wire_peers import EXCHANGE_METHOD
from lacewing_common.wire_peers import Fetch
from lacewing_common.wire_peers import FETCH_METHOD
from lacewing_common.wire_peers import Fetched
from lacewing_common.wire_peers import Probe
from lacewing_common.wire_peers import PROBE_METHOD
from lacewing_common.wire_peers import ProbeReply
from lacewing_common.wire_peers import TABLE_METHOD
from lacewing_common.wire_peers import TableQuery
from lacewing_common.wire_peers import TableReply

from lacewing_daemon.peers._channels import PeerCallFailed
from lacewing_daemon.peers._channels import PeerChannels
from lacewing_daemon.peers._replicas import DocumentReplicas
from lacewing_daemon.peers._running_clock import RunningClock
from lacewing_daemon.peers._table import BUCKETS
from lacewing_daemon.peers._table import MemberTable
from lacewing_daemon.peers._updates import GossipUpdates
from lacewing_daemon.peers._vm_notes import VmNotes

# About 20 KB. A starting process receives 1,220 members in ten calls, and no
# reply takes the 3 s that the sending peer allows for it.
_MAX_TABLE_RECORDS = 128
_MAX_FETCH_BYTES = 256 * 1024


class PeerService:
    """Serve the methods by which peers exchange updates."""

    def __init__(
        self,
        updates: GossipUpdates,
        table: MemberTable,
        vm_notes: VmNotes,
        replicas: DocumentReplicas,
        channels: PeerChannels,
        probe_timeout_s: float,
        rng: Random,
        clock: RunningClock,
    ) -> None:
        self._clock = clock
        self._updates = updates
        self._table = table
        self._vm_notes = vm_notes
        self._replicas = replicas
        self._channels = channels
        self._probe_timeout_s = probe_timeout_s
        self._rng = rng
        self.last_call_s = 0.0

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, as grpclib expects."""
        return {
            EXCHANGE_METHOD: _unary(self._exchange, Exchange, Exchange),
            PROBE_METHOD: _unary(self._probe, Probe, ProbeReply),
            TABLE_METHOD: _unary(self._send_table, TableQuery, TableReply),
            FETCH_METHOD: _unary(self._fetch, Fetch, Fetched),
        }

    async def _exchange(self, stream: Stream[Exchange, Exchange]) -> None:
        call = await stream.recv_message()
        if call is None:
            return
        self.last_call_s = self._clock.now_s
        await stream.send_message(self._updates.make_reply(call))

    async def _probe(self, stream: Stream[Probe, ProbeReply]) -> None:
        call = await stream.recv_message()
        if call is None:
            return
        answer = await self._channels.call(
            call.address,
            EXCHANGE_METHOD,
            self._updates.make_request(),
            Exchange,
            self._clock.extend_timeout(self._probe_timeout_s),
        )
        if isinstance(answer, PeerCallFailed):
            await stream.send_message(ProbeReply(False))
            return
        self._updates.apply(answer)
        await stream.send_message(ProbeReply(True))

    async def _send_table(
        self, stream: Stream[TableQuery, TableReply]
    ) -> None:
        call = await stream.recv_message()
        if call is None:
            return
        first = self._rng.randrange(BUCKETS)
        records = self._table.records_in_differing_buckets(
            call.hashes, _MAX_TABLE_RECORDS, first
        )
        await stream.send_message(TableReply(records, self._vm_notes.all()))

    async def _fetch(self, stream: Stream[Fetch, Fetched]) -> None:
        call = await stream.recv_message()
        if call is None:
            return
        parts: list[bytes] = []
        size = 0
        for digest in call.digests:
            part = self._replicas.part(digest)
            if part is None or (parts and size + len(part) > _MAX_FETCH_BYTES):
                break
            parts.append(part)
            size += len(part)
        head = self._head(call.document)
        await stream.send_message(Fetched(head, tuple(parts)))

    def _head(self, name: DocumentName) -> DocumentHead | None:
        document = self._replicas.get(name)
        return None if document is None else document.head


def _unary(function: Any, call: type, reply: type) -> Handler:
    return Handler(function, Cardinality.UNARY_UNARY, call, reply)
