"""Serve operators over HTTP: health, readiness, metrics and status."""

from typing import Protocol

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.document import Document
from lacewing_common.settings import Address
from lacewing_common.settings import parse_address
from lacewing_common.settings import Settings
from lacewing_common.status import ProcessStatus
from lacewing_common.tls import ClientCertificate
from lacewing_common.tls import server_context
from lacewing_common.verdict import Refusal
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

_OK = 200
_BAD_REQUEST = 400
_FORBIDDEN = 403
_NOT_FOUND = 404
_UNPROCESSABLE = 422
_UNAVAILABLE = 503


class StatusSource(Protocol):
    """Provide the status of this process."""

    def __call__(self) -> ProcessStatus:
        """Return the current status."""


class ExplanationSource(Protocol):
    """Provide the decisions on a request."""

    def __call__(self, request_id: str) -> object | None:
        """Return an encodable object, or None if nothing is stored."""


class DocumentReceiver(Protocol):
    """Accept a document that an operator distributes."""

    def __call__(self, document: Document) -> Refusal | None:
        """Return why the document is refused, or None."""


class Missing(msgspec.Struct, frozen=True):
    """Hold the message of an error response."""

    message: str


class _Health(RequestHandler):
    def get(self) -> None:
        """Answer as long as the event loop runs."""
        self.set_header('Content-Type', 'text/plain')
        self.finish('ok\n')


class _StatusHandler(RequestHandler):
    def initialize(self, source: StatusSource) -> None:
        """Set the source of the status."""
        self._source = source


class _Readiness(_StatusHandler):
    def get(self) -> None:
        """Answer 200 while requests are accepted, else 503."""
        ready = self._source().ready
        self.set_status(_OK if ready else _UNAVAILABLE)
        self.set_header('Content-Type', 'text/plain')
        self.finish('ready\n' if ready else 'not ready\n')


class _Metrics(RequestHandler):
    def get(self) -> None:
        """Answer with all metrics in the Prometheus text format."""
        self.set_header('Content-Type', CONTENT_TYPE_LATEST)
        self.finish(generate_latest())


class _Status(_StatusHandler):
    def get(self) -> None:
        """Answer with the status of the process as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(self._source()))


class _Explanation(RequestHandler):
    def initialize(self, explain: ExplanationSource) -> None:
        """Set the source of the explanations."""
        self._explain = explain

    def get(self, request_id: str) -> None:
        """Answer with the decisions on one request as JSON, or 404."""
        self.set_header('Content-Type', 'application/json')
        explanation = self._explain(request_id)
        if explanation is None:
            self.set_status(_NOT_FOUND)
            missing = Missing(f'no decisions are kept on {request_id!r}')
            self.finish(msgspec.json.encode(missing))
            return
        self.finish(msgspec.json.encode(explanation))


class _Documents(RequestHandler):
    def initialize(
        self, accept: DocumentReceiver, needs_certificate: bool
    ) -> None:
        """Set the receiver of documents."""
        self._accept = accept
        self._needs_certificate = needs_certificate

    def post(self) -> None:
        """Accept a document; answer 200 also if a newer version is stored."""
        self.set_header('Content-Type', 'application/json')
        if self._needs_certificate and not self._has_certificate():
            self._refuse(_FORBIDDEN, 'expected a certificate of an operator')
            return
        try:
            document = msgspec.msgpack.decode(self.request.body, type=Document)
        except DECODE_ERRORS as error:
            self._refuse(_BAD_REQUEST, f'expected a document: {error}')
            return
        refusal = self._accept(document)
        if refusal is not None:
            self._refuse(_UNPROCESSABLE, refusal.message)
            return
        self.finish(b'{}')

    def _has_certificate(self) -> bool:
        return bool(self.request.get_ssl_certificate(binary_form=True))

    def _refuse(self, status: int, message: str) -> None:
        self.set_status(status)
        self.finish(msgspec.json.encode(Missing(message)))


class OperatorsServer:
    """Serve the HTTP interface for operators."""

    def __init__(
        self,
        settings: Settings,
        source: StatusSource,
        explain: ExplanationSource,
        accept: DocumentReceiver,
    ) -> None:
        self._settings = settings
        documents = {
            'accept': accept,
            'needs_certificate': settings.tls is not None,
        }
        self._server = HTTPServer(
            Application(
                [
                    ('/healthz', _Health),
                    ('/readyz', _Readiness, {'source': source}),
                    ('/metrics', _Metrics),
                    ('/status', _Status, {'source': source}),
                    ('/explain/([^/]+)', _Explanation, {'explain': explain}),
                    ('/documents', _Documents, documents),
                ],
                log_function=_skip_access_log,
            ),
            ssl_options=server_context(settings, ClientCertificate.OPERATORS),
        )

    def listen(self) -> Address:
        """Bind the configured address; return the address in use."""
        configured = parse_address(self._settings.listen.operators)
        sockets = bind_sockets(configured.port, configured.host)
        self._server.add_sockets(sockets)
        host, port = sockets[0].getsockname()[:2]
        return Address(host, port)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        self._server.stop()
        await self._server.close_all_connections()


def _skip_access_log(_handler: RequestHandler) -> None:
    """Keep metric scrapes and health probes out of the logs."""
