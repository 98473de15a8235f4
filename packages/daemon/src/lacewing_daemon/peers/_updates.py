"""Decide what to tell in an exchange and take what is heard."""

import asyncio
import time

from lacewing_common.document import DocumentHead
from lacewing_common.wire_peers import Exchange
from lacewing_common.wire_peers import HeadNote
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord
from lacewing_common.wire_peers import TableReply
from lacewing_common.wire_peers import VmNote

from lacewing_daemon.peers._dissemination import DisseminationQueue
from lacewing_daemon.peers._fetcher import Fetcher
from lacewing_daemon.peers._replicas import DocumentReplicas
from lacewing_daemon.peers._table import MemberTable
from lacewing_daemon.peers._vm_notes import VmNotes

_MAX_RECORDS = 8
_MAX_NOTES = 8
_RECENT_HEAD_PERIODS = 30.0
_MAX_RECENT_HEADS = 8


class GossipUpdates:
    """Fill and read exchanges; set ``urgent`` for what must not wait.

    A leaving process or VM, a refutation and a new document are told at
    once to a few peers, who do the same; the rest rides on the next calls.
    """

    def __init__(
        self,
        table: MemberTable,
        notes: VmNotes,
        replicas: DocumentReplicas,
        fetcher: Fetcher,
        exchange_s: float,
    ) -> None:
        self._table = table
        self._notes = notes
        self._replicas = replicas
        self._fetcher = fetcher
        self._records: DisseminationQueue[str] = DisseminationQueue()
        self._vm_notes: DisseminationQueue[str] = DisseminationQueue()
        self._accepted_at_s: dict[HeadNote, float] = {}
        self._leaving: set[str] = set()
        self._recent_s = _RECENT_HEAD_PERIODS * exchange_s
        self._repairing = False
        self.urgent = asyncio.Event()
        table.on_change(self._record_changed)
        notes.on_change(self._note_changed)
        replicas.on_accept(self._accepted)

    @property
    def pending_count(self) -> int:
        """Return how many pieces of news are still being told."""
        heads = len(self._recent_heads())
        return len(self._records) + len(self._vm_notes) + heads

    def make_request(self, peer: MemberRecord | None = None) -> Exchange:
        """Make the message of a call to a peer."""
        return self._message(self._recent_heads(), peer)

    def make_reply(self, call: Exchange) -> Exchange:
        """Take a call's message and make the reply."""
        self.apply(call)
        heads: tuple[HeadNote, ...] = ()
        if call.heads_hash != self._replicas.hash:
            heads = self._replicas.head_notes()
        return self._message(heads, call.sender)

    def apply(self, message: Exchange) -> None:
        """Take what a peer told."""
        self._table.merge_all(message.records)
        self._notes.merge_all(message.vm_notes)
        sender = message.sender
        if sender is None or not sender.address:
            return
        self._table.merge(sender)
        self._fetcher.offer(sender.address, message.heads)

    def apply_table(self, reply: TableReply) -> None:
        """Take a piece of a peer's table, and tell none of it on.

        It is no news to others. Told on, the table of a cold process would
        fill its messages for long, and real news would wait behind it.
        """
        self._repairing = True
        try:
            self._table.merge_all(reply.records)
        finally:
            self._repairing = False
        self._notes.merge_all(reply.vm_notes)

    def _message(
        self, heads: tuple[HeadNote, ...], peer: MemberRecord | None
    ) -> Exchange:
        records: list[MemberRecord] = []
        doubted = None if peer is None else self._table.get(peer.process_id)
        if doubted is not None and doubted.liveness is not Liveness.ALIVE:
            # Whoever is thought dead hears it from nobody else, as nobody
            # calls it; without this it could never refute.
            records.append(doubted)
        for process_id in self._records.next_batch(_MAX_RECORDS):
            record = self._table.get(process_id)
            if record is not None:
                records.append(record)
        notes: list[VmNote] = []
        for address in self._vm_notes.next_batch(_MAX_NOTES):
            note = self._notes.get(address)
            if note is not None:
                notes.append(note)
        me = self._table.own_record
        return Exchange(
            me if me.address else None,
            tuple(records),
            tuple(notes),
            heads,
            self._table.hash,
            self._replicas.hash,
        )

    def _recent_heads(self) -> tuple[HeadNote, ...]:
        after_s = time.monotonic() - self._recent_s
        for note, accepted_at_s in list(self._accepted_at_s.items()):
            held = self._replicas.version(note.document)
            if accepted_at_s < after_s or note.version < held:
                del self._accepted_at_s[note]
        recent = list(self._accepted_at_s)
        return tuple(recent[-_MAX_RECENT_HEADS:])

    def _record_changed(self, record: MemberRecord) -> None:
        is_me = record.process_id == self._table.own_record.process_id
        if is_me or not self._repairing:
            self._records.add(record.process_id, self._table.live_count)
        left_now = record.leaving and record.process_id not in self._leaving
        if left_now:
            self._leaving.add(record.process_id)
        if not record.leaving or record.liveness is Liveness.DEAD:
            self._leaving.discard(record.process_id)
        if left_now or (is_me and record.address):
            self.urgent.set()

    def _note_changed(self, note: VmNote) -> None:
        self._vm_notes.add(note.address, self._table.live_count)
        self.urgent.set()

    def _accepted(self, head: DocumentHead) -> None:
        note = HeadNote(head.document, head.version)
        self._accepted_at_s[note] = time.monotonic()
        self.urgent.set()
