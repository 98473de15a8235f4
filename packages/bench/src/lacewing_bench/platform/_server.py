"""Serve the platform stand-in over HTTP."""

import socket

from lacewing_common.settings import Address
from lacewing_common.settings import parse_address
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from lacewing_bench.platform._control import CountsHandler
from lacewing_bench.platform._control import CountsResetHandler
from lacewing_bench.platform._control import FaultsHandler
from lacewing_bench.platform._control import VmChangesHandler
from lacewing_bench.platform._control import VmRemovalHandler
from lacewing_bench.platform._handlers import KindHandler
from lacewing_bench.platform._handlers import ObjectHandler
from lacewing_bench.platform._handlers import WeightsHandler
from lacewing_bench.platform._service import PlatformService
from lacewing_bench.platform._settings import PlatformSettings

# Above the limit for values, so that a value too large gets its 413.
_MAX_BODY_BYTES = 16_000_000


class PlatformServer:
    """Run the stand-in; its state outlives a close and a new start."""

    def __init__(
        self,
        settings: PlatformSettings,
        service: PlatformService | None = None,
    ) -> None:
        self.service = service or PlatformService(settings)
        self._listen = parse_address(settings.listen)
        self._server: HTTPServer | None = None

    @property
    def address(self) -> str:
        """Return the ``ip:port`` it listens on, known from the start on."""
        return str(self._listen)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self._listen}'

    @property
    def listening(self) -> bool:
        """Tell whether it listens now."""
        return self._server is not None

    async def start(self) -> None:
        """Listen; after a close, on the same port as before."""
        sockets = bind_sockets(
            self._listen.port,
            self._listen.host,
            family=socket.AF_UNSPEC,
            reuse_port=False,
        )
        host, port = sockets[0].getsockname()[:2]
        self._listen = Address(host, port)
        application = _application(self.service)
        self._server = HTTPServer(
            application,
            max_body_size=_MAX_BODY_BYTES,
            max_buffer_size=_MAX_BODY_BYTES,
        )
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self._server.stop()
        self.service.objects.wake_all()
        await self._server.close_all_connections()
        self._server = None


def _application(service: PlatformService) -> Application:
    arguments = {'service': service}
    return Application(
        [
            (r'/objects/([^/]+)', KindHandler, arguments),
            (r'/objects/([^/]+)/([^/]+)', ObjectHandler, arguments),
            (r'/vms', VmChangesHandler, arguments),
            (r'/vms/([^/]+)', VmRemovalHandler, arguments),
            (r'/weights/([^/]+)/([^/]+)', WeightsHandler, arguments),
            (r'/faults', FaultsHandler, arguments),
            (r'/counts', CountsHandler, arguments),
            (r'/counts/reset', CountsResetHandler, arguments),
        ],
        log_function=_log_nothing,
    )


def _log_nothing(_handler: object) -> None:
    """Leave out the access log; the counts tell more."""
