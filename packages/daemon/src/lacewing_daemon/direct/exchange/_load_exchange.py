"""Exchange messages with the other routers while capacity is scarce."""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Sequence
from random import Random

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import call_back
from lacewing_daemon.background import keep_running
from lacewing_daemon.direct._metrics import EXCHANGE_BYTES
from lacewing_daemon.direct._metrics import EXCHANGE_INTERVAL_SECONDS
from lacewing_daemon.direct._metrics import EXCHANGE_MESSAGES
from lacewing_daemon.direct._metrics import EXCHANGE_PEERS
from lacewing_daemon.direct.exchange._interval import FRAME_BYTES
from lacewing_daemon.direct.exchange._interval import interval_s
from lacewing_daemon.direct.exchange._interval import MAX_PEERS
from lacewing_daemon.direct.exchange._interval import peers_to_tell
from lacewing_daemon.direct.exchange._messages import ExchangeMessage
from lacewing_daemon.direct.exchange._messages import Section
from lacewing_daemon.direct.exchange._peer_stream import PeerStream
from lacewing_daemon.direct.exchange._peer_stream import StreamCarrier

# Every so many messages, one tells all that is known: messages may be lost.
FULL_EVERY = 8
HEARTBEAT_S = 1.0
# A sender that is not heard of for this long is forgotten; a live one sends
# a heartbeat each second.
FORGET_S = 2.0
# Interval between checks for contended services while there is none.
IDLE_CHECK_S = 0.5
# Interval between log lines of one section that can't be decoded.
LOG_INTERVAL_S = 10.0
# Senders that are remembered, at the most: those of a group, and those that
# were in it before the number of routers changed.
MAX_SENDERS = 4 * MAX_PEERS
# Smoothing weight of the size of the latest message.
SIZE_WEIGHT = 0.1
# Sequences start at the tenths of a second since this Unix time, so that they
# grow across restarts: 6.7 messages a second never outrun the clock.
SEQUENCE_START_S = 1_704_067_200

_log = get_log(Part.MEMBERS)


class LoadExchange:
    """Send the sections' news to all peers, and apply those of peers.

    ``is_active`` returns whether some service is contended; otherwise nothing
    is sent and what arrives is ignored. ``clock`` is monotonic.
    """

    def __init__(
        self,
        address: str,
        is_active: Callable[[], bool],
        peer_addresses: Callable[[], Sequence[str]],
        random: Random,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._address = address
        self._is_active = is_active
        self._peer_addresses = peer_addresses
        self._random = random
        self._clock = clock
        self._sections: dict[str, Section] = {}
        self._streams: dict[str, PeerStream] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._sequences: dict[str, int] = {}
        self._heard_s: dict[str, float] = {}
        tenths = int((unix_clock() - SEQUENCE_START_S) * 10)
        self._sequence = max(0, tenths)
        self._collected = 0
        self._sent_s = float('-inf')
        self._mean_bytes = 0.0
        self._logged_s: dict[str, float] = {}
        self._on_message: list[Callable[[], None]] = []

    @property
    def interval_s(self) -> float:
        """Return the interval between two messages now."""
        return interval_s(len(self._streams), self._mean_bytes)

    @property
    def senders(self) -> tuple[str, ...]:
        """Return the routers that were heard of lately."""
        return tuple(self._heard_s)

    def add_section(self, section: Section) -> None:
        """Send and apply a section; only before ``run``."""
        self._sections[section.name] = section

    def on_message(self, callback: Callable[[], None]) -> None:
        """Call back after each message that was applied."""
        self._on_message.append(callback)

    async def run(self, carrier: StreamCarrier) -> None:
        """Send messages while active, until cancelled."""
        try:
            while True:
                if not self._is_active():
                    await self._stop()
                    await asyncio.sleep(IDLE_CHECK_S)
                    continue
                self.step(carrier)
                jitter = 0.9 + 0.2 * self._random.random()
                await asyncio.sleep(self.interval_s * jitter)
        finally:
            await self._stop()

    def step(self, carrier: StreamCarrier) -> None:
        """Send one message to all peers, if there is something to tell."""
        now_s = self._clock()
        self._sync_streams(carrier)
        self._forget_silent(now_s)
        message = self.collect(now_s)
        if message is not None:
            for stream in self._streams.values():
                stream.offer(message)
        connected = 0
        for stream in self._streams.values():
            connected += stream.is_connected
        EXCHANGE_PEERS.labels('told').set(connected)
        EXCHANGE_PEERS.labels('heard').set(len(self._heard_s))
        EXCHANGE_INTERVAL_SECONDS.set(self.interval_s)

    def collect(self, now_s: float) -> msgspec.Raw | None:
        """Return the next message, None if there is nothing to tell."""
        full = self._collected % FULL_EVERY == 0
        self._collected += 1
        sections = {}
        for name, section in self._sections.items():
            news = section.collect(now_s, full)
            if news is not None:
                sections[name] = msgspec.Raw(msgspec.msgpack.encode(news))
        if not sections and now_s - self._sent_s < HEARTBEAT_S:
            return None
        self._sent_s = now_s
        self._sequence += 1
        encoded = msgspec.msgpack.encode(
            ExchangeMessage(self._address, self._sequence, sections)
        )
        weight = SIZE_WEIGHT if self._mean_bytes else 1.0
        self._mean_bytes += weight * (len(encoded) - self._mean_bytes)
        sent_bytes = (len(encoded) + FRAME_BYTES) * len(self._streams)
        EXCHANGE_BYTES.labels('sent').inc(sent_bytes)
        return msgspec.Raw(encoded)

    def receive(self, message: ExchangeMessage, size: int) -> None:
        """Apply a message of a peer; ``size`` is in bytes."""
        EXCHANGE_BYTES.labels('received').inc(size + FRAME_BYTES)
        sender = message.sender
        if not self._is_active() or sender == self._address:
            return
        if message.sequence <= self._sequences.get(sender, -1):
            # Sent before one that was applied, over an earlier connection.
            EXCHANGE_MESSAGES.labels('outdated').inc()
            return
        if len(self._heard_s) >= MAX_SENDERS and sender not in self._heard_s:
            EXCHANGE_MESSAGES.labels('ignored').inc()
            return
        EXCHANGE_MESSAGES.labels('received').inc()
        now_s = self._clock()
        self._sequences[sender] = message.sequence
        self._heard_s[sender] = now_s
        for name, data in message.sections.items():
            section = self._sections.get(name)
            if section is not None:
                self._apply(section, sender, data, now_s)
        for callback in self._on_message:
            call_back('exchange message', callback)

    def _apply(
        self, section: Section, sender: str, data: msgspec.Raw, now_s: float
    ) -> None:
        try:
            section.apply(sender, bytes(data), now_s)
        except DECODE_ERRORS as error:
            EXCHANGE_MESSAGES.labels('malformed').inc()
            logged_s = self._logged_s.get(section.name, float('-inf'))
            if now_s - logged_s < LOG_INTERVAL_S:
                return
            self._logged_s[section.name] = now_s
            _log.warning(
                'Cannot decode a section of a peer.',
                peer=sender,
                section=section.name,
                error=str(error),
            )

    def _forget_silent(self, now_s: float) -> None:
        for sender, heard_s in tuple(self._heard_s.items()):
            if now_s - heard_s > FORGET_S:
                _log.info(
                    'A peer is not heard of.',
                    peer=sender,
                    silent_ms=int((now_s - heard_s) * 1000),
                )
                self._forget(sender)

    def _forget(self, sender: str) -> None:
        del self._heard_s[sender]
        self._sequences.pop(sender, None)
        for section in self._sections.values():
            section.forget(sender)

    def _sync_streams(self, carrier: StreamCarrier) -> None:
        """Open and close streams as peers come and go."""
        wanted = peers_to_tell(self._address, self._peer_addresses())
        for address in self._streams.keys() - wanted:
            self._tasks.pop(address).cancel()
            del self._streams[address]
        for address in sorted(wanted - self._streams.keys()):
            stream = PeerStream(address, carrier, self._random)
            self._streams[address] = stream
            self._tasks[address] = asyncio.create_task(
                keep_running('peer stream', stream.run)
            )

    async def _stop(self) -> None:
        """Close all streams and forget all senders."""
        tasks = tuple(self._tasks.values())
        self._tasks.clear()
        self._streams.clear()
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        for sender in tuple(self._heard_s):
            self._forget(sender)
