"""Relay a stream of events to a caller from one or more upstreams."""

from collections.abc import Iterable
from typing import Protocol

from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._event_ids import event_id
from lacewing_daemon.direct._event_ids import is_after
from lacewing_daemon.direct._event_ids import is_whole_number
from lacewing_daemon.direct._site import ReplyHead

_DATA = b'data'


class EventRelay(Protocol):
    """Relay the events of one upstream to a caller."""

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""

    @property
    def last_event(self) -> str | None:
        """Return the id of the last event that the caller has."""

    def hold(self, size: int) -> bool:
        """Hold more of an answer that is no stream, if there is room."""

    async def forward(self, head: ReplyHead, events: Iterable[bytes]) -> None:
        """Forward complete events."""


class StreamRelay:
    """Forward each event once and in order.

    After an interrupted stream, the next upstream may start with events that
    the caller already has; they are dropped by their ids. Ids that are whole
    numbers are compared as numbers. The order of others is unknown: an event
    with such an id is dropped if an earlier answer had one with this id.
    """

    def __init__(self, reply: CallerReply, after_event: str | None) -> None:
        self._reply = reply
        self._last_event = after_event
        # Ids that are no numbers, each with the answer that it came in.
        self._unordered: dict[str, ReplyHead | None] = {}
        if after_event is not None and not is_whole_number(after_event):
            self._unordered[after_event] = None
        self._has_ids = False
        self._has_data = False

    @property
    def has_started(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._reply.has_started

    @property
    def last_event(self) -> str | None:
        """Return the id of the last event that the caller has."""
        return self._last_event

    @property
    def can_go_on(self) -> bool:
        """Return whether it can be told which events the caller has.

        An upstream would send data without an id once more.
        """
        return self._has_ids or not self._has_data

    def hold(self, size: int) -> bool:
        """Hold more of an answer that is no stream, if there is room."""
        return self._reply.hold(size)

    async def forward(self, head: ReplyHead, events: Iterable[bytes]) -> None:
        """Forward complete events; the first ones send the head."""
        new_events = []
        for event in events:
            text = event_id(event)
            if text is not None:
                self._has_ids = True
                if self._is_known(text, head):
                    continue
                self._last_event = text
                if not is_whole_number(text):
                    self._unordered[text] = head
            elif not self._has_ids:
                self._has_data = self._has_data or _has_data(event)
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

    def _is_known(self, text: str, head: ReplyHead) -> bool:
        """Return whether the caller has the event with an id."""
        if not is_whole_number(text):
            return self._unordered.get(text, head) is not head
        last = self._last_event
        if last is None or not is_whole_number(last):
            return False
        return not is_after(text, last)


def _has_data(event: bytes) -> bool:
    return any(line.startswith(_DATA) for line in event.splitlines())
