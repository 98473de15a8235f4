"""Fetch newer documents from the peers that offer them."""

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

# On the slowest links in use (5 Mbit/s) a reachable peer answers with 256 KiB
# in 0.4 s. A larger part or a link with other traffic takes longer: each
# unanswered call doubles the timeout of the next call for its document, up to
# MAX_CALL_TIMEOUT_S.
CALL_TIMEOUT_S = 3.0
MAX_CALL_TIMEOUT_S = 24.0
_MAX_OFFERS = 4
# Mean time before a version that its validator refused is fetched again.
# Without it, each exchange with a process that stores it would fetch it.
_REFUSED_RETRY_S = 10.0
_MAX_REFUSED = 64

_log = get_log(Part.BUNDLE)


class Fetcher:
    """Run at most one fetch per document; try several offering peers.

    Parts of a failed fetch are kept for the next one, and the timeout grows
    after an unanswered call. Otherwise the fetch of a document that exceeds
    the timeout on a slow link would restart forever.
    """

    def __init__(
        self, replicas: DocumentReplicas, channels: PeerChannels, rng: Random
    ) -> None:
        self._replicas = replicas
        self._channels = channels
        self._rng = rng
        self._offers: dict[DocumentName, dict[str, int]] = {}
        self._tasks: dict[DocumentName, asyncio.Task[None]] = {}
        self._refused_until_s: dict[HeadNote, float] = {}
        self._cached_parts: dict[DocumentName, dict[str, bytes]] = {}
        self._timeouts_s: dict[DocumentName, float] = {}

    @property
    def fetching(self) -> bool:
        """Return whether a fetch is in progress."""
        return bool(self._tasks)

    def offer(self, address: str, notes: Iterable[HeadNote]) -> None:
        """Fetch the documents of which a peer has a higher version."""
        for note in notes:
            if note.version <= self._replicas.version(note.document):
                continue
            if self._is_recently_refused(note):
                continue
            offers = self._offers.setdefault(note.document, {})
            if len(offers) < _MAX_OFFERS or address in offers:
                offers[address] = note.version
            if note.document not in self._tasks:
                task = asyncio.create_task(self._fetch_offered(note.document))
                self._tasks[note.document] = task

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait, up to a timeout, for the fetches in progress."""
        tasks = list(self._tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    async def close(self) -> None:
        """Cancel all fetches."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _fetch_offered(self, name: DocumentName) -> None:
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
        self._timeouts_s.pop(name, None)
        accepted = self._replicas.accept(head, parts)
        if isinstance(accepted, Refusal):
            self._record_refused(HeadNote(name, head.version))

    async def _fetch_parts(
        self, head: DocumentHead, address: str
    ) -> dict[str, bytes] | None:
        """Fetch the missing parts; None if the peer did not send them all."""
        parts: dict[str, bytes] = {}
        wanted = []
        cached = self._cached_parts.pop(head.document, {})
        for digest in self._replicas.missing(head):
            if digest in cached:
                parts[digest] = cached[digest]
                continue
            wanted.append(digest)
        while wanted:
            answer = await self._call(
                address, Fetch(head.document, tuple(wanted))
            )
            if answer is None or not answer.parts:
                self._cache_parts(head.document, parts)
                return None
            for digest, part in zip(wanted, answer.parts, strict=False):
                parts[digest] = part
            wanted = wanted[len(answer.parts) :]
        return parts

    def _cache_parts(
        self, name: DocumentName, parts: dict[str, bytes]
    ) -> None:
        # A corrupt part would also make the next fetch fail.
        valid: dict[str, bytes] = {}
        for digest, part in parts.items():
            if part_digest(part) == digest:
                valid[digest] = part
        self._cached_parts[name] = valid

    async def _call(self, address: str, request: Fetch) -> Fetched | None:
        timeout_s = self._timeouts_s.get(request.document, CALL_TIMEOUT_S)
        answer = await self._channels.call(
            address, FETCH_METHOD, request, Fetched, timeout_s
        )
        if isinstance(answer, PeerCallFailed):
            _log.debug('Fetch failed.', error=answer.message)
            self._timeouts_s[request.document] = min(
                2 * timeout_s, MAX_CALL_TIMEOUT_S
            )
            return None
        return answer

    def _is_recently_refused(self, note: HeadNote) -> bool:
        until_s = self._refused_until_s.get(note)
        return until_s is not None and time.monotonic() < until_s

    def _record_refused(self, note: HeadNote) -> None:
        if len(self._refused_until_s) >= _MAX_REFUSED:
            self._refused_until_s.clear()
        # Random, so that processes refusing a version do not retry together.
        wait_s = self._rng.uniform(0.5, 1.5) * _REFUSED_RETRY_S
        self._refused_until_s[note] = time.monotonic() + wait_s
