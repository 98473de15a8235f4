"""Speak HTTP to the worker and tell whether it saw a request."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import pycurl
from lacewing_common.curl import connect_once
from lacewing_common.curl import CurlClient
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from lacewing_daemon.agent._transfer import AnswerStart
from lacewing_daemon.agent._transfer import HeaderLines
from lacewing_daemon.agent._transfer import StallTimer
from lacewing_daemon.agent._transfer import Transfer

CONNECT_TIMEOUT_S = 2.0
POLL_TIMEOUT_S = 2.0
# Polls, cancels and resumed answers beside the requests that hold slots.
_SPARE_CLIENTS = 16
# Bodies are bounded by the answer window, not by the client.
_MAX_BODY_BYTES = 1 << 40
_OK = 200


@dataclass(frozen=True)
class WorkerRequest:
    """Hold one HTTP request to the worker.

    ``stall_s`` bounds the time without a byte of the answer; a paused answer
    does not stall.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    stall_s: float = 120.0


@dataclass(frozen=True)
class Whole:
    """Report an answer that arrived to its end."""

    start: AnswerStart


@dataclass(frozen=True)
class Broken:
    """Report an answer that did not arrive to its end.

    ``reached`` is false only when the worker surely did not get the whole
    request.
    """

    reached: bool
    message: str


class AnswerSink(Protocol):
    """Take an answer as it arrives."""

    def begin(self, transfer: Transfer) -> None:
        """Take the control of the exchange."""

    def head(self, start: AnswerStart) -> None:
        """Take status and headers."""

    def body(self, chunk: bytes) -> None:
        """Take bytes of the body."""


class Worker:
    """Hold the HTTP client for one worker."""

    def __init__(self, url: str, concurrency: int) -> None:
        self._url = url.rstrip('/')
        self._client = CurlClient(
            force_instance=True,
            max_clients=concurrency + _SPARE_CLIENTS,
            max_body_size=_MAX_BODY_BYTES,
        )

    async def exchange(
        self, request: WorkerRequest, sink: AnswerSink
    ) -> Whole | Broken:
        """Send a request and feed its answer to a sink."""
        transfer = Transfer()
        headers = HeaderLines()
        started: list[AnswerStart] = []

        def start() -> None:
            if started:
                return
            found = headers.parse()
            if found is not None:
                started.append(found)
                sink.head(found)

        def body(chunk: bytes) -> None:
            transfer.touch()
            start()
            sink.body(chunk)

        def prepare(handle: pycurl.Curl) -> None:
            handle.setopt(pycurl.HEADERFUNCTION, headers.collect)
            # A kept connection may be closed by the worker just as the request
            # goes out; without a body, libcurl would even send it again by
            # itself. And the late copy of a failure that names no request
            # would be taken for the answer.
            connect_once(handle)
            transfer.begin(handle, request.body)
            sink.begin(transfer)

        fetched = self._http_request(request, prepare, body)
        stall = StallTimer(transfer, request.stall_s)
        try:
            await self._client.fetch(fetched, raise_error=False)
        except CurlError as error:
            return Broken(_reached(request, transfer, error), str(error))
        finally:
            stall.cancel()
            transfer.end()
        start()
        if not started:
            return Broken(True, 'the answer had no status line')
        return Whole(started[0])

    async def get(
        self, path: str, timeout_s: float = POLL_TIMEOUT_S
    ) -> bytes | Broken:
        """Fetch a small document; a status but 200 counts as broken."""
        request = HTTPRequest(
            self._url + path,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            prepare_curl_callback=connect_once,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return Broken(error.errno != pycurl.E_COULDNT_CONNECT, str(error))
        if response.code != _OK:
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
            prepare_curl_callback=connect_once,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError:
            return False
        return bool(response.code == _OK)

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


def _reached(
    request: WorkerRequest, transfer: Transfer, error: CurlError
) -> bool:
    if request.body:
        # A request whose body never left cannot have been run: the worker
        # waits for the announced length.
        return transfer.body_read
    return bool(error.errno != pycurl.E_COULDNT_CONNECT)
