"""Decide whether an answer arrived whole."""

from enum import Enum

from tornado.httputil import HTTPHeaders

from lacewing_daemon.direct._events import EventSplitter

_EVENT_STREAM = 'text/event-stream'
HEAD = 'HEAD'
# No content, not modified.
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class BodyEnd(Enum):
    """Name how the transfer of a body ended.

    LENGTH: all announced bytes were received. CHUNKS: the last chunk was
    received. NO_BODY: the answer ended with its head. CLOSED: the body had
    no framing and its connection was closed in an orderly way. BROKEN: the
    connection ended before the body did. CUT: more was received than may be,
    and the router closed the connection. UNASSIGNED: an answer came that may
    be the one to the request but does not name it, and the router closed the
    connection. OVERRUN: another answer began inside this one, which was cut
    short.
    """

    LENGTH = 'length'
    CHUNKS = 'chunks'
    NO_BODY = 'no body'
    CLOSED = 'closed'
    BROKEN = 'broken'
    CUT = 'cut'
    UNASSIGNED = 'unassigned'
    OVERRUN = 'overrun'


# The body ended as its framing says.
TRANSFERRED = frozenset((BodyEnd.LENGTH, BodyEnd.CHUNKS, BodyEnd.CLOSED))
# The answer is incomplete, though its connection was not broken.
CLOSED_BY_ROUTER = frozenset(
    (BodyEnd.CUT, BodyEnd.UNASSIGNED, BodyEnd.OVERRUN)
)


def has_body(method: str, status: int) -> bool:
    """Return whether an answer to a method may have a body.

    What its headers say of a length is that of a body which is not sent.
    """
    return method != HEAD and status not in _STATUSES_WITHOUT_BODY


def end_of_parsed_body(headers: HTTPHeaders, has_error: bool) -> BodyEnd:
    """Return how a body ended that the parser read to its end.

    ``has_error``: the connection was closed by an error. The parser reads a
    body without framing until the connection is closed and does not
    distinguish a reset from an orderly close.
    """
    if 'Transfer-Encoding' in headers:
        return BodyEnd.CHUNKS
    if 'Content-Length' in headers:
        return BodyEnd.LENGTH
    return BodyEnd.BROKEN if has_error else BodyEnd.CLOSED


def is_event_stream(headers: HTTPHeaders) -> bool:
    """Return whether a body consists of events, as no other type is named."""
    media_type = headers.get('Content-Type', _EVENT_STREAM)
    return media_type.partition(';')[0].strip().lower() == _EVENT_STREAM


def is_whole(
    body_end: BodyEnd | None,
    events: EventSplitter | None,
    after_event: str | None,
) -> bool:
    """Return whether an answer arrived whole.

    ``body_end`` is None if the answer was abandoned, ``events`` is None for
    an answer that is no stream of events. ``after_event`` is the event after
    which the stream was to start.
    """
    if body_end in (None, BodyEnd.BROKEN) or body_end in CLOSED_BY_ROUTER:
        return False
    if events is None:
        return True
    if events.is_inside_event:
        return False
    # The close of the connection is the only sign that such a stream is
    # complete. Without any event it is none, unless the caller may have had
    # the last event before.
    return (
        body_end is not BodyEnd.CLOSED
        or events.has_returned_events
        or after_event is not None
    )
