"""Select the updates to send in exchanges and apply received ones."""

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
# Exchange periods for which an accepted head is sent to peers.
_RECENT_HEAD_PERIODS = 30.0
_MAX_RECENT_HEADS = 8


class GossipUpdates:
    """Make and apply exchange messages; set ``urgent`` for urgent updates.

    A leaving process, a change of a VM note, a refutation and a new document
    are urgent: they are sent to a few peers immediately, which do the same.
    Other updates are sent with the next regular calls.
    """

    def __init__(
        self,
        table: MemberTable,
        vm_notes: VmNotes,
        replicas: DocumentReplicas,
        fetcher: Fetcher,
        exchange_s: float,
    ) -> None:
        self._table = table
        self._vm_notes = vm_notes
        self._replicas = replicas
        self._fetcher = fetcher
        self._record_queue: DisseminationQueue[str] = DisseminationQueue()
        self._note_queue: DisseminationQueue[str] = DisseminationQueue()
        self._accepted_at_s: dict[HeadNote, float] = {}
        self._leaving: set[str] = set()
        self._recent_s = _RECENT_HEAD_PERIODS * exchange_s
        self._merging_table = False
        self.urgent = asyncio.Event()
        table.on_change(self._on_record_change)
        vm_notes.on_change(self._on_note_change)
        replicas.on_accept(self._on_head_accepted)

    @property
    def pending_count(self) -> int:
        """Return the number of updates still being disseminated."""
        heads = len(self._recent_heads())
        return len(self._record_queue) + len(self._note_queue) + heads

    def make_request(self, peer: MemberRecord | None = None) -> Exchange:
        """Return the message for a call to a peer."""
        return self._make_message(self._recent_heads(), peer)

    def make_reply(self, call: Exchange) -> Exchange:
        """Apply the message of a call and return the reply."""
        self.apply(call)
        heads: tuple[HeadNote, ...] = ()
        if call.heads_hash != self._replicas.hash:
            heads = self._replicas.head_notes()
        return self._make_message(heads, call.sender)

    def apply(self, message: Exchange) -> None:
        """Apply the message of a peer."""
        self._table.merge_all(message.records)
        self._vm_notes.merge_all(message.vm_notes)
        sender = message.sender
        if sender is None or not sender.address:
            return
        self._table.merge(sender)
        self._fetcher.offer(sender.address, message.heads)

    def apply_table(self, reply: TableReply) -> None:
        """Merge part of a peer's table without disseminating its records.

        Other peers know them already. Otherwise the table that a starting
        process pulls would fill its messages for a long time and delay new
        updates.
        """
        self._merging_table = True
        try:
            self._table.merge_all(reply.records)
        finally:
            self._merging_table = False
        self._vm_notes.merge_all(reply.vm_notes)

    def _make_message(
        self, heads: tuple[HeadNote, ...], peer: MemberRecord | None
    ) -> Exchange:
        records: list[MemberRecord] = []
        suspected = None if peer is None else self._table.get(peer.process_id)
        if suspected is not None and suspected.liveness is not Liveness.ALIVE:
            # No process has a dead member as its partner, so the member can
            # learn only from this message that it has to refute that state.
            records.append(suspected)
        for process_id in self._record_queue.next_batch(_MAX_RECORDS):
            record = self._table.get(process_id)
            if record is not None:
                records.append(record)
        notes: list[VmNote] = []
        for address in self._note_queue.next_batch(_MAX_NOTES):
            note = self._vm_notes.get(address)
            if note is not None:
                notes.append(note)
        own_record = self._table.own_record
        return Exchange(
            own_record if own_record.address else None,
            tuple(records),
            tuple(notes),
            heads,
            self._table.hash,
            self._replicas.hash,
        )

    def _recent_heads(self) -> tuple[HeadNote, ...]:
        after_s = time.monotonic() - self._recent_s
        for note, accepted_at_s in list(self._accepted_at_s.items()):
            stored_version = self._replicas.version(note.document)
            if accepted_at_s < after_s or note.version < stored_version:
                del self._accepted_at_s[note]
        recent = list(self._accepted_at_s)
        return tuple(recent[-_MAX_RECENT_HEADS:])

    def _on_record_change(self, record: MemberRecord) -> None:
        is_own = record.process_id == self._table.own_record.process_id
        if is_own or not self._merging_table:
            self._record_queue.add(record.process_id, self._table.live_count)
        starts_leaving = (
            record.leaving and record.process_id not in self._leaving
        )
        if starts_leaving:
            self._leaving.add(record.process_id)
        if not record.leaving or record.liveness is Liveness.DEAD:
            self._leaving.discard(record.process_id)
        if starts_leaving or (is_own and record.address):
            self.urgent.set()

    def _on_note_change(self, note: VmNote) -> None:
        self._note_queue.add(note.address, self._table.live_count)
        self.urgent.set()

    def _on_head_accepted(self, head: DocumentHead) -> None:
        note = HeadNote(head.document, head.version)
        self._accepted_at_s[note] = time.monotonic()
        self.urgent.set()
