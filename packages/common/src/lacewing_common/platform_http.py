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
# libcurl ends a call at its timeout, but learns of the time from a timer
# that came up to 0.9 s late on a connection that had fallen silent.
_CURL_LATE_S = 0.1
# With these libcurl ends a call before it has sent a byte of the request.
_NEVER_SENT = (
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_SSL_CONNECT_ERROR,
    pycurl.E_PEER_FAILED_VERIFICATION,
)


@dataclass(frozen=True)
class Call:
    """Hold one HTTP call; ``timeout_s`` bounds it from connect to end."""

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
class Answer:
    """Hold an HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class NoAnswer:
    """Report that no answer came; ``sent`` is false only when sure."""

    sent: bool
    message: str


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


class HttpCaller:
    """Make a bounded number of calls at once to one base URL."""

    def __init__(
        self,
        base_url: str,
        at_once: int,
        connect_timeout_s: float,
        ca_file: str | None = None,
    ) -> None:
        self._base_url = base_url
        self._connect_timeout_s = connect_timeout_s
        self._ca_file = ca_file
        self._slots = asyncio.Semaphore(at_once)
        self._client = _CurlClient(force_instance=True, max_clients=at_once)

    async def call(self, call: Call) -> Answer | NoAnswer:
        """Make one call; cancelling it leaves a write's effect unknown."""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._slots.acquire()
        except TimeoutError:
            return NoAnswer(False, 'too many calls to the platform wait')
        fetch = self._client.fetch(self._request(call), raise_error=False)
        fetch.add_done_callback(self._release)
        # A cancelled caller must not free the slot: libcurl goes on with the
        # call, and the next one would wait unseen for its handle.
        try:
            async with asyncio.timeout(call.timeout_s + _CURL_LATE_S):
                response = await asyncio.shield(fetch)
        except TimeoutError:
            return NoAnswer(True, f'no answer within {call.timeout_s} s')
        except CurlError as error:
            return NoAnswer(_may_be_sent(error), str(error))
        return Answer(response.code, dict(response.headers), response.body)

    def close(self) -> None:
        """Close all connections; calls under way never return."""
        self._client.close()

    def _request(self, call: Call) -> HTTPRequest:
        prepare = _prepare_read if call.is_read else _prepare_write
        return HTTPRequest(
            self._base_url + call.path,
            method=call.method,
            headers=dict(call.headers),
            body=call.body,
            connect_timeout=self._connect_timeout_s,
            request_timeout=call.timeout_s,
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
