"""Make HTTP calls and report whether a failed one may have been sent."""

import asyncio
from asyncio import Future
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from weakref import WeakMethod

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

from lacewing_common.curl import connect_directly
from lacewing_common.curl import connect_once
from lacewing_common.curl import CurlClient

_USER_AGENT = 'lacewing'
# Minimum average rate of a response body, not counting the wait for its first
# byte; slower responses are aborted. 1/40 of the rate of the slowest links in
# use (5 Mbit/s), so that all concurrent calls can complete on one such link.
# At this rate 1 MiB takes 64 s.
SLOWEST_BYTES_S = 16_384
# Assumed upload rate of a request body, which extends the timeout: the number
# of bytes that have left the VM can't be observed. 1/10 of the rate of the
# slowest links in use.
SLOWEST_SENT_BYTES_S = 65_536
# Default bound of a response body.
MAX_BODY_BYTES = 16 * 1024 * 1024
# An overdue call is checked again after this delay before it is aborted, so
# that data that has already arrived is read first.
_RECHECK_DELAY_S = 0.05
# A check that runs later than scheduled by more than this indicates a stall
# of the process.
_STALL_THRESHOLD_S = 0.02
# Errors with which libcurl ends a call before it sends any byte of the
# request.
_NOT_SENT_ERRORS = (
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_SSL_CONNECT_ERROR,
    pycurl.E_PEER_FAILED_VERIFICATION,
)


@dataclass(frozen=True)
class HttpCall:
    """Hold one HTTP request.

    ``timeout_s`` bounds the time from connecting to the first byte of the
    response body. With ``total_s`` the whole call takes no longer than that;
    without it a response that keeps arriving takes as long as its size and
    ``SLOWEST_BYTES_S`` allow. A response is aborted once its body exceeds
    ``max_body_bytes``, by default the bound of the client. A read with
    ``is_alone`` is sent on a connection of its own, like all writes: on a
    kept one, a late copy of the answer to an earlier call would be taken for
    the answer to this one.
    """

    method: str
    path: str
    timeout_s: float
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None
    max_body_bytes: int | None = None
    total_s: float | None = None
    is_alone: bool = False

    @property
    def is_read(self) -> bool:
        """Return whether the call only reads."""
        return self.method == 'GET'


@dataclass(frozen=True)
class HttpAnswer:
    """Hold an HTTP response; ``body_duration_s``: time to receive the body."""

    status: int
    headers: dict[str, str]
    body: bytes
    body_duration_s: float = 0.0


@dataclass(frozen=True)
class NoHttpAnswer:
    """Report that no complete response was received.

    ``may_be_sent``: false only if the request was certainly not sent.
    ``received``: number of bytes received of the body. ``exceeded``: the
    response was aborted as it exceeded the call's bound on bytes or on the
    total time.
    """

    may_be_sent: bool
    message: str
    received: int = 0
    exceeded: bool = False


class _CurlClient(CurlClient):
    """Attach the response, with its connect time, to each curl error."""

    def fetch_impl(
        self, request: HTTPRequest, callback: Callable[[HTTPResponse], None]
    ) -> None:
        """Fetch; attach the response to its error before the callback."""

        def attach_response(response: HTTPResponse) -> None:
            if isinstance(response.error, CurlError):
                response.error.response = response
            callback(response)

        super().fetch_impl(request, attach_response)


class _Transfer:
    """Monitor one call and abort it when its response stops arriving.

    A limit on the total time would abort every response that is too large
    for its link: each retry starts at the first byte and fails the same way,
    for ever, and blocks the link for other calls. Instead, the wait for the
    first byte, each gap without data and the average rate are limited. The
    monitoring continues if the caller is cancelled, because libcurl
    continues the call as well and nothing else would free the handle.
    """

    def __init__(
        self,
        client: _CurlClient,
        call: HttpCall,
        silence_s: float,
        max_body_bytes: int,
    ) -> None:
        self._client = client
        self._is_read = call.is_read
        self._max_body_bytes = call.max_body_bytes or max_body_bytes
        self._loop = asyncio.get_running_loop()
        self._silence_s = silence_s
        start_s = self._loop.time()
        upload_s = len(call.body or b'') / SLOWEST_SENT_BYTES_S
        self._first_byte_due_s = start_s + call.timeout_s + upload_s
        self._total_due_s = float('inf')
        if call.total_s is not None:
            self._total_due_s = start_s + call.total_s + upload_s
        self._total_extended = False
        self._exceeded = False
        self._request: HTTPRequest | None = None
        self._timer: asyncio.Handle | None = None
        self._check_due_s = 0.0
        self._rechecked = False
        self._extended_s = 0.0
        self._first_piece_s = 0.0
        self._last_piece_s = 0.0
        self._pieces: list[bytes] = []
        self._received = 0

    @property
    def body(self) -> bytes:
        """Return the bytes received of the response body."""
        return b''.join(self._pieces)

    @property
    def received(self) -> int:
        """Return the number of bytes received of the body."""
        return self._received

    @property
    def exceeded(self) -> bool:
        """Return whether the response exceeded a bound of the call."""
        return self._exceeded

    @property
    def body_duration_s(self) -> float:
        """Return the time between the first and last piece of the body."""
        return self._last_piece_s - self._first_piece_s

    def start(self, request: HTTPRequest) -> None:
        """Start monitoring a request, until ``stop`` is called."""
        self._request = request
        self._schedule_check(self._due_s())

    def add_piece(self, piece: bytes) -> None:
        """Append a piece of the body; abort a response that is too large."""
        if self._exceeded:
            return
        if self._received + len(piece) > self._max_body_bytes:
            self._exceeded = True
            self._pieces.clear()
            self._abort_with(f'over {self._max_body_bytes} bytes')
            return
        now_s = self._loop.time()
        if not self._pieces:
            self._first_piece_s = now_s
        self._last_piece_s = now_s
        self._rechecked = False
        self._extended_s = 0.0
        self._pieces.append(piece)
        self._received += len(piece)

    def stop(self, _fetch: 'Future[HTTPResponse]') -> None:
        """Stop monitoring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _due_s(self) -> float:
        if not self._pieces:
            return self._first_byte_due_s
        silence_due_s = self._last_piece_s + self._silence_s
        rate_due_s = (
            self._first_piece_s
            + self._silence_s
            + self._received / SLOWEST_BYTES_S
        )
        due_s = max(self._first_byte_due_s, min(silence_due_s, rate_due_s))
        return min(due_s, self._total_due_s)

    def _schedule_check(self, at_s: float) -> None:
        self._check_due_s = at_s
        self._timer = self._loop.call_at(at_s, self._check)

    def _check(self) -> None:
        now_s = self._loop.time()
        due_s = self._due_s()
        if now_s < due_s:
            self._schedule_check(due_s)
            return
        recheck_delay_s = self._recheck_delay_s(now_s)
        if now_s >= self._total_due_s:
            # Extended at most once: each piece would extend it anew.
            if self._total_extended:
                recheck_delay_s = 0.0
            self._total_extended = True
            self._total_due_s += recheck_delay_s
        if recheck_delay_s > 0:
            self._rechecked = True
            self._schedule_check(now_s + recheck_delay_s)
            return
        # Data read in this event loop iteration is passed to ``add_piece`` in
        # the next one, before ``_abort`` runs.
        self._timer = self._loop.call_soon(self._abort)

    def _recheck_delay_s(self, now_s: float) -> float:
        """Return the delay until an overdue call is rechecked, 0 for none.

        A late check indicates a stall of this process. The stall does not
        count as silence: data may have arrived meanwhile without being read.
        The limit of a write without an answer is not extended: its caller
        relies on the call ending in time.
        """
        lateness_s = now_s - self._check_due_s
        remaining_s = self._silence_s - self._extended_s
        stalled = lateness_s > _STALL_THRESHOLD_S
        if stalled and remaining_s > 0 and (self._is_read or self._pieces):
            extension_s = max(_RECHECK_DELAY_S, min(lateness_s, remaining_s))
            self._extended_s += extension_s
            return extension_s
        return 0.0 if self._rechecked else _RECHECK_DELAY_S

    def _abort(self) -> None:
        due_s = self._due_s()
        if self._loop.time() < due_s:
            self._schedule_check(due_s)
            return
        self._timer = None
        message = 'the response did not start in time'
        if self._pieces:
            message = f'the response stalled after {self._received} bytes'
            if self._loop.time() >= self._total_due_s:
                self._exceeded = True
                message = f'not whole in time, after {self._received} bytes'
        self._abort_with(message)

    def _abort_with(self, message: str) -> None:
        assert self._request is not None
        self._client.abort(self._request, message)


class HttpClient:
    """Make a limited number of concurrent calls to one base URL.

    ``silence_s``: a response that has started is aborted after this time
    without data; ``max_body_bytes``: once its body exceeds this.
    """

    def __init__(
        self,
        base_url: str,
        max_concurrent: int,
        connect_timeout_s: float,
        silence_s: float,
        ca_file: str | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._base_url = base_url
        self._connect_timeout_s = connect_timeout_s
        self._silence_s = silence_s
        self._ca_file = ca_file
        self._slots = asyncio.Semaphore(max_concurrent)
        self._client = _CurlClient(
            force_instance=True, max_clients=max_concurrent
        )

    async def call(self, call: HttpCall) -> HttpAnswer | NoHttpAnswer:
        """Make one call; if cancelled, the effect of a write is unknown."""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._slots.acquire()
        except TimeoutError:
            return NoHttpAnswer(
                False, 'too many calls to the platform are waiting'
            )
        transfer = _Transfer(
            self._client, call, self._silence_s, self._max_body_bytes
        )
        request = self._request(call, transfer)
        fetch = self._client.fetch(request, raise_error=False)
        transfer.start(request)
        fetch.add_done_callback(transfer.stop)
        fetch.add_done_callback(self._release)
        # Cancelling the caller must not free the slot: libcurl continues the
        # call, and the next call would wait for its handle without a timeout.
        try:
            response = await asyncio.shield(fetch)
        except CurlError as error:
            return NoHttpAnswer(
                _may_be_sent(error),
                str(error),
                transfer.received,
                transfer.exceeded,
            )
        return HttpAnswer(
            response.code,
            dict(response.headers),
            transfer.body,
            transfer.body_duration_s,
        )

    def close(self) -> None:
        """Close all connections; pending calls never return."""
        self._client.close()

    def _request(self, call: HttpCall, transfer: _Transfer) -> HTTPRequest:
        is_kept = call.is_read and not call.is_alone
        prepare = _prepare_kept if is_kept else _prepare_alone
        return HTTPRequest(
            self._base_url + call.path,
            method=call.method,
            headers=dict(call.headers),
            body=call.body,
            connect_timeout=self._connect_timeout_s,
            request_timeout=0.0,
            streaming_callback=_weak_callback(transfer.add_piece),
            follow_redirects=False,
            decompress_response=False,
            user_agent=_USER_AGENT,
            ca_certs=self._ca_file,
            prepare_curl_callback=prepare,
        )

    def _release(self, fetch: 'Future[HTTPResponse]') -> None:
        self._slots.release()
        if not fetch.cancelled():
            fetch.exception()


def _weak_callback(method: Callable[[bytes], None]) -> Callable[[bytes], None]:
    """Return a callback that does not keep the object of its method.

    An idle handle keeps the callbacks of its last call, and with them the
    whole body.
    """
    reference = WeakMethod(method)

    def call(piece: bytes) -> None:
        target = reference()
        if target is not None:
            target(piece)

    return call


def _prepare_kept(curl: pycurl.Curl) -> None:
    connect_directly(curl)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)


def _prepare_alone(curl: pycurl.Curl) -> None:
    """Send a call once, on a connection of its own.

    If a reused connection breaks before the response, libcurl resends the
    request on its own without reporting it. The first request may have taken
    effect although its response was lost; the second one then gets a
    conflict, and the writer would attribute its own change to another
    writer. libcurl never resends on a new connection.
    """
    _prepare_kept(curl)
    connect_once(curl)


def _may_be_sent(error: CurlError) -> bool:
    if error.errno in _NOT_SENT_ERRORS:
        return False
    if error.errno != pycurl.E_OPERATION_TIMEDOUT or error.response is None:
        return True
    return bool(error.response.time_info['connect'] > 0)
