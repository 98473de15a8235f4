"""Work around known faults of tornado's curl client and of libcurl."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

_STATUS_LINE_START = b'HTTP/'
_HEAD_ENDS = (b'\r\n', b'\n')


class _Curl(pycurl.Curl):
    """Record whether the head of the final response arrived whole.

    libcurl reports a response whose connection is closed inside its head as
    whole, with an empty body. It passes each header line that arrived to the
    header callback, and the empty line only if the head ended with it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._is_interim = False
        self._head_is_whole = False

    @property
    def has_whole_head(self) -> bool:
        """Return whether a head that is not an interim one arrived whole."""
        return self._head_is_whole

    def start(self) -> None:
        """Start a request."""
        self._is_interim = False
        self._head_is_whole = False

    def setopt(self, option: int, value: Any, **keywords: Any) -> None:
        """Set an option; observe what a header callback receives."""
        if option == pycurl.HEADERFUNCTION:
            value = self._observed(value)
        super().setopt(option, value, **keywords)

    def _observed(
        self, callback: Callable[[bytes], int | None]
    ) -> Callable[[bytes], int | None]:
        def observe(line: bytes) -> int | None:
            self._read_line(line)
            return callback(line)

        return observe

    def _read_line(self, line: bytes) -> None:
        if line.startswith(_STATUS_LINE_START):
            self._is_interim = _is_interim(line)
            self._head_is_whole = False
            return
        if line in _HEAD_ENDS and not self._is_interim:
            self._head_is_whole = True


def _is_interim(status_line: bytes) -> bool:
    words = status_line.split(None, 2)
    return len(words) > 1 and words[1].startswith(b'1')


class CurlClient(CurlAsyncHTTPClient):
    """End calls whose response is cut off inside its head with an error.

    Also cancel the timer when closed with calls in progress: when libcurl
    ends such calls, it sets the client's timer again; on expiry, after the
    client is closed, it would log an ``AttributeError``.
    """

    def close(self) -> None:
        """Close all connections and cancel the timer."""
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)

    def abort(self, request: HTTPRequest, message: str) -> None:
        """Abort a call in progress as if it had timed out.

        Its connection is closed and its handle is freed immediately.
        libcurl's own timeouts can't be used: they start with the call, and
        its limit on silence has a resolution of whole seconds.
        """
        if self._multi is None:
            # Already closed: pending calls never return, handles are freed.
            return
        for curl in self._curls:
            info = getattr(curl, 'info', None)
            # The client stores a proxy object that adds default values to
            # the request.
            if info is not None and info['request'].request is request:
                self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, message)
                self._process_queue()
                return

    def _curl_create(self) -> pycurl.Curl:
        return _Curl()

    def _curl_setup_request(
        self,
        curl: pycurl.Curl,
        request: HTTPRequest,
        buffer: BytesIO,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(curl, _Curl)
        curl.start()
        super()._curl_setup_request(curl, request, buffer, headers)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        assert isinstance(curl, _Curl)
        if not curl_error and not curl.has_whole_head:
            curl_error = pycurl.E_PARTIAL_FILE
            curl_message = 'the response was cut off inside its head'
        super()._finish(curl, curl_error, curl_message)


def connect_directly(curl: pycurl.Curl) -> None:
    """Ignore proxies that are set in environment variables.

    The system connects to addresses of its own network; a response of a
    proxy would be mistaken for a response of the process at that address.
    """
    curl.setopt(pycurl.NOPROXY, '*')


def connect_once(curl: pycurl.Curl) -> None:
    """Make a call on a connection of its own, without a proxy.

    libcurl resends a call whose kept connection breaks, and takes whatever
    arrives on a kept connection for the response to the call under way.
    """
    connect_directly(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
