"""Stream the newest message to one peer."""

import asyncio
from collections.abc import AsyncIterator
from random import Random
from typing import Protocol

import msgspec
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import EXCHANGE_MESSAGES

# Messages in one call. Its reply shows that the peer reads them; a peer that
# does not is noticed after this many, of a few hundred bytes each.
MESSAGES_PER_CALL = 32
# The same in the first call, which shows that the peer takes part at all.
FIRST_CALL_MESSAGES = 2
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0

_log = get_log(Part.MEMBERS)


class StreamCarrier(Protocol):
    """Send messages to a peer in one call."""

    async def send(
        self, address: str, messages: AsyncIterator[msgspec.Raw]
    ) -> str | None:
        """Return None once the peer has read all, or what failed."""


class PeerStream:
    """Send a peer the newest message; older unsent ones are replaced."""

    def __init__(
        self, address: str, carrier: StreamCarrier, random: Random
    ) -> None:
        self._address = address
        self._carrier = carrier
        self._random = random
        self._message: msgspec.Raw | None = None
        self._has_message = asyncio.Event()
        self._is_connected = False

    @property
    def is_connected(self) -> bool:
        """Return whether the peer has read messages of the last call."""
        return self._is_connected

    def offer(self, message: msgspec.Raw) -> None:
        """Send a message as soon as the peer takes it."""
        if self._message is not None:
            EXCHANGE_MESSAGES.labels('replaced').inc()
        self._message = message
        self._has_message.set()

    async def run(self) -> None:
        """Call the peer again and again until cancelled."""
        failures = 0
        while True:
            failure = await self._carrier.send(self._address, self._messages())
            if failure is None:
                self._is_connected = True
                failures = 0
                continue
            if self._is_connected or not failures:
                _log.info(
                    'A peer takes no loads.',
                    peer=self._address,
                    error=failure,
                )
            self._is_connected = False
            EXCHANGE_MESSAGES.labels('failed').inc()
            pause_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**failures)
            failures = min(failures + 1, 8)
            await asyncio.sleep(pause_s * (0.5 + self._random.random() / 2))

    async def _messages(self) -> AsyncIterator[msgspec.Raw]:
        count = MESSAGES_PER_CALL
        if not self._is_connected:
            count = FIRST_CALL_MESSAGES
        for _ in range(count):
            await self._has_message.wait()
            self._has_message.clear()
            message = self._message
            self._message = None
            if message is None:
                continue
            EXCHANGE_MESSAGES.labels('sent').inc()
            yield message
