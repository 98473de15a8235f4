"""Call the platform over HTTP and tell whether a call may have arrived."""

import asyncio
from asyncio import Future
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

from lacewing_common.curl import connect_directly
from lacewing_common.curl import CurlClient

_USER_AGENT = 'lacewing'
# An answer that comes more slowly than this, its first silence aside, is
# given up: a fortieth of the narrowest links that are in use (5 Mbit/s), so
# that all calls at once get through on one of them; 1 MiB takes 64 s then.
SLOWEST_BYTES_S = 16_384
# A request's body is given this time to leave: the system can't see how much
# of it has left the VM. A tenth of the narrowest links in use.
SLOWEST_SENT_BYTES_S = 65_536
# An overdue call is checked again after this delay before it is given up, so
# that data that has already arrived is read first.
_RECHECK_DELAY_S = 0.05
# A check that runs later than scheduled by more than this indicates a stall
# of the process.
_STALL_THRESHOLD_S = 0.02
# With these libcurl ends a call before it has sent a byte of the request.
_NEVER_SENT = (
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_SSL_CONNECT_ERROR,
    pycurl.E_PEER_FAILED_VERIFICATION,
)


@dataclass(frozen=True)
class HttpCall:
    """Hold one HTTP call.

    ``timeout_s`` bounds the wait for the answer to begin, from connect on.
    An answer that has begun may take as long as it keeps arriving.
    """

    method: str
    path: str
    timeout_s: float
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None

    @property
    def is_read(self) -> bool:
        """Tell whether the call changes nothing."""
        return self.method == 'GET'


@dataclass(frozen=True)
class HttpAnswer:
    """Hold an HTTP answer; its body took ``body_duration_s`` to arrive."""

    status: int
    headers: dict[str, str]
    body: bytes
    body_duration_s: float = 0.0


@dataclass(frozen=True)
class NoHttpAnswer:
    """Report that no whole answer came.

    ``may_be_sent``: false only when the call was surely not sent.
    ``received``: bytes of the body that had come.
    """

    may_be_sent: bool
    message: str
    received: int = 0


class _CurlClient(CurlClient):
    """Give each curl error its response, which holds the connect time."""

    def fetch_impl(
        self, request: HTTPRequest, callback: Callable[[HTTPResponse], None]
    ) -> None:
        """Fetch and pass on the response with the error tied to it."""

        def pass_on(response: HTTPResponse) -> None:
            if isinstance(response.error, CurlError):
                response.error.response = response
            callback(response)

        super().fetch_impl(request, pass_on)


class _Transfer:
    """Watch one call and give it up when nothing more is to be expected.

    A limit on the whole of a call would end each answer that is too large
    for its link: the next call begins with the first byte and ends the same
    way, for ever, and nothing else comes through meanwhile. So the wait for
    the first byte is bounded, then each silence, and a trickle by what has
    arrived. It goes on when the caller is cancelled: libcurl does, too, and
    nothing else would free the handle.
    """

    def __init__(
        self,
        client: _CurlClient,
        begin_s: float,
        silence_s: float,
        is_read: bool,
    ) -> None:
        self._client = client
        self._is_read = is_read
        self._loop = asyncio.get_running_loop()
        self._silence_s = silence_s
        self._begin_by_s = self._loop.time() + begin_s
        self._request: HTTPRequest | None = None
        self._timer: asyncio.Handle | None = None
        self._check_due_s = 0.0
        self._rechecked = False
        self._extended_s = 0.0
        self._first_s = 0.0
        self._last_s = 0.0
        self._pieces: list[bytes] = []
        self._received = 0

    @property
    def body(self) -> bytes:
        """Return what has arrived of the answer's body."""
        return b''.join(self._pieces)

    @property
    def received(self) -> int:
        """Return how many bytes of the body have arrived."""
        return self._received

    @property
    def took_s(self) -> float:
        """Return the time from the first piece of the body to the last."""
        return self._last_s - self._first_s

    def watch(self, request: HTTPRequest) -> None:
        """Give the call up in time, until ``end``."""
        self._request = request
        self._schedule_check(self._due_s())

    def take(self, piece: bytes) -> None:
        """Take a piece of the body."""
        now_s = self._loop.time()
        if not self._pieces:
            self._first_s = now_s
        self._last_s = now_s
        self._rechecked = False
        self._extended_s = 0.0
        self._pieces.append(piece)
        self._received += len(piece)

    def end(self, _fetch: 'Future[HTTPResponse]') -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _due_s(self) -> float:
        if not self._pieces:
            return self._begin_by_s
        silent_s = self._last_s + self._silence_s
        slow_s = (
            self._first_s + self._silence_s + self._received / SLOWEST_BYTES_S
        )
        return max(self._begin_by_s, min(silent_s, slow_s))

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
        if recheck_delay_s > 0:
            self._rechecked = True
            self._schedule_check(now_s + recheck_delay_s)
            return
        # Data read in this event loop iteration is passed to ``take`` in the
        # next one, before ``_give_up`` runs.
        self._timer = self._loop.call_soon(self._give_up)

    def _recheck_delay_s(self, now_s: float) -> float:
        """Return the delay until an overdue call is rechecked, 0 for never.

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

    def _give_up(self) -> None:
        due_s = self._due_s()
        if self._loop.time() < due_s:
            self._schedule_check(due_s)
            return
        self._timer = None
        assert self._request is not None
        message = 'the answer did not begin in time'
        if self._pieces:
            message = f'the answer stopped after {self._received} bytes'
        self._client.abort(self._request, message)


class HttpClient:
    """Make a bounded number of calls at once to one base URL.

    ``silence_s``: an answer that has begun is given up after a silence of
    this length.
    """

    def __init__(
        self,
        base_url: str,
        max_concurrent: int,
        connect_timeout_s: float,
        silence_s: float,
        ca_file: str | None = None,
    ) -> None:
        self._base_url = base_url
        self._connect_timeout_s = connect_timeout_s
        self._silence_s = silence_s
        self._ca_file = ca_file
        self._slots = asyncio.Semaphore(max_concurrent)
        self._client = _CurlClient(
            force_instance=True, max_clients=max_concurrent
        )

    async def call(self, call: HttpCall) -> HttpAnswer | NoHttpAnswer:
        """Make one call; cancelling it leaves a write's effect unknown."""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._slots.acquire()
        except TimeoutError:
            return NoHttpAnswer(False, 'too many calls to the platform wait')
        body_s = len(call.body or b'') / SLOWEST_SENT_BYTES_S
        transfer = _Transfer(
            self._client,
            call.timeout_s + body_s,
            self._silence_s,
            call.is_read,
        )
        request = self._request(call, transfer)
        fetch = self._client.fetch(request, raise_error=False)
        transfer.watch(request)
        fetch.add_done_callback(transfer.end)
        fetch.add_done_callback(self._release)
        # A cancelled caller must not free the slot: libcurl goes on with the
        # call, and the next one would wait unseen for its handle.
        try:
            response = await asyncio.shield(fetch)
        except CurlError as error:
            return NoHttpAnswer(
                _may_be_sent(error), str(error), transfer.received
            )
        return HttpAnswer(
            response.code,
            dict(response.headers),
            transfer.body,
            transfer.took_s,
        )

    def close(self) -> None:
        """Close all connections; calls under way never return."""
        self._client.close()

    def _request(self, call: HttpCall, transfer: _Transfer) -> HTTPRequest:
        prepare = _prepare_read if call.is_read else _prepare_write
        return HTTPRequest(
            self._base_url + call.path,
            method=call.method,
            headers=dict(call.headers),
            body=call.body,
            connect_timeout=self._connect_timeout_s,
            request_timeout=0.0,
            streaming_callback=transfer.take,
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


def _prepare_read(curl: pycurl.Curl) -> None:
    connect_directly(curl)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)


def _prepare_write(curl: pycurl.Curl) -> None:
    """Send a write once, on a connection of its own.

    When a kept connection breaks before the answer, libcurl sends the
    request again by itself, unseen. The first may have taken effect with its
    answer lost; the second then gets a conflict, and a writer would take its
    own change for another's. libcurl never resends on a new connection.
    """
    _prepare_read(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _may_be_sent(error: CurlError) -> bool:
    if error.errno in _NEVER_SENT:
        return False
    if error.errno != pycurl.E_OPERATION_TIMEDOUT or error.response is None:
        return True
    return bool(error.response.time_info['connect'] > 0)
