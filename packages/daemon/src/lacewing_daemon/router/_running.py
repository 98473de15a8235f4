"""Start, drain and close a router."""

import asyncio
import random

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import Address
from lacewing_common.settings import parse_address
from lacewing_common.tls import client_context
from lacewing_common.tls import ClientCertificate
from lacewing_common.tls import server_context
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from lacewing_daemon._peers_server import PeersServer
from lacewing_daemon.callers import BoundedServer
from lacewing_daemon.callers import caller_bounds
from lacewing_daemon.callers import CallerAccount
from lacewing_daemon.router._callers import routes
from lacewing_daemon.router._explain import DecisionLog
from lacewing_daemon.router._explain import RequestRecord
from lacewing_daemon.router._knowledge import Knowledge
from lacewing_daemon.router._links import Links
from lacewing_daemon.router._serving import Serving
from lacewing_daemon.runtime import RoleStatus
from lacewing_daemon.runtime import Runtime

# tornado itself must not cut a body that the handlers still want to refuse
# with a readable answer.
_MAX_READ_BYTES = 64 * 1024 * 1024

# How long a closing router goes on answering connections that are open.
_LAST_REQUESTS_S = 0.3

_log = get_log(Part.CALLERS)


class RunningRouter:
    """Control a started router."""

    def __init__(
        self,
        serving: Serving,
        links_task: asyncio.Task[None],
        server: BoundedServer,
        address: Address,
        peers_server: PeersServer,
    ) -> None:
        self._serving = serving
        self._links_task = links_task
        self._server = server
        self._address = address
        self._peers_server = peers_server

    @property
    def status(self) -> RoleStatus:
        """Return the router's status."""
        return RoleStatus(
            ready=self._serving.ready,
            epoch='',
            open_requests=self._serving.open_requests,
        )

    @property
    def peers_address(self) -> str:
        """Return the ``ip:port`` it listens on for peers, or ''."""
        return self._peers_server.address

    @property
    def callers_address(self) -> str:
        """Return the ``ip:port`` it listens on for callers."""
        return str(self._address)

    def explain(self, request_id: str) -> RequestRecord | None:
        """Return the decisions on a request, None when no longer kept."""
        return self._serving.decisions.find(request_id)

    async def drain(self) -> None:
        """Refuse new requests; return when all open ones have ended."""
        _log.info('Draining.', open=self._serving.open_requests)
        await self._serving.drain()
        _log.info('Drained.')

    async def close(self) -> None:
        """Close listeners and links."""
        self._server.stop()
        # A caller may have connected, or kept a connection open, and send its
        # request just now. Closing at once would reset it, and the caller
        # could not know whether it ran; so it is told that it did not.
        await asyncio.sleep(_LAST_REQUESTS_S)
        await self._serving.wait_idle(_LAST_REQUESTS_S)
        await self._server.close_all_connections()
        self._links_task.cancel()
        await asyncio.wait([self._links_task])
        if self._peers_server.address:
            self._peers_server.stop()
            await self._peers_server.wait_closed()


async def start_router(runtime: Runtime) -> RunningRouter:
    """Listen for callers and follow the agents."""
    rng = random.Random()
    settings = runtime.settings
    knowledge = Knowledge(settings.place, rng)
    links = Links(runtime, knowledge, rng, client_context(settings))
    serving = Serving(runtime, links, knowledge, DecisionLog())
    account = CallerAccount(caller_bounds(settings.vm, settings.caller_limits))
    server = BoundedServer(
        Application(routes(serving), log_function=_no_access_log),
        account,
        ssl_options=server_context(settings, ClientCertificate.CALLERS),
        max_body_size=_MAX_READ_BYTES,
    )
    wanted = parse_address(settings.listen.callers)
    sockets = bind_sockets(wanted.port, wanted.host)
    server.add_sockets(sockets)
    address = Address(wanted.host, sockets[0].getsockname()[1])
    peers_server = PeersServer(settings, runtime.peer_services)
    if runtime.peer_services:
        await peers_server.start()
    links_task = asyncio.create_task(links.run())
    _log.info('Taking callers.', address=str(address))
    return RunningRouter(serving, links_task, server, address, peers_server)


def _no_access_log(_handler: RequestHandler) -> None:
    """Write no line for each request: metrics and explain tell of them."""
