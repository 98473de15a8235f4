"""Pull newer documents from the peers that offer them."""

import asyncio
import time
from collections.abc import Iterable
from random import Random

from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentName
from lacewing_common.document import part_digest
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import Refusal
from lacewing_common.wire_peers import Fetch
from lacewing_common.wire_peers import FETCH_METHOD
from lacewing_common.wire_peers import Fetched
from lacewing_common.wire_peers import HeadNote

from lacewing_daemon.peers._channels import PeerCallFailed
from lacewing_daemon.peers._channels import PeerChannels
from lacewing_daemon.peers._replicas import DocumentReplicas

# A peer that is there answers 256 KiB within this on the narrowest links in
# use (5 Mbit/s, 0.4 s). A larger part, or a link that others fill, takes
# longer: each fetch that gets no answer doubles the time of the next one of
# its document, up to the second bound.
CALL_TIMEOUT_S = 3.0
MOST_CALL_TIMEOUT_S = 24.0
_MAX_OFFERERS = 4
# A version that the guard refused is not fetched again for so long: else
# each exchange with a process that holds it would fetch it anew.
_REFUSED_S = 10.0
_MAX_REFUSED = 64

_log = get_log(Part.BUNDLE)


class Fetcher:
    """Run at most one fetch of each document; try several offerers.

    Parts that have come are kept for the next fetch, and the time for a call
    grows after one that got no answer. Otherwise a document that takes
    longer than that on a narrow link would be begun anew for ever.
    """

    def __init__(
        self, replicas: DocumentReplicas, channels: PeerChannels, rng: Random
    ) -> None:
        self._replicas = replicas
        self._channels = channels
        self._rng = rng
        self._offers: dict[DocumentName, dict[str, int]] = {}
        self._tasks: dict[DocumentName, asyncio.Task[None]] = {}
        self._refused: dict[HeadNote, float] = {}
        self._kept: dict[DocumentName, dict[str, bytes]] = {}
        self._patience_s: dict[DocumentName, float] = {}

    @property
    def fetching(self) -> bool:
        """Tell whether a fetch is under way."""
        return bool(self._tasks)

    def offer(self, address: str, notes: Iterable[HeadNote]) -> None:
        """Fetch what a peer holds in a higher version."""
        for note in notes:
            if note.version <= self._replicas.version(note.document):
                continue
            if self._lately_refused(note):
                continue
            offers = self._offers.setdefault(note.document, {})
            if len(offers) < _MAX_OFFERERS or address in offers:
                offers[address] = note.version
            if note.document not in self._tasks:
                task = asyncio.create_task(self._run(note.document))
                self._tasks[note.document] = task

    async def wait_idle(self, longest_s: float) -> None:
        """Wait until no fetch is under way."""
        tasks = list(self._tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=longest_s)

    async def close(self) -> None:
        """Stop all fetches."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, name: DocumentName) -> None:
        try:
            offers = self._offers[name]
            while offers:
                address = max(offers, key=offers.__getitem__)
                version = offers.pop(address)
                if version > self._replicas.version(name):
                    await self._fetch(name, address)
        finally:
            del self._tasks[name]
            self._offers.pop(name, None)

    async def _fetch(self, name: DocumentName, address: str) -> None:
        answer = await self._call(address, Fetch(name))
        if answer is None or answer.head is None:
            return
        head = answer.head
        parts = await self._fetch_parts(head, address)
        if parts is None:
            return
        self._patience_s.pop(name, None)
        accepted = self._replicas.accept(head, parts)
        if isinstance(accepted, Refusal):
            self._note_refused(HeadNote(name, head.version))

    async def _fetch_parts(
        self, head: DocumentHead, address: str
    ) -> dict[str, bytes] | None:
        """Fetch the missing parts only; None if the peer has them not."""
        parts: dict[str, bytes] = {}
        wanted = []
        kept = self._kept.pop(head.document, {})
        for digest in self._replicas.missing(head):
            if digest in kept:
                parts[digest] = kept[digest]
                continue
            wanted.append(digest)
        while wanted:
            answer = await self._call(
                address, Fetch(head.document, tuple(wanted))
            )
            if answer is None or not answer.parts:
                self._keep(head.document, parts)
                return None
            for digest, part in zip(wanted, answer.parts, strict=False):
                parts[digest] = part
            wanted = wanted[len(answer.parts) :]
        return parts

    def _keep(self, name: DocumentName, parts: dict[str, bytes]) -> None:
        # A wrong part, kept, would spoil the next fetch, too.
        kept: dict[str, bytes] = {}
        for digest, part in parts.items():
            if part_digest(part) == digest:
                kept[digest] = part
        self._kept[name] = kept

    async def _call(self, address: str, request: Fetch) -> Fetched | None:
        patience_s = self._patience_s.get(request.document, CALL_TIMEOUT_S)
        answer = await self._channels.call(
            address, FETCH_METHOD, request, Fetched, patience_s
        )
        if isinstance(answer, PeerCallFailed):
            _log.debug('Fetch failed.', error=answer.message)
            self._patience_s[request.document] = min(
                2 * patience_s, MOST_CALL_TIMEOUT_S
            )
            return None
        return answer

    def _lately_refused(self, note: HeadNote) -> bool:
        until_s = self._refused.get(note)
        return until_s is not None and time.monotonic() < until_s

    def _note_refused(self, note: HeadNote) -> None:
        if len(self._refused) >= _MAX_REFUSED:
            self._refused.clear()
        # Drawn, so that all that refuse a version don't come back together.
        wait_s = self._rng.uniform(0.5, 1.5) * _REFUSED_S
        self._refused[note] = time.monotonic() + wait_s
