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
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._connection import UpstreamConnection
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._site import Dispatch
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._upstream import Upstream

_SUCCESS = range(200, 300)
# Interval at which an answer past its time limit is checked again.
RECHECK_INTERVAL_S = 0.1


def _abandon_immediately(_waited_s: float) -> bool:
    return True


class Contact(Enum):
    """State whether an upstream could be reached.

    REFUSED: no process listens at its address. UNREACHABLE: no connection
    could be opened for another reason, such as a lost packet.
    """

    CONNECTED = 'made'
    REFUSED = 'refused'
    UNREACHABLE = 'none'


@dataclass(frozen=True)
class AttemptEnd:
    """Hold how an attempt ended.

    ``head`` is None if no head was received; ``body`` is that of an answer
    that was not streamed; ``complete``: the whole answer was received.
    ``connection_broken``: the upstream closed the connection before the end
    of the answer; ``opened_s``: when it was opened, on the boot clock.
    ``body_end`` is None if the attempt ended before the body.
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


class Attempt:
    """Send one request and receive its answer."""

    def __init__(
        self,
        request: CallerRequest,
        wire: Wire,
        on_head: Callable[[ReplyHead], None],
        on_piece: Callable[[ReplyHead, bytes], Awaitable[None]] | None,
    ) -> None:
        self._request = request
        self._wire = wire
        self._on_head = on_head
        self._on_piece = on_piece
        self._head: ReplyHead | None = None
        self._body: list[bytes] = []
        self._ended: asyncio.Future[bool] = asyncio.Future()
        self._last_piece_s = 0.0
        self._connection_broken = False
        self._body_end: BodyEnd | None = None
        self._opened_s = 0.0

    async def run(
        self,
        pool: ConnectionPool,
        upstream: Upstream,
        dispatch: Dispatch,
        can_retry: bool,
        first_wait_s: float,
        gap_wait_s: float,
        max_idle: int,
        should_abandon: Callable[[float], bool] = _abandon_immediately,
    ) -> AttemptEnd:
        """Send the request; cancelling closes the connection.

        ``first_wait_s`` bounds the time to the head and first piece of the
        answer, ``gap_wait_s`` the time between pieces. After these times,
        ``should_abandon`` is called with the time waited, and again every
        ``RECHECK_INTERVAL_S``, until it returns true or a piece arrives.
        """
        try:
            connection = await pool.acquire(upstream, not can_retry)
        except ConnectionRefusedError:
            return _unreachable(Contact.REFUSED)
        except OSError:
            return _unreachable(Contact.UNREACHABLE)
        is_released = False
        try:
            self._send(connection, dispatch)
            complete = await self._wait_for_end(
                first_wait_s, gap_wait_s, should_abandon
            )
            end = replace(self._classify(complete), body_end=self._body_end)
            if (
                end.complete
                and end.head is not None
                and not end.head.will_close
            ):
                pool.release(
                    upstream, connection, end.head.keep_alive_s, max_idle
                )
                is_released = True
            return end
        finally:
            if not is_released:
                # Closing also stops the upstream's work on an abandoned
                # request.
                connection.close()

    def abort(self) -> None:
        """End the attempt as if the answer had been interrupted."""
        if not self._ended.done():
            self._ended.set_result(False)

    def expects(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether an answer belongs to this request."""
        head = self._wire.read_reply(status, headers)
        if head.request_id:
            return head.request_id == self._request.request_id
        # Upstreams send the request id with every request they ran; only a
        # refusal may lack it.
        return head.not_run or head.misdirected

    def on_head(self, status: int, headers: HTTPHeaders) -> None:
        """Store the status and the headers of the answer."""
        self._head = self._wire.read_reply(status, headers)
        self._on_head(self._head)

    async def on_data(self, piece: bytes) -> None:
        """Pass on a piece of a successful stream; collect any other."""
        head = self._head
        assert head is not None
        if self._on_piece is not None and _is_signed_success(head):
            self._last_piece_s = asyncio.get_running_loop().time()
            try:
                await self._on_piece(head, piece)
            except Exception as error:
                if not self._ended.done():
                    self._ended.set_exception(error)
            return
        self._body.append(piece)

    def on_end(self, body_end: BodyEnd) -> None:
        """End the attempt at the end of the answer."""
        if not self._ended.done():
            self._body_end = body_end
            self._connection_broken = body_end is BodyEnd.BROKEN
            self._ended.set_result(body_end is not BodyEnd.BROKEN)

    def _send(
        self, connection: UpstreamConnection, dispatch: Dispatch
    ) -> None:
        self._opened_s = connection.opened_s
        connection.send(
            self._request.method,
            self._request.path,
            self._wire.forward(self._request, dispatch),
            self._request.body,
            self,
        )

    async def _wait_for_end(
        self,
        first_wait_s: float,
        gap_wait_s: float,
        should_abandon: Callable[[float], bool],
    ) -> bool:
        """Return whether the answer is complete; false if it stalled."""
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
                    return False
                left_s = RECHECK_INTERVAL_S
            # If the first piece arrives meanwhile, the gap limit applies from
            # then on.
            timeout_s = min(left_s, gap_wait_s)
            await asyncio.wait((self._ended,), timeout=timeout_s)
            if self._ended.done():
                return self._ended.result()

    def _classify(self, complete: bool) -> AttemptEnd:
        head = self._head
        body = b''.join(self._body)
        if head is None:
            return AttemptEnd(
                Verdict.MAY_HAVE_RUN,
                Reason.WORKER_FAILED,
                connection_broken=self._connection_broken,
                opened_s=self._opened_s,
            )
        if head.misdirected:
            return AttemptEnd(
                Verdict.NOT_RUN, Reason.STALE_WEIGHTS, head, body, complete
            )
        if head.not_run:
            return AttemptEnd(
                Verdict.NOT_RUN, Reason.QUEUE_FULL, head, body, complete
            )
        if not complete:
            return AttemptEnd(
                Verdict.MAY_HAVE_RUN,
                Reason.STREAM_BROKEN,
                head,
                body,
                connection_broken=self._connection_broken,
                opened_s=self._opened_s,
            )
        if not head.is_signed:
            return AttemptEnd(
                Verdict.MAY_HAVE_RUN, Reason.WORKER_FAILED, head, body, True
            )
        return AttemptEnd(Verdict.RAN, Reason.WORKER_FAILED, head, body, True)


def _unreachable(contact: Contact) -> AttemptEnd:
    return AttemptEnd(
        Verdict.NOT_RUN, Reason.WORKER_UNREACHABLE, contact=contact
    )


def _is_signed_success(head: ReplyHead) -> bool:
    return head.status in _SUCCESS and head.is_signed
