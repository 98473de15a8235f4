"""Queue what the link brings for one attempt."""

import asyncio
from collections import deque
from enum import Enum
from typing import TypeAlias

from lacewing_common.wire import Accepted
from lacewing_common.wire import Data
from lacewing_common.wire import End
from lacewing_common.wire import Head
from lacewing_common.wire import Refused


class Interrupt(Enum):
    """Name what ends or disturbs the wait for an agent's next frame."""

    LINK_DOWN = 'the link to the agent broke'
    LINK_UP = 'the link to the agent is up again'
    REATTACH_EXPIRED = 'the link did not come back in time'
    EXPIRED = 'the time for the answer is over'
    CALLER_GONE = 'the caller hung up'


AnswerFrame: TypeAlias = Accepted | Refused | Head | Data | End
Item: TypeAlias = AnswerFrame | Interrupt


class Mailbox:
    """Hold items for one reader; lighter than asyncio.Queue per item.

    Its size is bounded by the answer window, which agents keep.
    """

    def __init__(self) -> None:
        self._items: deque[Item] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, item: Item) -> None:
        """Add an item and wake the reader."""
        self._items.append(item)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def put_first(self, item: Item) -> None:
        """Add an item before all others and wake the reader."""
        self._items.appendleft(item)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def peek(self) -> Item | None:
        """Return the next item without taking it."""
        if self._items:
            return self._items[0]
        return None

    def take(self) -> Item:
        """Take the item that ``peek`` showed."""
        return self._items.popleft()

    async def get(self) -> Item:
        """Wait for the next item and take it."""
        while not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._waiter = None
        return self._items.popleft()
