"""Run a router that calls upstreams directly, from start to stop."""

import asyncio
import time
from collections.abc import Callable
from random import Random

from lacewing_common.exits import Exit
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import parse_address
from lacewing_common.settings import SettingsError
from msgspec.structs import replace

from lacewing_daemon._signals import on_sighup
from lacewing_daemon._signals import StopSignals
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._caller_server import CallerServer
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._exchange import RequestExchange
from lacewing_daemon.direct._exchange import ServingContext
from lacewing_daemon.direct._fleet import Fleet
from lacewing_daemon.direct._pages import metrics_page
from lacewing_daemon.direct._pages import Page
from lacewing_daemon.direct._pages import PageServer
from lacewing_daemon.direct._pages import ready_page
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._planner import LEASE_MARGIN_S
from lacewing_daemon.direct._planner import LEASE_NAME
from lacewing_daemon.direct._planner import LEASE_S
from lacewing_daemon.direct._planner import WeightsPlanner
from lacewing_daemon.direct._request_log import RequestLog
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._settings import DirectSettings
from lacewing_daemon.direct._site import Site
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.lease import Lease

# The balancer takes a VM out after two questions without a 200, asked once
# a second; connections may come until then.
OUT_OF_ROTATION_S = 2.6
# Kept for closing before the platform kills the process.
CLOSE_S = 0.6
_LOOK_S = 0.05

_log = get_log(Part.MAIN)


class DirectRouter:
    """Hold the parts of one router.

    ``started_s`` is when the process was started, on the boot clock.
    """

    def __init__(
        self,
        settings: DirectSettings,
        site: Site,
        wire: Wire,
        reload_settings: Callable[[], DirectSettings],
        started_s: float | None = None,
    ) -> None:
        self._settings = settings
        self._read_again = reload_settings
        self._signals = StopSignals(patient=True)
        self._stopping = False
        self._fleet = Fleet(settings, site)
        if started_s is not None:
            self._fleet.cluster_state.set_process_start(started_s)
        self._serving = ServingContext(
            self._fleet,
            wire,
            Placer(self._fleet.cluster_state, settings.availability_zone),
            settings.policy,
            Random(),
            RequestLog(time.monotonic()),
        )
        self._caller_server = CallerServer(wire, self._serve)
        self._fleet.on_routing_config(self._take_directory)
        self._ready = PageServer(lambda: ready_page(self.ready))
        self._metrics = PageServer(self._metrics_page)
        lease = Lease(
            self._fleet.store,
            LEASE_NAME,
            settings.process_id,
            LEASE_S,
            LEASE_MARGIN_S,
            boot_s,
            peek=self._fleet.store.peek,
        )
        self._planner = WeightsPlanner(
            self._fleet.cluster_state,
            site.control,
            lease,
            settings.process_id,
        )

    @property
    def callers_address(self) -> str:
        """Return ``ip:port`` for callers, once started."""
        return self._caller_server.address

    @property
    def ready(self) -> bool:
        """Tell whether new connections should be sent here."""
        return self._fleet.ready and not self._stopping

    @property
    def configuration(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        directory = self._fleet.cluster_state.routing_config
        return 0 if directory is None else directory.version

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Return the ids of all known upstreams."""
        return tuple(self._fleet.cluster_state.upstreams)

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Return where the other routers listen for this one."""
        return self._fleet.peer_addresses

    def weights_age_s(self, model: str) -> float:
        """Return for how long the newest weights of a model are named."""
        return self._fleet.cluster_state.current_release(model).age_s

    async def run(self) -> Exit:
        """Serve until a stop signal, then end what is open."""
        self._signals.listen()
        on_sighup(self._reload)
        self.start()
        await self._signals.stopping.wait()
        await self.stop()
        return Exit.OK

    def start(self) -> None:
        """Listen and follow the store."""
        callers = self._settings.callers_address
        self._caller_server.listen(callers.host, callers.port)
        ready = self._settings.ready_address
        self._ready.listen(ready.host, ready.port)
        if self._settings.metrics:
            metrics = parse_address(self._settings.metrics)
            self._metrics.listen(metrics.host, metrics.port)
        self._fleet.start()
        self._planner.start()
        _log.info('Started.', callers=self._caller_server.address)

    async def stop(self) -> None:
        """Hand the lease over and end open requests in the time given."""
        self._stopping = True
        handing_over = asyncio.create_task(self._planner.stop())
        leaving = asyncio.create_task(self._fleet.deregister())
        await self._drain()
        handing_over.cancel()
        leaving.cancel()
        self._fleet.close()
        _log.info('Stopped.', open=self._caller_server.open_requests)

    async def close(self) -> None:
        """End everything at once, open requests included."""
        self._stopping = True
        self._planner.close()
        self._caller_server.stop_listening()
        await self._caller_server.close()
        self._ready.close()
        self._metrics.close()
        self._fleet.close()

    async def _drain(self) -> None:
        began_s = time.monotonic()
        end_s = began_s + self._settings.bounds.drain_s - CLOSE_S
        self._caller_server.begin_drain()
        await asyncio.sleep(OUT_OF_ROTATION_S)
        self._caller_server.stop_listening()
        while self._caller_server.open_requests and time.monotonic() < end_s:
            await asyncio.sleep(_LOOK_S)
        await self._caller_server.close()
        self._ready.close()
        self._metrics.close()

    def _take_directory(self, directory: RoutingConfig) -> None:
        self._caller_server.set_idle_timeout(directory.limits.idle_s)

    def _metrics_page(self) -> Page:
        self._fleet.update_age_metrics()
        return metrics_page()

    def _reload(self) -> None:
        """Take new bounds; what is listened on changes with a restart."""
        try:
            settings = self._read_again()
        except SettingsError as error:
            _log.error('Keeps the old settings.', error=str(error))
            return
        self._fleet.cluster_state.set_bounds(settings.bounds)
        _log.info(
            'Read the settings again.',
            bounds_changed=settings.bounds != self._settings.bounds,
            restart_needed=(
                replace(settings, bounds=self._settings.bounds)
                != self._settings
            ),
        )

    async def _serve(self, request: CallerRequest, reply: CallerReply) -> None:
        await RequestExchange(self._serving, request, reply).run()
