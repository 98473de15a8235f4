"""Make blocks, events and prompts for checks of an agent's cache."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from hypothesis import settings
from lacewing_common.prefix import chain
from lacewing_common.prefix import HASH_BYTES
from lacewing_common.wire import AttemptId
from lacewing_common.wire import Start
from lacewing_daemon.agent._cache_view import CacheEvent
from lacewing_daemon.agent._cache_view import CacheSnapshot
from lacewing_daemon.agent._cache_view import EventKind

CHECKED = settings(max_examples=80, deadline=None, derandomize=True)
LIMIT_S = 20.0
T = TypeVar('T')
PROMPT = chain(bytes(16), (b'a' * 2560, b'b' * 1280, b'question'))


def name(number: int) -> str:
    """Return the hex name of a block."""
    return number.to_bytes(HASH_BYTES, 'big').hex()


def block(number: int) -> bytes:
    """Return the hash of a block."""
    return number.to_bytes(HASH_BYTES, 'big')


def event(
    sequence: int,
    blocks: set[int],
    kind: EventKind = EventKind.STORED,
    epoch: str = 'e1',
) -> CacheEvent:
    """Return an event."""
    names = tuple(name(number) for number in sorted(blocks))
    return CacheEvent(epoch, sequence, kind, names)


def snapshot(
    sequence: int, blocks: set[int], epoch: str = 'e1'
) -> CacheSnapshot:
    """Return a snapshot."""
    names = tuple(name(number) for number in sorted(blocks))
    return CacheSnapshot(epoch, sequence, names)


def ignore(_block: bytes, _stored: bool) -> None:
    """Take a change and do nothing."""


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine with a limit."""
    return asyncio.run(asyncio.wait_for(work, LIMIT_S))


def start_of(number: int = 0, width: int = 1) -> Start:
    """Return a Start of the prompt."""
    return Start(
        attempt=AttemptId('router', number, 1),
        request_id=str(number),
        team='rahmat',
        service='tutor',
        method='POST',
        path='/',
        content_type='',
        body=b'',
        blocks=b''.join(PROMPT.blocks),
        levels=PROMPT.levels,
        width=width,
        use_kept=True,
    )


def stored_event(sequence: int = 1) -> CacheEvent:
    """Return the event that all of the prompt was stored."""
    names = tuple(each.hex() for each in PROMPT.blocks)
    return CacheEvent('e1', sequence, EventKind.STORED, names)
