"""Put the agent's parts together and run them."""

import asyncio
import time
from collections.abc import Coroutine

import grpclib.const
from grpclib.server import Stream
from lacewing_common.bundle import RolledBundle
from lacewing_common.codec import FromAgent
from lacewing_common.codec import FromRouter
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import SettingsError
from lacewing_common.settings import WorkerSettings
from lacewing_common.verdict import Refusal
from lacewing_common.wire import Ack
from lacewing_common.wire import AgentMessage
from lacewing_common.wire import Allotments
from lacewing_common.wire import Ask
from lacewing_common.wire import Cancel
from lacewing_common.wire import Demands
from lacewing_common.wire import LINK_METHOD
from lacewing_common.wire import LoadReport
from lacewing_common.wire import RouterFrame
from lacewing_common.wire import Start
from lacewing_common.wire import Welcome
from lacewing_common.wire import WorkerChanged

from lacewing_daemon._peers_server import GrpcService
from lacewing_daemon._peers_server import PeersServer
from lacewing_daemon.agent._admission import FairAdmission
from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._attempts import Attempts
from lacewing_daemon.agent._cache import CacheKnowledge
from lacewing_daemon.agent._cache_follower import CacheFollower
from lacewing_daemon.agent._demand import DemandMeter
from lacewing_daemon.agent._fitness import Fitness
from lacewing_daemon.agent._kv_client import KvClient
from lacewing_daemon.agent._link import Link
from lacewing_daemon.agent._load import LoadView
from lacewing_daemon.agent._metrics import LINKS
from lacewing_daemon.agent._placing import make_placement
from lacewing_daemon.agent._runner import Runner
from lacewing_daemon.agent._served_models import WatchedModels
from lacewing_daemon.agent._service import ServiceView
from lacewing_daemon.agent._sweeper import KeepLimits
from lacewing_daemon.agent._sweeper import Sweeper
from lacewing_daemon.agent._teller import Teller
from lacewing_daemon.agent._watch import WorkerWatch
from lacewing_daemon.agent._worker import Worker
from lacewing_daemon.claims import ClaimedRuns
from lacewing_daemon.claims import ClaimLimits
from lacewing_daemon.claims import Claims
from lacewing_daemon.limits import LimitHolder
from lacewing_daemon.runtime import RoleStatus
from lacewing_daemon.runtime import Runtime

_QUEUE_LIMIT = 256
_DRAIN_STEP_S = 0.02
_CLOSE_S = 2.0
_KEEP_LIMITS = KeepLimits()
_CLAIM_LIMITS = ClaimLimits()

_log = get_log(Part.LINK)


class Agent:
    """Serve routers on behalf of one worker."""

    def __init__(
        self,
        runtime: Runtime,
        settings: WorkerSettings,
        limits: KeepLimits = _KEEP_LIMITS,
        claim_limits: ClaimLimits = _CLAIM_LIMITS,
    ) -> None:
        self._runtime = runtime
        self._settings = settings
        self._service = ServiceView(runtime.bundles, settings.service)
        self._worker = Worker(settings.url, settings.concurrency)
        self._admission = FairAdmission(
            settings.concurrency, _QUEUE_LIMIT, self._service.share_of
        )
        self._cache = CacheKnowledge(
            lambda: self._admission.running, self._level_changed
        )
        self._load = LoadView(self._admission, lambda: self._cache.backlog_ms)
        self._teller = Teller(self._load.report, lambda: self._watch.epoch)
        # The events need a connection of their own, whatever the load.
        self._cache_worker = Worker(settings.url, 0)
        self._follower = CacheFollower(
            self._cache_worker,
            lambda: self._service.is_engine,
            self._cache.view,
        )
        self._kv: KvClient | None = None
        if settings.kv_store:
            self._kv = KvClient(settings.kv_store, settings.url)
        self._claims = Claims(runtime.store, settings.service, claim_limits)
        self._runner = Runner(
            self._worker,
            self._admission,
            self._cache,
            self._service,
            ClaimedRuns(self._claims),
        )
        self._watch = WorkerWatch(
            self._worker,
            self._load,
            lambda: self._service.is_engine,
            self._worker_changed,
        )
        self._attempts = Attempts(runtime.name.incarnation)
        self._meter = DemandMeter(
            self._attempts, lambda: self._load.report().backlog_ms
        )
        self._models = WatchedModels(
            self._watch, self._meter, self._worker_changed
        )
        self._fitness = Fitness(
            settings.service, self._models, self._watch.look_soon
        )
        self._limits = limits
        self._sweeper = Sweeper(self._attempts, limits)
        self._links: set[Link] = set()
        self._team_limits = LimitHolder(self._service.limits_of)
        self._tasks: set[asyncio.Task[None]] = set()
        self._leaving = False
        self._placement = make_placement(
            runtime,
            settings,
            self._service,
            self._models,
            self._meter,
        )
        services: list[GrpcService] = [self, *runtime.peer_services]
        if self._placement is not None:
            services.append(self._placement.service)
        self._server = PeersServer(runtime.settings, services)

    @property
    def status(self) -> RoleStatus:
        """Return the role's status."""
        ready = bool(self._watch.epoch) and not self._leaving
        return RoleStatus(ready, self._watch.epoch, self._attempts.open_count)

    @property
    def peers_address(self) -> str:
        """Return the ``ip:port`` on which routers connect."""
        return self._server.address

    @property
    def callers_address(self) -> str:
        """Return '': an agent has no callers."""
        return ''

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Map the link's method for grpclib."""
        return {
            LINK_METHOD: grpclib.const.Handler(
                self._serve_link,
                grpclib.const.Cardinality.STREAM_STREAM,
                FromRouter,
                FromAgent,
            )
        }

    async def start(self) -> None:
        """Look at the worker once, then listen."""
        self._runtime.bundles.on_change(self._bundle_changed)
        await self._watch.poll()
        await self._server.start()
        self._spawn(self._watch.run())
        self._spawn(self._teller.run())
        self._spawn(self._follower.run())
        if self._kv is not None:
            self._spawn(self._cache.keep_in(self._kv).run())
        self._spawn(self._sweeper.run())
        if self._placement is not None:
            self._spawn(self._meter.run())
            self._placement.start()

    async def drain(self) -> None:
        """Refuse new work; return when the open attempts have ended."""
        self._leaving = True
        self._worker_changed()
        deadline = time.monotonic() + self._runtime.settings.drain_s
        while time.monotonic() < deadline:
            if not self._owes_answers():
                await self._claims.flush(deadline - time.monotonic())
                return
            await asyncio.sleep(_DRAIN_STEP_S)
        _log.warning('drain ran out of time', open=self._attempts.open_count)

    async def close(self) -> None:
        """Close links and listener."""
        if self._placement is not None:
            await self._placement.close()
        for link in list(self._links):
            link.close()
        deadline = time.monotonic() + _CLOSE_S
        while self._links and time.monotonic() < deadline:
            await asyncio.sleep(_DRAIN_STEP_S)
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._claims.close()
        await self._server.wait_closed()
        self._worker.close()
        self._cache_worker.close()
        if self._kv is not None:
            self._kv.close()

    def welcome(self) -> Welcome:
        """Return the answer to a Hello."""
        return Welcome(
            self._runtime.name,
            self._runtime.settings.place,
            self._settings.service,
            self._watch.epoch,
            self._models.names,
            self._load.report(),
            self._leaving,
            self._runtime.bundles.current.number,
        )

    def load(self) -> LoadReport:
        """Return the load now."""
        return self._load.report()

    def start_attempt(self, start: Start) -> Attempt | Refusal:
        """Record and run an attempt, or find it."""
        known = self._attempts.find(start.attempt)
        found = self._attempts.begin(
            start, self._fitness.refusal(start, self._leaving)
        )
        if isinstance(found, Attempt) and found is not known:
            self._spawn(self._runner.run(found))
        return found

    def ask(self, ask: Ask) -> Attempt | Refusal:
        """Find an attempt or close it for ever."""
        found = self._attempts.ask(ask.attempt)
        if isinstance(found, Attempt):
            found.acknowledge(ask.offset)
        return found

    def cancel(self, cancel: Cancel) -> None:
        """Stop an attempt, or close it if it was never seen."""
        found = self._attempts.ask(cancel.attempt)
        if isinstance(found, Attempt):
            found.cancel()

    def acknowledge(self, ack: Ack) -> None:
        """Let go of confirmed bytes."""
        attempt = self._attempts.find(ack.attempt)
        if attempt is not None:
            attempt.acknowledge(ack.offset)

    def share_out(self, router: str, demands: Demands) -> Allotments:
        """Return a router's part of its teams' limits."""
        return self._team_limits.report(
            router, demands.teams, len(self._links)
        )

    def link_opened(self, link: Link, router: str) -> None:
        """Take a new link."""
        self._links.add(link)
        self._teller.opened(
            link, link.knowledge_bytes_s, self._cache.held_levels()
        )
        self._attempts.link_opened(router)
        LINKS.inc()

    def link_closed(self, link: Link, router: str) -> None:
        """Take a link's end."""
        self._links.discard(link)
        self._teller.closed(link)
        self._attempts.link_closed(router)
        if not self._attempts.has_links(router):
            self._team_limits.router_left(router)
        LINKS.dec()

    async def _serve_link(
        self, stream: Stream[RouterFrame, AgentMessage]
    ) -> None:
        await Link(stream, self).serve()

    def _level_changed(self, key: bytes, stored: bool) -> None:
        self._teller.change(key, stored)

    def _bundle_changed(self, _bundle: RolledBundle) -> None:
        self._watch.look_soon()
        if self._placement is not None:
            self._placement.bundle_changed()

    def _owes_answers(self) -> bool:
        now = time.monotonic()
        for attempt in self._attempts.all():
            if attempt.is_owed(now, self._limits.orphan_s):
                return True
        return False

    def _worker_changed(self) -> None:
        frame = WorkerChanged(
            self._watch.epoch,
            self._models.names,
            self._load.report(),
            self._leaving,
        )
        for link in self._links:
            link.notify(frame)
        if self._placement is not None:
            self._placement.worker_changed()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def start_agent(runtime: Runtime) -> Agent:
    """Start the agent that the settings describe."""
    settings = runtime.settings.worker
    if settings is None:
        raise SettingsError('expected a worker - at `$.worker`')
    agent = Agent(runtime, settings)
    await agent.start()
    return agent
