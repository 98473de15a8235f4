"""Speak HTTP to the worker and tell whether it saw a request."""

from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO
from typing import Protocol

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

CONNECT_TIMEOUT_S = 2.0
POLL_TIMEOUT_S = 2.0
_MAX_CLIENTS = 512
# Bodies are bounded by the answer window, not by the client.
_MAX_BODY_BYTES = 1 << 40
_FIRST_FINAL_STATUS = 200


@dataclass(frozen=True)
class WorkerRequest:
    """Hold one HTTP request to the worker.

    ``repeatable`` lets the client send it again on a fresh connection when
    a kept one turns out dead. ``stall_s`` bounds the time without a byte
    of the answer; a paused answer does not stall.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    repeatable: bool = True
    stall_s: float = 120.0


@dataclass(frozen=True)
class AnswerStart:
    """Hold the status and the headers that matter of an answer."""

    status: int
    content_type: str
    request_id: str
    epoch: str


@dataclass(frozen=True)
class Whole:
    """Report an answer that arrived to its end.

    ``resent`` says that the request went out twice, as a kept connection
    broke: the worker may have run it the first time.
    """

    start: AnswerStart
    resent: bool = False


@dataclass(frozen=True)
class Broken:
    """Report an answer that did not arrive to its end.

    ``reached`` is false only when the worker surely did not get the whole
    request.
    """

    reached: bool
    message: str


class Transfer:
    """Pause, go on with or abort one HTTP exchange."""

    def __init__(self) -> None:
        self._handle: pycurl.Curl | None = None
        self._aborted = False
        self._body_read = False
        self._resent = False

    @property
    def resent(self) -> bool:
        """Tell whether the request went out a second time."""
        return self._resent

    @property
    def aborted(self) -> bool:
        """Tell whether the exchange was given up."""
        return self._aborted

    @property
    def body_read(self) -> bool:
        """Tell whether any byte of the request's body may have left."""
        return self._body_read

    def pause(self) -> None:
        """Stop reading the answer; the worker's socket fills up."""
        self._set_pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Read the answer on."""
        self._set_pause(pycurl.PAUSE_CONT)

    def abort(self) -> None:
        """Close the connection at once.

        The progress callback ends the transfer; pausing and going on makes
        libcurl call it now and not at its next second.
        """
        self._aborted = True
        self._set_pause(pycurl.PAUSE_RECV)
        self._set_pause(pycurl.PAUSE_CONT)

    def begin(self, handle: pycurl.Curl, body: bytes | None) -> None:
        """Take the handle that runs the exchange."""
        self._handle = handle
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, self._progress)
        if body:
            self._watch_body(handle, body)

    def end(self) -> None:
        """Let go of the handle, which serves another exchange now."""
        self._handle = None

    def _watch_body(self, handle: pycurl.Curl, body: bytes) -> None:
        source = BytesIO(body)

        def read(size: int) -> bytes:
            self._body_read = True
            return source.read(size)

        def seek(offset: int, origin: int) -> int:
            self._resent = True
            source.seek(offset, origin)
            return pycurl.SEEKFUNC_OK

        handle.setopt(pycurl.READFUNCTION, read)
        handle.setopt(pycurl.SEEKFUNCTION, seek)

    def _progress(self, *_counts: float) -> int:
        return 1 if self._aborted else 0

    def _set_pause(self, bits: int) -> None:
        if self._handle is None:
            return
        try:
            self._handle.pause(bits)
        except pycurl.error:
            # The transfer failed while it was paused; the exchange reports
            # that by itself.
            return


class AnswerSink(Protocol):
    """Take an answer as it arrives."""

    def begin(self, transfer: Transfer) -> None:
        """Take the control of the exchange."""

    def head(self, start: AnswerStart) -> None:
        """Take status and headers."""

    def body(self, chunk: bytes) -> None:
        """Take bytes of the body."""


class _Headers:
    """Collect header lines inside libcurl, read them outside of it."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []

    def collect(self, line: bytes) -> None:
        """Take one line; called by libcurl."""
        if line.startswith(b'HTTP/'):
            self._lines.clear()
        self._lines.append(line)

    def parse(self) -> AnswerStart | None:
        """Return the start of the final answer, or None before it."""
        if not self._lines:
            return None
        words = self._lines[0].split(None, 2)
        if len(words) < 2 or not words[1].isdigit():
            return None
        status = int(words[1])
        if status < _FIRST_FINAL_STATUS:
            return None
        fields: dict[str, str] = {}
        for line in self._lines[1:]:
            name, _, value = line.decode('latin1').partition(':')
            fields[name.strip().lower()] = value.strip()
        return AnswerStart(
            status,
            fields.get('content-type', ''),
            fields.get('x-request-id', ''),
            fields.get('x-engine-epoch', ''),
        )


class Worker:
    """Hold the HTTP client for one worker."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip('/')
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_body_size=_MAX_BODY_BYTES,
        )

    async def exchange(
        self, request: WorkerRequest, sink: AnswerSink
    ) -> Whole | Broken:
        """Send a request and feed its answer to a sink."""
        transfer = Transfer()
        headers = _Headers()
        started: list[AnswerStart] = []

        def start() -> None:
            if started:
                return
            found = headers.parse()
            if found is not None:
                started.append(found)
                sink.head(found)

        def body(chunk: bytes) -> None:
            start()
            sink.body(chunk)

        def prepare(handle: pycurl.Curl) -> None:
            handle.setopt(pycurl.HEADERFUNCTION, headers.collect)
            _set_options(handle, request)
            transfer.begin(handle, request.body)
            sink.begin(transfer)

        fetched = self._http_request(request, prepare, body)
        try:
            await self._client.fetch(fetched, raise_error=False)
        except CurlError as error:
            return Broken(_reached(request, transfer, error), str(error))
        finally:
            transfer.end()
        start()
        if not started:
            return Broken(True, 'the answer had no status line')
        return Whole(started[0], transfer.resent)

    async def get(
        self, path: str, timeout_s: float = POLL_TIMEOUT_S
    ) -> bytes | Broken:
        """Fetch a small document; a status but 200 counts as broken."""
        request = HTTPRequest(
            self._url + path,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            prepare_curl_callback=_use_no_proxy,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return Broken(error.errno != pycurl.E_COULDNT_CONNECT, str(error))
        if response.code != _FIRST_FINAL_STATUS:
            return Broken(True, f'{path}: status {response.code}')
        return response.body

    async def cancel(self, request_id: str) -> bool:
        """Stop a request at the worker; false if it could not be told."""
        request = HTTPRequest(
            f'{self._url}/requests/{request_id}/cancel',
            method='POST',
            body=b'',
            connect_timeout=POLL_TIMEOUT_S,
            request_timeout=POLL_TIMEOUT_S,
            prepare_curl_callback=_use_no_proxy,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError:
            return False
        return bool(response.code == _FIRST_FINAL_STATUS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _http_request(
        self,
        request: WorkerRequest,
        prepare: Callable[[pycurl.Curl], None],
        body: Callable[[bytes], None],
    ) -> HTTPRequest:
        return HTTPRequest(
            self._url + request.path,
            method=request.method,
            headers=dict(request.headers),
            body=request.body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=0,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            streaming_callback=body,
            prepare_curl_callback=prepare,
        )


def _use_no_proxy(handle: pycurl.Curl) -> None:
    # libcurl would else take a proxy from the environment.
    handle.setopt(pycurl.PROXY, '')


def _set_options(handle: pycurl.Curl, request: WorkerRequest) -> None:
    _use_no_proxy(handle)
    handle.setopt(pycurl.LOW_SPEED_LIMIT, 1)
    handle.setopt(pycurl.LOW_SPEED_TIME, max(1, round(request.stall_s)))
    if request.repeatable and request.body:
        return
    # When a kept connection breaks before the first byte of an answer,
    # libcurl silently sends the request again on a new one. The worker may
    # have run it before the break: a certificate would be issued twice,
    # seen only in the worker's own count. A fresh connection is never
    # retried. A request without a body needs one too: were it sent twice,
    # a refused second connection would look like a request never sent.
    handle.setopt(pycurl.FRESH_CONNECT, 1)
    handle.setopt(pycurl.FORBID_REUSE, 1)


def _reached(
    request: WorkerRequest, transfer: Transfer, error: CurlError
) -> bool:
    if request.body:
        # A request whose body never left cannot have been run: the worker
        # waits for the announced length. The error alone would not do: a
        # refused connection may be the second, after a kept one broke.
        return transfer.body_read
    return bool(error.errno != pycurl.E_COULDNT_CONNECT)
