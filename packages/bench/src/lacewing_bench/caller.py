"""Send requests to a router as an application would."""

import time
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec
import pycurl
from lacewing_common.curl import CurlClient
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

NO_ANSWER = 599
_OK = 200
_TIMEOUT_S = 60.0
_CALLS_AT_ONCE = 200
_DATA = 'data: '
_DONE = '[DONE]'


@dataclass(frozen=True)
class Call:
    """Hold one request; ``body`` None sends a GET.

    ``is_refused`` marks one that the router ought to refuse. The caller
    hangs up after ``timeout_s``. With ``fresh`` the call has a connection of
    its own: on a kept one that breaks the client's library sends a request
    again by itself. ``bytes_per_s`` is how fast it reads, 0 for at once.
    """

    title: str
    team: str
    path: str
    body: Any = None
    idempotency_key: str = ''
    is_refused: bool = False
    timeout_s: float = _TIMEOUT_S
    fresh: bool = False
    bytes_per_s: int = 0

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return 'GET' if self.body is None else 'POST'

    @property
    def streamed(self) -> bool:
        """Tell whether the answer is asked for as a stream."""
        return isinstance(self.body, dict) and bool(self.body.get('stream'))


@dataclass(frozen=True)
class Answer:
    """Hold an answer; ``first_ms`` runs to the first byte of its body.

    ``text`` is what the model said, or the body of any other answer;
    ``status`` is 599 when the connection broke; ``whole`` tells that the
    answer came to its end; ``retry_after_s`` says when to ask again, None
    when the answer doesn't; ``sent`` is false when no connection was made.
    """

    status: int
    verdict: str
    request_id: str
    text: str
    events: int
    cached_tokens: int | None
    whole: bool
    first_ms: float
    retry_after_s: float | None = None
    sent: bool = True


class Progress:
    """Note what has come of an answer so far."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._first_at: float | None = None

    @property
    def begun(self) -> bool:
        """Tell whether a byte of the body has come."""
        return self._first_at is not None

    @property
    def first_at(self) -> float:
        """Return when the first byte came, or now."""
        return self._first_at or time.monotonic()

    @property
    def body(self) -> str:
        """Return the body so far."""
        return b''.join(self._pieces).decode(errors='replace')

    def take(self, piece: bytes) -> None:
        """Add a piece."""
        if self._first_at is None:
            self._first_at = time.monotonic()
        self._pieces.append(piece)


class Caller:
    """Call routers with the keys of the teams."""

    def __init__(
        self,
        keys: Mapping[str, str],
        ca_file: str | None = None,
        calls_at_once: int = _CALLS_AT_ONCE,
    ) -> None:
        self._keys = keys
        self._ca_file = ca_file
        self._client = CurlClient(
            force_instance=True, max_clients=calls_at_once
        )

    async def send(
        self, url: str, call: Call, progress: Progress | None = None
    ) -> Answer:
        """Send one request to the router at a base URL."""
        progress = progress or Progress()
        started = time.monotonic()
        status, headers, unbroken, sent = NO_ANSWER, {}, False, True
        try:
            response = await self._client.fetch(
                self._request(url, call, progress), raise_error=False
            )
            status = response.code
            headers = dict(response.headers)
            unbroken = response.error is None or status != NO_ANSWER
            sent = not _is_unsent(response.error)
        except CurlError as error:
            # The connection broke before or within the answer.
            unbroken = False
            sent = not _is_unsent(error)
        read = _read_whole(progress.body)
        if call.streamed and status in (_OK, NO_ANSWER):
            read = _read_stream(progress.body)
        return Answer(
            status=status,
            verdict=headers.get('Lacewing-Verdict', ''),
            request_id=headers.get('X-Request-Id', ''),
            text=read.text,
            events=read.events,
            cached_tokens=read.cached_tokens,
            whole=unbroken and read.whole,
            first_ms=(progress.first_at - started) * 1000,
            retry_after_s=_seconds(headers.get('Retry-After', '')),
            sent=sent,
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _request(
        self, url: str, call: Call, progress: Progress
    ) -> HTTPRequest:
        headers = {
            'Authorization': f'Bearer {self._keys.get(call.team, call.team)}'
        }
        if call.idempotency_key:
            headers['Idempotency-Key'] = f'"{call.idempotency_key}"'
        body = None
        if call.body is not None:
            headers['Content-Type'] = 'application/json'
            body = msgspec.json.encode(call.body)
        return HTTPRequest(
            url + call.path,
            method=call.method,
            headers=headers,
            body=body,
            request_timeout=call.timeout_s,
            ca_certs=self._ca_file,
            streaming_callback=progress.take,
            prepare_curl_callback=partial(_prepare, call),
        )


@dataclass(frozen=True)
class _Read:
    text: str
    events: int = 0
    cached_tokens: int | None = None
    whole: bool = True


def _read_stream(body: str) -> _Read:
    text: list[str] = []
    events = 0
    cached: int | None = None
    done = False
    for line in body.split('\n'):
        if not line.startswith(_DATA):
            continue
        data = line.removeprefix(_DATA)
        if data == _DONE:
            done = True
            continue
        try:
            chunk = msgspec.json.decode(data)
        except msgspec.DecodeError:
            # A broken connection may end within an event.
            continue
        events += 1
        cached = _cached(chunk) if chunk.get('usage') else cached
        for choice in chunk.get('choices', []):
            delta = choice.get('delta') or {}
            text.append(delta.get('content') or choice.get('text') or '')
    return _Read(''.join(text), events, cached, done)


def _read_whole(body: str) -> _Read:
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return _Read(body)
    if not isinstance(answer, dict):
        return _Read(body)
    if 'error' in answer:
        error = answer['error']
        return _Read(f'{error["code"]}: {error["message"]}')
    if not answer.get('choices'):
        return _Read(body)
    choice = answer['choices'][0]
    text = choice.get('text') or choice.get('message', {}).get('content', '')
    return _Read(text, cached_tokens=_cached(answer))


def _cached(answer: Any) -> int | None:
    usage = answer.get('usage') or {}
    details = usage.get('prompt_tokens_details') or {}
    cached: int | None = details.get('cached_tokens')
    return cached


def _seconds(text: str) -> float | None:
    return float(text) if text.isdigit() else None


def _is_unsent(error: BaseException | None) -> bool:
    if not isinstance(error, CurlError):
        return False
    return bool(error.errno == pycurl.E_COULDNT_CONNECT)


def _prepare(call: Call, curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.NOPROXY, '*')
    # A handle is used again, so that each option must be set or reset.
    curl.setopt(pycurl.FRESH_CONNECT, int(call.fresh))
    curl.setopt(pycurl.FORBID_REUSE, int(call.fresh))
    curl.setopt(pycurl.MAX_RECV_SPEED_LARGE, call.bytes_per_s)
