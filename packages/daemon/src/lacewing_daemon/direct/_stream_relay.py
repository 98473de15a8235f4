"""Relay a stream of events to a caller from one or more upstreams."""

from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._events import event_id
from lacewing_daemon.direct._events import EventSplitter
from lacewing_daemon.direct._site import ReplyHead


class StreamRelay:
    """Forward each event once and in order.

    After an interrupted stream, the next upstream may start with events that
    the caller already has; they are dropped by their ids.
    """

    def __init__(self, reply: CallerReply, after_event: int | None) -> None:
        self._reply = reply
        self._splitter = EventSplitter()
        self._last_event = after_event

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._reply.has_started

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that the caller has."""
        return self._last_event

    @property
    def partial_bytes(self) -> int:
        """Return the number of bytes of the event that is incomplete."""
        return len(self._splitter.remainder)

    async def forward(self, head: ReplyHead, piece: bytes) -> None:
        """Forward complete events; the first call sends the head."""
        if not self._reply.has_started:
            self._reply.send_head(head.status, head.headers)
        new_events = []
        for event in self._splitter.feed(piece):
            number = event_id(event)
            if number is not None:
                if self._last_event is not None:
                    if number <= self._last_event:
                        continue
                self._last_event = number
            new_events.append(event)
        if new_events:
            await self._reply.write(b''.join(new_events))

    async def end(self, head: ReplyHead) -> None:
        """Send the bytes after the last event and complete the answer."""
        if not self._reply.has_started:
            self._reply.send_head(head.status, head.headers)
        if self._splitter.remainder:
            await self._reply.write(self._splitter.remainder)
        self._reply.end()

    def restart(self) -> None:
        """Discard the partial event of an interrupted stream."""
        self._splitter = EventSplitter()
