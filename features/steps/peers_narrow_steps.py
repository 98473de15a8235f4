"""Fetch documents over simulated links that are slow or fail."""

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
PEER_ADDRESS = '127.0.0.1:1'
MAX_FETCH_BYTES = 256 * 1024


class SlowPeer(PeerChannels):
    """Answer fetches as a peer over a link, without real delays."""

    def __init__(self, parts: list[bytes]) -> None:
        super().__init__(None)
        self._parts = {part_digest(part): part for part in parts}
        self.head = DocumentHead(NAME, 1, tuple(self._parts))
        self.bytes_s = float('inf')
        self.failure_interval = 0
        self.timeouts_s: list[float] = []
        self.received: list[str] = []

    async def call(
        self,
        address: str,
        method: str,
        request: object,
        reply_type: Any,
        timeout_s: float,
    ) -> Any:
        """Answer if the link transfers the answer within the timeout."""
        assert isinstance(request, Fetch)
        self.timeouts_s.append(timeout_s)
        if (
            self.failure_interval
            and not len(self.timeouts_s) % self.failure_interval
        ):
            return PeerCallFailed('fails')
        sent: list[str] = []
        size = 0
        for digest in request.digests:
            part = self._parts[digest]
            if sent and size + len(part) > MAX_FETCH_BYTES:
                break
            sent.append(digest)
            size += len(part)
        if size / self.bytes_s > timeout_s:
            return PeerCallFailed('late')
        self.received.extend(sent)
        parts = tuple(self._parts[digest] for digest in sent)
        return Fetched(self.head, parts)


@given('a peer that offers a document with a part of {size:d} bytes')
def step_one_part(context: Context, size: int) -> None:
    """Offer a document with one part."""
    context.peer = SlowPeer([b'x' * size])


@given('a peer that offers a document with {count:d} parts of {size:d} bytes')
def step_parts(context: Context, count: int, size: int) -> None:
    """Offer a document with several parts."""
    context.peer = SlowPeer([b'%d' % n + b'x' * size for n in range(count)])


@given('a link of {bytes_s:d} bytes a second')
def step_link(context: Context, bytes_s: int) -> None:
    """Set the bandwidth of the link."""
    context.peer.bytes_s = float(bytes_s)


@given('every fourth call to it fails')
def step_fails(context: Context) -> None:
    """Fail every fourth call."""
    context.peer.failure_interval = 4


@when('the offer is received {count:d} times')
def step_received(context: Context, count: int) -> None:
    """Receive the offer, each time after the last fetch has ended."""
    context.replicas = DocumentReplicas({DocumentKind.BUNDLE: lambda _: None})
    note = HeadNote(NAME, context.peer.head.version)

    async def receive_offers() -> None:
        fetcher = Fetcher(context.replicas, context.peer, Random())
        for _ in range(count):
            fetcher.offer(PEER_ADDRESS, (note,))
            while fetcher.fetching:
                await asyncio.sleep(0)

    asyncio.run(receive_offers())


@then('the document is stored')
def step_stored(context: Context) -> None:
    """Check that the document is stored."""
    assert context.replicas.version(NAME) == 1, context.peer.timeouts_s


@then('the calls had timeouts of {times} s')
def step_timeouts(context: Context, times: str) -> None:
    """Check the timeout of each call."""
    expected = [float(one) for one in times.replace(' and', ',').split(',')]
    assert context.peer.timeouts_s == expected, context.peer.timeouts_s


@then('each part was received once')
def step_received_once(context: Context) -> None:
    """Compare the received parts with the head."""
    assert sorted(context.peer.received) == sorted(context.peer.head.parts)
