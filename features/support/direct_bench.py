"""Run direct routers against fakes of the platform on loopback."""

import asyncio
import http.client
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from datetime import datetime
from datetime import UTC
from itertools import count
from pathlib import Path
from typing import Any

import msgspec
from behave.runner import Context
from lacewing_bench.loop_thread import LoopThread
from lacewing_daemon.direct import Contention
from lacewing_daemon.direct import DirectRouter
from lacewing_daemon.direct import DirectSettings
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._settings import Bounds
from lacewing_platform import PlatformSite
from lacewing_platform import PlatformWire
from lacewing_platform_testing import FakeStore
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing import free_ports
from lacewing_platform_testing import PROCESS_START_MS
from support.router_process import RouterProcess
from tornado.netutil import bind_sockets

PREFIX = 'X-Lacewingstack-'
HOST = 'handbook.example'
MODEL = 'tutor'
KEY = 'key-of-north'
OTHER_KEY = 'key-of-south'
LIMIT_S = 15.0
PROMPT = {
    PREFIX + 'Model': MODEL,
    PREFIX + 'Token-Usage': '300,20',
    PREFIX + 'Prompt-Prefix': 'aa:100,bb:100,cc:100',
}
BOUNDS = Bounds(
    drain_s=4.0,
    revoke_s=2.0,
    lease_s=0.5,
    weights_s=8.0,
    repeat_ratio=0.2,
    repeat_slack=40.0,
    repeat_window_s=10.0,
)

# Shorter than the default, so that scenarios do not wait long for late loads.
LOAD_LATE_MS = 400.0


@dataclass(frozen=True)
class Answer:
    """Hold an answer as its caller received it; status 0: incomplete."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


class DirectBench:
    """Run a store, upstreams and one or more routers."""

    def __init__(self) -> None:
        self._loop = LoopThread()
        self._sites: list[PlatformSite] = []
        self._request_numbers = count(1)
        self._last_request = ''
        self.routers: list[DirectRouter] = []
        self.process: RouterProcess | None = None
        self.process_settings: dict[str, object] = {}
        # At which other routers call the process.
        self.peers_address = ''
        self.upstreams: dict[str, FakeUpstream] = {}
        self.answers: list[Answer] = []
        self.config = direct_config()
        self.bounds = BOUNDS
        self.routers_call = False
        self.peer_ports_taken = False
        self.first_start = False
        # By router; those that are missing call the store directly.
        self.store_addresses: dict[str, str] = {}
        self._reserved_sockets: list[socket.socket] = []
        self.store: FakeStore = self.run(_start_store())
        # As in a deployment that has been running for a while.
        self.on_loop(self.settle_era)

    @property
    def last_request(self) -> str:
        """Return the id of the last request sent."""
        return self._last_request

    @property
    def answer(self) -> Answer:
        """Return the last answer."""
        return self.answers[-1]

    def settle_era(self) -> None:
        """Write that the store's era has settled, as routers do."""
        # Routers count eras from 1, the platform from any number.
        text = msgspec.json.encode({'era': self.store.era + 1}).decode()
        self.store.put('lacewing-eras', 'settled', {'text': text})

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine on the event loop of the routers."""
        return self._loop.call(coroutine)

    def on_loop(self, call: Callable[[], Any]) -> Any:
        """Call a function on the event loop of the routers."""
        return self.run(_call(call))

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration."""
        self.config = {
            **self.config,
            **changes,
            'Version': self.config['Version'] + 3,
        }
        self.on_loop(lambda: self.store.put('config', 'main', self.config))

    def add_upstream(
        self,
        name: str,
        service: str,
        born: int = PROCESS_START_MS,
        software: str = 'v1',
    ) -> FakeUpstream:
        """Start an upstream and register it."""
        upstream = FakeUpstream(name, service)
        upstream.software = software
        upstream.born = born
        if service == 'models':
            upstream.weights[MODEL] = 1
        self.on_loop(upstream.server.start)
        self.upstreams[name] = upstream
        self.register(name)
        return upstream

    def register(self, name: str, state: str = 'ready') -> None:
        """Write the store entry of an upstream."""
        entry = self.upstreams[name].store_entry(state)
        self.on_loop(lambda: self.store.put('servers', name, entry))

    def start_again(self, name: str) -> FakeUpstream:
        """Start a new incarnation of an upstream and register it."""
        upstream = self.upstreams[name]
        self.on_loop(upstream.start_new_incarnation)
        self.register(name)
        return upstream

    def start_router(self, name: str = 'router-1') -> DirectRouter:
        """Start a router; it may not be ready yet."""
        router: DirectRouter = self.run(self._start_router(name))
        self.routers.append(router)
        return router

    def start_process(self, directory: Path) -> RouterProcess:
        """Start a router as a separate process; callers connect to it."""
        self.peers_address = self._peers_address()
        self.process = RouterProcess(
            directory,
            self.store.address,
            BOUNDS,
            self.peers_address,
            self.process_settings,
        )
        process = self.process
        self.until(lambda: process.callers_address != '', 'a started router')
        self.until(lambda: self.ask().status == 200, 'a serving router')
        return process

    def until(self, holds: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds."""
        end_s = time.monotonic() + LIMIT_S
        while not holds():
            if time.monotonic() > end_s:
                raise AssertionError(f'expected {what} within {LIMIT_S} s')
            time.sleep(0.01)

    def until_ready(self) -> None:
        """Wait until all routers are ready."""
        for router in self.routers:
            self.until(lambda: router.ready, 'a ready router')

    def ask(
        self,
        path: str = '/records/1',
        key: str = KEY,
        method: str = 'GET',
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Send one request and read its answer."""
        connection = self.connect()
        try:
            answer = self.ask_on(
                connection, path, key, method, body, **headers
            )
        finally:
            connection.close()
        return answer

    def connect(self, at: int = 0) -> http.client.HTTPConnection:
        """Open a connection to a router, the first one by default."""
        if self.process is not None:
            address = self.process.callers_address
        else:
            address = self.routers[at].callers_address
        return http.client.HTTPConnection(address, timeout=LIMIT_S)

    def ask_on(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        key: str = KEY,
        method: str = 'GET',
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Send one request on a connection and read its answer."""
        # Several threads may ask at once.
        request_id = f'request-{next(self._request_numbers)}'
        self._last_request = request_id
        sent = {
            'Host': HOST,
            PREFIX + 'Request-Id': request_id,
            PREFIX + 'Deadline-Ms': '3000',
            'Authorization': f'Token {key}',
        }
        for name, value in headers.items():
            sent[name.replace('_', '-')] = value
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            answer = Answer(
                response.status, dict(response.headers), response.read()
            )
        except (http.client.HTTPException, OSError):
            answer = Answer(0)
        self.answers.append(answer)
        return answer

    def ask_ready(self) -> Answer:
        """Read the readiness page of the process."""
        assert self.process is not None
        connection = http.client.HTTPConnection(
            self.process.ready_address, timeout=LIMIT_S
        )
        try:
            connection.request('GET', '/readiness')
            return Answer(connection.getresponse().status)
        finally:
            connection.close()

    def ask_model(self, path: str = '/chat/1', **headers: str) -> Answer:
        """Send a prompt and read its stream."""
        return self.ask(path, KEY, 'POST', b'prompt', **{**PROMPT, **headers})

    def received(self) -> list[Any]:
        """Return the requests that upstreams received."""
        found = []
        for upstream in self.upstreams.values():
            found.extend(upstream.received)
        return found

    def ran(self) -> list[str]:
        """Return the ids of the requests that upstreams ran."""
        found = []
        for upstream in self.upstreams.values():
            found.extend(upstream.ran)
        return found

    def close(self) -> None:
        """Stop everything; print when routers and fakes stood still."""
        for at_s, stalled_s in self._loop.stalls:
            at = datetime.fromtimestamp(at_s, UTC).isoformat()
            print(f'bench: stood still at {at} for {stalled_s:.2f} s')
        for router in self.routers:
            self.run(router.close())
        if self.process is not None:
            self.process.end()
        for site in self._sites:
            self.on_loop(site.close)
        for upstream in self.upstreams.values():
            self.on_loop(upstream.server.close)
        self.on_loop(self.store.server.close)
        self._loop.close()

    def free_peer_ports(self) -> None:
        """Release the ports at which routers listen for peers."""
        for reserved in self._reserved_sockets:
            reserved.close()
        self._reserved_sockets.clear()

    def _peers_address(self) -> str:
        if not self.routers_call:
            return ''
        port = free_ports()
        if self.peer_ports_taken:
            self._reserved_sockets.extend(bind_sockets(port, '127.0.0.1'))
        return f'127.0.0.1:{port}'

    async def _start_router(self, name: str) -> DirectRouter:
        settings = DirectSettings(
            process_id=name,
            availability_zone='east',
            callers='127.0.0.1:0',
            ready='127.0.0.1:0',
            platform=self.store_addresses.get(name, self.store.address),
            bounds=self.bounds,
            peers=self._peers_address(),
            policy=LoadPolicy(load_late_ms=LOAD_LATE_MS),
            first_start=self.first_start,
            contention=Contention.AUTO,
        )
        site = PlatformSite(settings.platform)
        self._sites.append(site)
        router = DirectRouter(settings, site, PlatformWire(), lambda: settings)
        router.start()
        return router


def direct_bench(context: Context) -> DirectBench:
    """Return the bench of the scenario; create it at the first call."""
    if not hasattr(context, 'direct'):
        context.direct = DirectBench()
        context.resources.callback(context.direct.close)
    bench: DirectBench = context.direct
    return bench


def route(
    path: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'Name': f'route{path}',
        'Hostname': HOST,
        'PathPrefix': path,
        'RouteKind': kind,
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1500,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'Public': False,
        **changes,
    }


def direct_config() -> dict[str, Any]:
    """Return the first configuration of a bench."""
    engine = {
        'Slots': 4,
        'KvCacheTokens': 10000,
        'KvTokenBytes': 1000,
        'LinkMbps': 1000,
        'Models': [{'Name': MODEL}],
    }
    return {
        'Version': 1,
        'Routes': [
            route('/records/', 'idempotent', 'registry'),
            route('/certificates/', 'non_idempotent', 'registry'),
            route('/chat/', 'streaming', 'models', Resumable=True),
            route('/talk/', 'streaming', 'models', Resumable=False),
        ],
        'Services': [
            {'Name': 'registry', 'ConnectionLimit': 50},
            {'Name': 'models', 'ConnectionLimit': 50, 'Engine': engine},
        ],
        'Limits': {'MaxBodyBytes': 100000, 'IdleTimeoutMs': 15000},
        'Tenants': [
            {'Name': 'north', 'ApiKeys': [KEY], 'Isolated': False},
            {'Name': 'south', 'ApiKeys': [OTHER_KEY], 'Isolated': True},
        ],
    }


async def _start_store() -> FakeStore:
    store = FakeStore()
    store.server.start()
    return store


async def _call(call: Callable[[], Any]) -> Any:
    return call()


async def sleep(seconds: float) -> None:
    """Wait on the event loop while the routers run."""
    await asyncio.sleep(seconds)
