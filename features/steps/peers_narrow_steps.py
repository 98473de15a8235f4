"""Check how documents are fetched over links that are slow or fail."""

import asyncio
from random import Random
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.document import DocumentHead
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.document import part_digest
from lacewing_common.wire_peers import Fetch
from lacewing_common.wire_peers import Fetched
from lacewing_common.wire_peers import HeadNote
from lacewing_daemon.peers import PeerCallFailed
from lacewing_daemon.peers import PeerChannels
from lacewing_daemon.peers._fetcher import Fetcher
from lacewing_daemon.peers._replicas import DocumentReplicas

NAME = DocumentName(DocumentKind.BUNDLE, 'bundle')
OFFERER = '127.0.0.1:1'
MOST_BYTES = 256 * 1024


class SlowPeer(PeerChannels):
    """Answer fetches as a peer over a link, without taking time."""

    def __init__(self, parts: list[bytes]) -> None:
        super().__init__(None)
        self._parts = {part_digest(part): part for part in parts}
        self.head = DocumentHead(NAME, 1, tuple(self._parts))
        self.bytes_s = float('inf')
        self.fails_every = 0
        self.patience_s: list[float] = []
        self.came: list[str] = []

    async def call(
        self,
        address: str,
        method: str,
        request: object,
        reply_type: Any,
        timeout_s: float,
    ) -> Any:
        """Answer if the link brings the answer in time."""
        assert isinstance(request, Fetch)
        self.patience_s.append(timeout_s)
        if self.fails_every and not len(self.patience_s) % self.fails_every:
            return PeerCallFailed('fails')
        sent: list[str] = []
        size = 0
        for digest in request.digests:
            part = self._parts[digest]
            if sent and size + len(part) > MOST_BYTES:
                break
            sent.append(digest)
            size += len(part)
        if size / self.bytes_s > timeout_s:
            return PeerCallFailed('late')
        self.came.extend(sent)
        parts = tuple(self._parts[digest] for digest in sent)
        return Fetched(self.head, parts)


@given('a peer that offers a document with a part of {size:d} bytes')
def step_part(context: Context, size: int) -> None:
    """Offer one part."""
    context.peer = SlowPeer([b'x' * size])


@given('a peer that offers a document with {count:d} parts of {size:d} bytes')
def step_parts(context: Context, count: int, size: int) -> None:
    """Offer several parts."""
    context.peer = SlowPeer([b'%d' % n + b'x' * size for n in range(count)])


@given('a link of {bytes_s:d} bytes a second')
def step_link(context: Context, bytes_s: int) -> None:
    """Narrow the link."""
    context.peer.bytes_s = float(bytes_s)


@given('every fourth call to it fails')
def step_fails(context: Context) -> None:
    """Fail calls."""
    context.peer.fails_every = 4


@when('the offer is heard {count:d} times')
def step_heard(context: Context, count: int) -> None:
    """Hear the offer, each time once the last fetch has ended."""
    context.replicas = DocumentReplicas({DocumentKind.BUNDLE: lambda _: None})
    note = HeadNote(NAME, context.peer.head.version)

    async def hear() -> None:
        fetcher = Fetcher(context.replicas, context.peer, Random())
        for _ in range(count):
            fetcher.offer(OFFERER, (note,))
            while fetcher.fetching:
                await asyncio.sleep(0)

    asyncio.run(hear())


@then('the document is held')
def step_held(context: Context) -> None:
    """Look for it."""
    assert context.replicas.version(NAME) == 1, context.peer.patience_s


@then('the calls were given {times} s at most')
def step_given(context: Context, times: str) -> None:
    """Compare the time of each call."""
    expected = [float(one) for one in times.replace(' and', ',').split(',')]
    assert context.peer.patience_s == expected, context.peer.patience_s


@then('each part came once')
def step_once(context: Context) -> None:
    """Compare what came with the head."""
    assert sorted(context.peer.came) == sorted(context.peer.head.parts)
