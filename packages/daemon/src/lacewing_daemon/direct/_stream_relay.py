"""Relay a stream of events to a caller, over more than one upstream."""

from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._events import event_id
from lacewing_daemon.direct._events import EventSplitter
from lacewing_daemon.direct._site import ReplyHead


class StreamRelay:
    """Pass each event on once and in order.

    After an upstream broke off, the next one may begin with events that the
    caller has already; those are dropped by their ids.
    """

    def __init__(self, reply: CallerReply, after_event: int | None) -> None:
        self._reply = reply
        self._splitter = EventSplitter()
        self._last_event = after_event

    @property
    def has_started(self) -> bool:
        """Tell whether the caller has a part of the answer."""
        return self._reply.has_started

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that the caller has."""
        return self._last_event

    async def forward(self, head: ReplyHead, piece: bytes) -> None:
        """Pass on the events that are whole; the first begins the answer."""
        if not self._reply.has_started:
            self._reply.send_head(head.status, head.headers)
        fresh = []
        for event in self._splitter.feed(piece):
            number = event_id(event)
            if number is not None:
                if self._last_event is not None:
                    if number <= self._last_event:
                        continue
                self._last_event = number
            fresh.append(event)
        if fresh:
            await self._reply.write(b''.join(fresh))

    async def end(self, head: ReplyHead) -> None:
        """Complete the answer with what follows the last event."""
        if not self._reply.has_started:
            self._reply.send_head(head.status, head.headers)
        if self._splitter.remainder:
            await self._reply.write(self._splitter.remainder)
        self._reply.end()

    def restart(self) -> None:
        """Forget the half event of an upstream that broke off."""
        self._splitter = EventSplitter()
