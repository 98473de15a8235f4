"""Serve the readiness page of the balancer and the metrics page."""

from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate

from lacewing_daemon.callers import BoundedServer
from lacewing_daemon.callers import CallerAccount
from lacewing_daemon.direct._caller_reply import CallerReply

# Requests for a page are small.
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 16384
HEAD_S = 3.0
IDLE_S = 15.0
_OK = 200
_UNAVAILABLE = 503
_PLAIN_TEXT = 'text/plain'


@dataclass(frozen=True)
class Page:
    """Hold one complete response."""

    status: int
    content_type: str
    body: bytes


class PageServer(HTTPServerConnectionDelegate):
    """Answer every request on one address with the same page."""

    def __init__(
        self, page: Callable[[], Page], account: CallerAccount
    ) -> None:
        self._make_page = page
        self._server = BoundedServer(
            self,
            account,
            HEAD_S,
            idle_connection_timeout=IDLE_S,
            body_timeout=HEAD_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def listen(self, host: str, port: int) -> None:
        """Start listening."""
        self._server.listen(port, host)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Answer one request."""
        assert isinstance(request_conn, HTTP1Connection)
        return _PageResponder(self._make_page, request_conn)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()


class _PageResponder(HTTPMessageDelegate):
    """Answer one request once it was read completely."""

    def __init__(
        self, page: Callable[[], Page], connection: HTTP1Connection
    ) -> None:
        self._make_page = page
        self._connection = connection

    def finish(self) -> None:
        """Send the page."""
        page = self._make_page()
        headers = HTTPHeaders({'Content-Type': page.content_type})
        CallerReply(self._connection).send_complete(
            page.status, headers, page.body
        )


def ready_page(ready: bool) -> Page:
    """Return the readiness page for the load balancer."""
    if ready:
        return Page(_OK, _PLAIN_TEXT, b'ready\n')
    return Page(_UNAVAILABLE, _PLAIN_TEXT, b'not ready\n')


def metrics_page() -> Page:
    """Return all metrics of the process."""
    return Page(_OK, CONTENT_TYPE_LATEST, generate_latest())
