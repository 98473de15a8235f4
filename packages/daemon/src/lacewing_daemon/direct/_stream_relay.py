"""Relay a stream of events to a caller from one or more upstreams."""

from collections.abc import Iterable
from typing import Protocol

from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._events import event_id
from lacewing_daemon.direct._site import ReplyHead


class EventRelay(Protocol):
    """Relay the events of one upstream to a caller."""

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that the caller has."""

    async def forward(self, head: ReplyHead, events: Iterable[bytes]) -> None:
        """Forward complete events."""


class StreamRelay:
    """Forward each event once and in order.

    After an interrupted stream, the next upstream may start with events that
    the caller already has; they are dropped by their ids.
    """

    def __init__(self, reply: CallerReply, after_event: int | None) -> None:
        self._reply = reply
        self._last_event = after_event

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._reply.has_started

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that the caller has."""
        return self._last_event

    async def forward(self, head: ReplyHead, events: Iterable[bytes]) -> None:
        """Forward complete events; the first ones send the head."""
        new_events = []
        for event in events:
            number = event_id(event)
            if number is not None:
                if self._last_event is not None:
                    if number <= self._last_event:
                        continue
                self._last_event = number
            new_events.append(event)
        if not new_events:
            return
        if not self._reply.has_started:
            self._reply.send_head(head.status, head.headers)
        await self._reply.write(b''.join(new_events))

    async def end(self, blank_lines: bytes) -> None:
        """Complete the answer, with the blank lines after its last event."""
        if blank_lines:
            await self._reply.write(blank_lines)
        self._reply.end()
