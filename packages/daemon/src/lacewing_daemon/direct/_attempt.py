"""Send a request to one upstream once and report how that ended."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from lacewing_common.verdict import Reason
from lacewing_common.verdict import Verdict
from tornado.httputil import HTTPHeaders

from lacewing_daemon.direct._answer_end import BodyEnd
from lacewing_daemon.direct._answer_end import CLOSED_BY_ROUTER
from lacewing_daemon.direct._answer_end import has_body
from lacewing_daemon.direct._answer_end import is_event_stream
from lacewing_daemon.direct._answer_end import is_whole
from lacewing_daemon.direct._answer_end import TRANSFERRED
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._connection import UpstreamConnection
from lacewing_daemon.direct._events import EventSplitter
from lacewing_daemon.direct._overrun import AnswerFinder
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._pool import MAX_IDLE_S
from lacewing_daemon.direct._pool import MAX_NON_RETRYABLE_IDLE_S
from lacewing_daemon.direct._read_bounds import MAX_EVENT_BYTES
from lacewing_daemon.direct._read_bounds import MAX_HELD_BYTES
from lacewing_daemon.direct._read_bounds import ReadSource
from lacewing_daemon.direct._read_bounds import record_cut
from lacewing_daemon.direct._site import Dispatch
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._upstream_state import UpstreamState

_SUCCESS = range(200, 300)
_FIRST_FAILURE = 400
# Interval at which an answer past its time limit is checked again.
RECHECK_INTERVAL_S = 0.1

OnEvents = Callable[[ReplyHead, list[bytes]], Awaitable[None]]


def _abandon_immediately(_waited_s: float) -> bool:
    return True


def _ignore_lost() -> None:
    return


async def _always_send(_opened_s: float) -> bool:
    return True


def _always_hold(_size: int) -> bool:
    return True


def _ignore_head(_head: ReplyHead) -> None:
    return


class Contact(Enum):
    """State whether an upstream could be reached.

    REFUSED: no process listens at its address. UNREACHABLE: no connection
    could be opened for another reason, such as a lost packet. WITHDRAWN: it
    stopped taking requests before this one was sent. UNCONFIRMED: it is not
    certain that the right start of it was reached, and nothing was sent.
    """

    CONNECTED = 'made'
    REFUSED = 'refused'
    UNREACHABLE = 'none'
    WITHDRAWN = 'withdrawn'
    UNCONFIRMED = 'unconfirmed'


@dataclass(frozen=True)
class ConnectionUse:
    """Hold how the connection of an attempt was used.

    ``earlier_requests``: those that it carried before this one;
    ``skipped_answers``: copies of the answers to these that came before its
    own answer.
    """

    earlier_requests: int = 0
    skipped_answers: int = 0


@dataclass(frozen=True)
class AttemptEnd:
    """Hold how an attempt ended.

    ``head`` is None if no head was received; ``body`` is what was not passed
    on as events; ``complete``: the whole answer was received.
    ``connection_broken``: the upstream closed the connection before the end
    of the answer; ``opened_s``: when it was opened, on the boot clock.
    ``body_end`` is None if the attempt ended before the body;
    ``partial_bytes`` is the size of an event that is not complete.
    """

    verdict: Verdict
    reason: Reason
    head: ReplyHead | None = None
    body: bytes = b''
    complete: bool = False
    contact: Contact = Contact.CONNECTED
    connection_broken: bool = False
    opened_s: float = 0.0
    body_end: BodyEnd | None = None
    partial_bytes: int = 0
    connection_use: ConnectionUse = ConnectionUse()

    @property
    def is_unsigned(self) -> bool:
        """Return whether an answer that is no refusal has no signature."""
        if self.head is None or self.verdict is Verdict.NOT_RUN:
            return False
        return not self.head.is_signed


class Attempt:
    """Send one request and receive its answer."""

    def __init__(
        self,
        request: CallerRequest,
        wire: Wire,
        on_head: Callable[[ReplyHead], None],
        on_events: OnEvents | None,
        hold: Callable[[int], bool] = _always_hold,
    ) -> None:
        self._request = request
        self._hold = hold
        self._wire = wire
        self._on_head = on_head
        self._on_events = on_events
        self._events: EventSplitter | None = None
        self._finder = AnswerFinder(wire.id_header)
        self._after_event: str | None = None
        self._head: ReplyHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._ended: asyncio.Future[None] = asyncio.Future()
        self._last_piece_s = 0.0
        self._body_end: BodyEnd | None = None
        self._opened_s = 0.0
        self._earlier_requests = 0
        self._skipped_answers = 0

    @property
    def wire(self) -> Wire:
        """Return what decodes the heads of answers."""
        return self._wire

    @property
    def connection_use(self) -> ConnectionUse:
        """Return how its connection was used until now."""
        return ConnectionUse(self._earlier_requests, self._skipped_answers)

    @property
    def opened_s(self) -> float:
        """Return when its connection was opened, 0 before it is."""
        return self._opened_s

    async def run(
        self,
        pool: ConnectionPool,
        state: UpstreamState,
        dispatch: Dispatch,
        can_retry: bool,
        first_wait_s: float,
        gap_wait_s: float,
        max_idle: int,
        should_abandon: Callable[[float], bool] = _abandon_immediately,
        on_lost: Callable[[], None] = _ignore_lost,
        may_send: Callable[[float], Awaitable[bool]] = _always_send,
    ) -> AttemptEnd:
        """Send the request; cancelling closes the connection.

        ``first_wait_s`` bounds the time to the head and first piece of the
        answer, ``gap_wait_s`` the time between pieces. After these times,
        ``should_abandon`` is called with the time waited, and again every
        ``RECHECK_INTERVAL_S``, until it returns true or a piece arrives.
        ``on_lost`` is called if the upstream has closed an idle connection,
        ``may_send`` with when the connection was opened, before the request
        is sent on it.
        """
        upstream = state.upstream
        asked_s = asyncio.get_running_loop().time()
        try:
            connection = await pool.acquire(
                upstream,
                _max_idle_s(can_retry, dispatch),
                self._request,
                on_lost,
            )
        except ConnectionRefusedError:
            return _unreachable(Contact.REFUSED)
        except OSError:
            return _unreachable(Contact.UNREACHABLE)
        is_released = False
        try:
            if not await may_send(connection.opened_s):
                return _unreachable(Contact.UNCONFIRMED)
            if connection.is_closed:
                return _unreachable(Contact.UNREACHABLE)
            # Checked last: nothing is awaited between this and the sending.
            if not state.takes_requests or self._ended.done():
                return _unreachable(Contact.WITHDRAWN)
            passed_s = asyncio.get_running_loop().time() - asked_s
            left_s = max(0.0, dispatch.deadline_s - passed_s)
            self._send(connection, replace(dispatch, deadline_s=left_s))
            await self._wait_for_end(first_wait_s, gap_wait_s, should_abandon)
            end = self._classify()
            if end.head is not None and _allows_reuse(end):
                pool.release(
                    upstream, connection, end.head.keep_alive_s, max_idle
                )
                is_released = True
            return end
        finally:
            self._detach()
            if not is_released:
                # Closing also stops the upstream's work on an abandoned
                # request.
                connection.close()

    def abort(self) -> None:
        """End the attempt as if the answer had been interrupted."""
        if not self._ended.done():
            self._ended.set_result(None)

    def on_skipped(self) -> None:
        """Count a copy of the answer to another request."""
        self._skipped_answers += 1

    def on_head(self, status: int, headers: HTTPHeaders) -> None:
        """Store the status and the headers of the answer."""
        if self._ended.done():
            return
        head = self._wire.read_reply(status, headers)
        self._head = head
        length = headers.get('Content-Length')
        if length is not None and not has_body(self._request.method, status):
            # It can't be derived from a body as for other answers.
            head.headers['Content-Length'] = length
        if (
            self._on_events is not None
            and _is_signed_success(head)
            and is_event_stream(head.headers)
        ):
            self._events = EventSplitter()
        self._on_head(head)

    async def on_data(self, piece: bytes) -> None:
        """Pass on the events that a piece completes; collect other pieces."""
        if self._ended.done():
            return
        if self._events is None:
            self._collect(piece)
            return
        events = self._events.feed(piece)
        if len(self._events.remainder) > MAX_EVENT_BYTES:
            self._cut(len(self._events.remainder), 'event')
            return
        if not events:
            # Bytes that complete no event are no sign of life.
            return
        self._last_piece_s = asyncio.get_running_loop().time()
        assert self._head is not None and self._on_events is not None
        for event in events:
            if self._finder.is_in_event(event):
                self.on_end(BodyEnd.OVERRUN)
                return
        try:
            await self._on_events(self._head, events)
        except Exception as error:
            if not self._ended.done():
                self._ended.set_exception(error)

    def on_end(self, body_end: BodyEnd, following: bytes = b'') -> None:
        """End the attempt at the end of the answer."""
        if self._ended.done():
            return
        self._body = [b''.join(self._body)]
        if body_end in TRANSFERRED and self._finder.is_in_body(
            self._body[0], following
        ):
            body_end = BodyEnd.OVERRUN
        self._body_end = body_end
        self._ended.set_result(None)

    def _detach(self) -> None:
        """Drop what refers back to this, and with it what it holds.

        Otherwise the answer would stay in memory until a garbage collection.
        """
        self.abort()
        if not self._ended.cancelled():
            # A cancelled run has not retrieved it.
            self._ended.exception()
        self._on_head = _ignore_head
        self._on_events = None
        self._hold = _always_hold
        self._body = []

    def _collect(self, piece: bytes) -> None:
        self._last_piece_s = asyncio.get_running_loop().time()
        self._body_bytes += len(piece)
        if self._body_bytes > MAX_HELD_BYTES:
            self._body.clear()
            self._cut(self._body_bytes, 'body')
            return
        if not self._hold(len(piece)):
            self._body.clear()
            self._cut(self._body_bytes, 'body without room')
            return
        self._body.append(piece)

    def _cut(self, received: int, what: str) -> None:
        record_cut(ReadSource.REQUEST, received, f'{what} past its bound')
        self.on_end(BodyEnd.CUT)

    def _send(
        self, connection: UpstreamConnection, dispatch: Dispatch
    ) -> None:
        self._opened_s = connection.opened_s
        self._earlier_requests = connection.sent_requests
        self._after_event = dispatch.after_event
        connection.send(
            self._request, self._wire.forward(self._request, dispatch), self
        )

    async def _wait_for_end(
        self,
        first_wait_s: float,
        gap_wait_s: float,
        should_abandon: Callable[[float], bool],
    ) -> None:
        """Wait until the answer ends or is to be abandoned."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        self._last_piece_s = start_s
        while True:
            limit_s = gap_wait_s
            if self._last_piece_s == start_s:
                limit_s = first_wait_s
            waited_s = loop.time() - self._last_piece_s
            left_s = limit_s - waited_s
            if left_s <= 0:
                if should_abandon(waited_s):
                    return
                left_s = RECHECK_INTERVAL_S
            # If the first piece arrives meanwhile, the gap limit applies from
            # then on.
            timeout_s = min(left_s, gap_wait_s)
            await asyncio.wait((self._ended,), timeout=timeout_s)
            if self._ended.done():
                self._ended.result()
                return

    def _classify(self) -> AttemptEnd:
        complete = is_whole(self._body_end, self._events, self._after_event)
        verdict, reason = self._verdict(complete)
        body = b''.join(self._body)
        partial_bytes = 0
        if self._events is not None:
            body = self._events.remainder
            partial_bytes = len(body) if self._events.is_inside_event else 0
        was_interrupted = verdict is Verdict.MAY_HAVE_RUN and not complete
        return AttemptEnd(
            verdict,
            reason,
            self._head,
            body,
            complete,
            connection_broken=(
                was_interrupted
                and self._body_end is not None
                and self._body_end not in CLOSED_BY_ROUTER
            ),
            opened_s=self._opened_s,
            body_end=self._body_end,
            partial_bytes=partial_bytes,
            connection_use=self.connection_use,
        )

    def _verdict(self, complete: bool) -> tuple[Verdict, Reason]:
        head = self._head
        if head is None:
            return Verdict.MAY_HAVE_RUN, Reason.WORKER_FAILED
        if head.misdirected:
            return Verdict.NOT_RUN, Reason.STALE_WEIGHTS
        if head.not_run:
            return Verdict.NOT_RUN, Reason.QUEUE_FULL
        if not complete:
            return Verdict.MAY_HAVE_RUN, Reason.STREAM_BROKEN
        if not head.is_signed:
            return Verdict.MAY_HAVE_RUN, Reason.WORKER_FAILED
        return Verdict.RAN, Reason.WORKER_FAILED


def _unreachable(contact: Contact) -> AttemptEnd:
    return AttemptEnd(
        Verdict.NOT_RUN, Reason.WORKER_UNREACHABLE, contact=contact
    )


def _max_idle_s(can_retry: bool, dispatch: Dispatch) -> float:
    if dispatch.continue_from is not None:
        # The earlier run is kept only for a refusal, and only a refusal that
        # is the first answer on its connection needs no id.
        return 0.0
    return MAX_IDLE_S if can_retry else MAX_NON_RETRYABLE_IDLE_S


def _allows_reuse(end: AttemptEnd) -> bool:
    """Return whether the connection of an attempt can carry another one.

    An answer that names no request may come again. A late copy of a failure
    could not be told from a failure of the next request.
    """
    if end.head is None or end.verdict is not Verdict.RAN:
        return False
    if not end.head.request_id or end.head.will_close:
        return False
    return end.head.status < _FIRST_FAILURE


def _is_signed_success(head: ReplyHead) -> bool:
    return head.status in _SUCCESS and head.is_signed
