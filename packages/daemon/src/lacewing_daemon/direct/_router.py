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
from lacewing_daemon.callers import caller_bounds
from lacewing_daemon.callers import CallerAccount
from lacewing_daemon.direct._answer_times import AnswerTimes
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._caller_reply import CallerReply
from lacewing_daemon.direct._caller_server import CallerServer
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._exchange import RequestExchange
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
from lacewing_daemon.direct._serving_context import ServingContext
from lacewing_daemon.direct._settings import DirectSettings
from lacewing_daemon.direct._site import Site
from lacewing_daemon.direct._site import Wire
from lacewing_daemon.direct._stop_window import StopWindow
from lacewing_daemon.lease import Lease

# The load balancer checks readiness once a second and removes a VM after two
# checks without a 200; new connections may arrive until then.
OUT_OF_ROTATION_S = 2.6
# Reserved for closing connections before the platform kills the process.
CLOSE_S = 0.6
# Of this, at most so long is waited until the last answers are sent.
LAST_ANSWERS_S = 0.3
_DRAIN_CHECK_INTERVAL_S = 0.05

_log = get_log(Part.MAIN)


class DirectRouter:
    """Create, start and stop the parts of one router.

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
        self._drain_s = settings.bounds.drain_s
        self._reload_settings = reload_settings
        self._signals = StopSignals(patient=True)
        self._stopping = False
        self._fleet = Fleet(settings, site)
        if started_s is not None:
            self._fleet.cluster_state.set_process_start(started_s)
        answer_times = AnswerTimes()
        self._stop_window = StopWindow(answer_times)
        self._context = ServingContext(
            self._fleet,
            wire,
            Placer(
                self._fleet.cluster_state,
                settings.availability_zone,
                self._fleet.shared_loads,
            ),
            settings.policy,
            Random(),
            RequestLog(time.monotonic()),
            answer_times,
            self._stop_window,
        )
        account = CallerAccount(
            caller_bounds(settings.vm, settings.caller_limits)
        )
        self._caller_server = CallerServer(wire, self._serve, account)
        self._fleet.on_routing_config(self._apply_routing_config)
        self._ready = PageServer(lambda: ready_page(self.ready), account)
        self._metrics = PageServer(self._metrics_page, account)
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
        """Return the ``ip:port`` that callers connect to, once started."""
        return self._caller_server.address

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send new connections here."""
        return self._fleet.ready and not self._stopping

    @property
    def configuration(self) -> int:
        """Return the version of the active configuration, 0 for none."""
        routing_config = self._fleet.cluster_state.routing_config
        return 0 if routing_config is None else routing_config.version

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Return the ids of all known upstreams."""
        return tuple(self._fleet.cluster_state.upstreams)

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Return the addresses at which peers accept calls."""
        return self._fleet.peer_addresses

    def weights_age_s(self, model: str) -> float:
        """Return how long ago the newest weights of a model were released."""
        return self._fleet.cluster_state.current_release(model).age_s

    async def run(self) -> Exit:
        """Serve until a stop signal, then drain open requests."""
        self._signals.listen()
        on_sighup(self._reload)
        self.start()
        await self._signals.stopping.wait()
        await self.stop()
        return Exit.OK

    def start(self) -> None:
        """Start listening and watching the store."""
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
        """Release the lease and drain open requests within ``drain_s``."""
        self._stopping = True
        releasing = asyncio.create_task(self._planner.stop())
        deregistering = asyncio.create_task(self._fleet.deregister())
        await self._drain()
        releasing.cancel()
        deregistering.cancel()
        self._fleet.close()
        _log.info('Stopped.', open=self._caller_server.open_requests)

    async def close(self) -> None:
        """Stop immediately and close open requests."""
        self._stopping = True
        self._planner.close()
        self._caller_server.stop_listening()
        await self._caller_server.close()
        self._ready.close()
        self._metrics.close()
        self._fleet.close()

    async def _drain(self) -> None:
        start_s = time.monotonic()
        serve_s = max(0.0, self._drain_s - CLOSE_S)
        end_s = start_s + serve_s
        rotation_s = min(OUT_OF_ROTATION_S, serve_s)
        self._stop_window.begin(end_s, start_s + rotation_s)
        self._caller_server.begin_drain()
        self._fleet.queues.close()
        await asyncio.sleep(rotation_s)
        self._caller_server.stop_listening()
        while self._caller_server.is_busy and time.monotonic() < end_s:
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
        self._stop_window.end()
        await self._caller_server.answer_open(LAST_ANSWERS_S)
        await self._caller_server.close()
        self._ready.close()
        self._metrics.close()

    def _apply_routing_config(self, routing_config: RoutingConfig) -> None:
        self._caller_server.set_limits(routing_config.limits)

    def _metrics_page(self) -> Page:
        self._fleet.update_age_metrics()
        return metrics_page()

    def _reload(self) -> None:
        """Apply new bounds; all other settings need a restart."""
        try:
            settings = self._reload_settings()
        except SettingsError as error:
            _log.error(
                'Could not read the settings; keeps the previous ones.',
                error=str(error),
            )
            return
        self._fleet.cluster_state.set_bounds(settings.bounds)
        self._drain_s = settings.bounds.drain_s
        _log.info(
            'Read the settings again.',
            bounds_changed=settings.bounds != self._settings.bounds,
            restart_needed=(
                replace(settings, bounds=self._settings.bounds)
                != self._settings
            ),
        )

    async def _serve(self, request: CallerRequest, reply: CallerReply) -> None:
        await RequestExchange(self._context, request, reply).run()
