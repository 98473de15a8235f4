"""Check a caller's request and serve it."""

import re
import secrets
from typing import Any

from lacewing_common.bundle import Team
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from tornado.web import RequestHandler
from tornado.web import stream_request_body

from lacewing_daemon.router._call import Asked
from lacewing_daemon.router._call import Call
from lacewing_daemon.router._call import JSON
from lacewing_daemon.router._exchange import Exchange
from lacewing_daemon.router._metrics import REQUESTS
from lacewing_daemon.router._parse import bad_request
from lacewing_daemon.router._parse import MAX_BODY_BYTES
from lacewing_daemon.router._parse import too_large
from lacewing_daemon.router._reply import CallerReply
from lacewing_daemon.router._reply import REQUEST_ID_HEADER
from lacewing_daemon.router._serving import Serving

BUNDLE_WAIT_S = 1.7
# Each open request may hold a body and an answer window; without a bound a
# flood of them would end the router, and with it every open answer.
MAX_OPEN_REQUESTS = 4096
MAX_IDEMPOTENCY_KEY = 255
_REQUEST_ID_BYTES = 16

_log = get_log(Part.CALLERS)

_REQUEST_ID = re.compile(r'[A-Za-z0-9._:-]{1,128}')
_TRACEPARENT = re.compile(r'[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_NO_SERVICE = ''
_WRONG_METHOD = 405
_SERVER_FAULT = 500


@stream_request_body
class CallerHandler(RequestHandler):
    """Check key and size, then serve one request."""

    def initialize(self, serving: Serving) -> None:
        """Take what all requests share."""
        self._serving = serving
        self._request_id = _request_id(self.request.headers)
        self._reply = CallerReply(self, self._request_id)
        self._exchange: Exchange | None = None
        self._pieces: list[bytes] = []
        self._size = 0
        self._opened = False
        self._service_name = _NO_SERVICE

    def set_default_headers(self) -> None:
        """Leave the server's name out."""
        self.clear_header('Server')

    def compute_etag(self) -> str | None:
        """Send no ETag: answers are not to be cached."""
        return None

    async def prepare(self) -> None:
        """Refuse what can be refused before the body is read."""
        self._serving.request_opened()
        self._opened = True
        if self._serving.draining:
            self.set_header('Connection', 'close')
            await self._refuse(_draining())
            return
        if self._serving.open_requests > MAX_OPEN_REQUESTS:
            await self._refuse(_too_many())
            return
        if not await self._serving.wait_for_bundle(BUNDLE_WAIT_S):
            await self._refuse(_no_bundle())
            return
        found = self._serving.catalog.team(
            self.request.headers.get('Authorization', '')
        )
        if isinstance(found, Refusal):
            await self._refuse(found)
            return
        self._team: Team = found

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit, and drop what is beyond."""
        self._size += len(chunk)
        if self._size > MAX_BODY_BYTES:
            # Read to its end: closing at once would reset the connection,
            # and the caller would see that instead of the 413.
            self._pieces.clear()
            return
        self._pieces.append(chunk)

    def on_connection_close(self) -> None:
        """Stop the request of a caller that hung up."""
        # A handler is in memory until a garbage collection.
        self._pieces.clear()
        self._reply.hang_up()
        if self._exchange is not None:
            self._exchange.hang_up()
            return
        self._end()

    def on_finish(self) -> None:
        """Count the end of the request."""
        REQUESTS.labels(
            self._service_name,
            str(self._reply.status),
            self._reply.verdict.value,
        ).inc()

    def send_error(self, status_code: int = 500, **details: Any) -> None:
        """Answer a fault; break the connection of a begun answer."""
        if self._reply.started:
            # tornado would end the answer as if it were whole: the caller
            # would take a cut one for complete.
            self._reply.cut()
            return
        super().send_error(status_code, **details)

    def write_error(self, status_code: int, **_details: Any) -> None:
        """Answer what tornado refuses, and faults of our own."""
        self._reply.fail(self._fault(status_code), status_code)
        self._end()

    def _fault(self, status_code: int) -> Refusal:
        if status_code == _WRONG_METHOD:
            return not_run(
                Reason.UNKNOWN_PATH,
                f'{self.request.path!r} does not take the method'
                f' {self.request.method}',
            )
        if status_code < _SERVER_FAULT:
            return bad_request('expected a well-formed HTTP request')
        text = 'the router failed; its log tells more under this request id'
        if self._exchange is None:
            return not_run(Reason.INTERNAL, text)
        return may_have_run(Reason.INTERNAL, text)

    async def _refuse(self, refusal: Refusal) -> None:
        await self._reply.refuse(refusal)
        self._end()

    def _asked(self, path: str) -> Asked:
        headers = self.request.headers
        body = b''.join(self._pieces)
        self._pieces.clear()
        traceparent = headers.get('traceparent', '')
        if not _TRACEPARENT.fullmatch(traceparent):
            traceparent = ''
        return Asked(
            request_id=self._request_id,
            method=self.request.method or '',
            path=path,
            content_type=headers.get('Content-Type', JSON),
            body=body,
            idempotency_key=headers.get('Idempotency-Key', ''),
            traceparent=traceparent,
        )

    async def _serve(self, call: Call | Refusal) -> None:
        if self._size > MAX_BODY_BYTES:
            call = too_large(self._size)
        key = self.request.headers.get('Idempotency-Key', '')
        if len(key) > MAX_IDEMPOTENCY_KEY:
            call = bad_request(
                f'expected an Idempotency-Key of at most'
                f' {MAX_IDEMPOTENCY_KEY} characters, got {len(key)}'
            )
        if isinstance(call, Refusal):
            await self._refuse(call)
            return
        self._service_name = call.service.name
        if self._serving.draining:
            # Its head came before the drain; it may outlast what is left.
            self.set_header('Connection', 'close')
            await self._refuse(_draining())
            return
        refusal = await self._serving.links.limiter.admit(
            call.team, call.expected_tokens
        )
        if refusal is not None:
            await self._refuse(refusal)
            return
        if self._reply.gone:
            self._serving.links.limiter.ended(
                call.team, call.expected_tokens, 0.0
            )
            return
        self._exchange = Exchange(self._serving, call, self._reply)
        # The request ends when its last byte has been written and not
        # before: a drain that ended sooner would cut it.
        try:
            await self._exchange.run()
        finally:
            self._serving.links.limiter.ended(
                call.team, call.expected_tokens, self._exchange.tokens_used
            )
            self._end()

    def _end(self) -> None:
        if not self._opened:
            return
        self._opened = False
        self._serving.request_ended()


def _request_id(headers: Any) -> str:
    given = headers.get(REQUEST_ID_HEADER, '')
    if _REQUEST_ID.fullmatch(given):
        return str(given)
    return secrets.token_hex(_REQUEST_ID_BYTES)


def _draining() -> Refusal:
    return not_run(
        Reason.DRAINING,
        'this router is shutting down; repeat the request',
        retry_after_s=1.0,
    )


def _too_many() -> Refusal:
    return not_run(
        Reason.QUEUE_FULL,
        f'this router has {MAX_OPEN_REQUESTS} open requests already',
        retry_after_s=1.0,
    )


def _no_bundle() -> Refusal:
    return not_run(
        Reason.NOT_READY,
        'no bundle is in force at this router yet; repeat the request',
        retry_after_s=1.0,
    )
