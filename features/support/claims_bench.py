"""Run routers, agents and plain workers over one platform in memory."""

import asyncio
import json
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any
from typing import TypeVar

from behave.runner import Context
from lacewing_bench.fake_agent import until
from lacewing_bench.fake_runtime import FakeBundles
from lacewing_bench.fake_runtime import FakeMembers
from lacewing_bench.fake_runtime import router_runtime
from lacewing_bench.fakes import FakeStore
from lacewing_bench.standins import PlainConfig
from lacewing_bench.standins import PlainService
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.claim_key import claim_key
from lacewing_common.claim_key import range_of
from lacewing_common.claim_key import range_point
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.settings import Settings
from lacewing_common.settings import WorkerSettings
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault
from lacewing_daemon.agent._agent import Agent
from lacewing_daemon.claims import ClaimLimits
from lacewing_daemon.claims._document import KIND
from lacewing_daemon.claims._document import read_book
from lacewing_daemon.claims._record import Claim
from lacewing_daemon.rendezvous import highest_ranked
from lacewing_daemon.router import RunningRouter
from lacewing_daemon.router import start_router
from lacewing_daemon.router._keys import hash_key
from lacewing_daemon.runtime import Runtime
from msgspec.structs import replace
from tornado.curl_httpclient import CurlAsyncHTTPClient

T = TypeVar('T')

SERVICE = 'registry'
TEAM = 'rahmat'
RANGE = 7
PLACE = Place('test', 'zone-1')
FAST = ClaimLimits(
    pace_s=0.0,
    linger_s=0.0,
    wait_s=8.0,
    resolve_s=0.2,
    retry_base_s=0.01,
    retry_cap_s=0.05,
)


class HeldService(PlainService):
    """Answer an executed call only when it may."""

    def __init__(self, config: PlainConfig) -> None:
        super().__init__(config)
        self.go_on = asyncio.Event()
        self.go_on.set()

    async def execute(self, request_id: str, key: str, call: str) -> bool:
        """Execute at once; answer when the scenario says so."""
        ended = await super().execute(request_id, key, call)
        await self.go_on.wait()
        return ended


class AgentsStore(FakeStore):
    """Reach the platform as one agent does; hold or cut its way there."""

    def __init__(self, shared: FakeStore) -> None:
        super().__init__(shared.service)
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.held_puts = 0
        self.cut = False
        self.lose_then_cut = False

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        if self.cut:
            return StoreError(StoreFault.UNAVAILABLE, 'cut off')
        return await super().get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expect: int
    ) -> StoredObject | StoreError:
        """Write once the way is open."""
        self.held_puts += 1
        await self.go_on.wait()
        self.held_puts -= 1
        if self.cut:
            return StoreError(StoreFault.UNAVAILABLE, 'cut off')
        stored = await super().put(kind, name, value, expect)
        if not self.lose_then_cut:
            return stored
        self.lose_then_cut = False
        self.cut = True
        return StoreError(StoreFault.UNKNOWN, 'the answer was lost')


@dataclass(frozen=True)
class Answer:
    """Hold one answer as the caller saw it."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def replayed(self) -> bool:
        """Tell whether it says that it is a replay."""
        return self.headers.get('Idempotency-Replayed') == 'true'

    @property
    def verdict(self) -> str:
        """Return the verdict that its header tells."""
        return self.headers['Lacewing-Verdict']

    @property
    def code(self) -> str:
        """Return the error code, '' when it is none."""
        if not isinstance(self.body, dict) or 'error' not in self.body:
            return ''
        return str(self.body['error']['code'])


class Site:
    """Hold one agent with its worker and its way to the platform."""

    def __init__(self, name: str, shared: FakeStore) -> None:
        self.name = name
        self.store = AgentsStore(shared)
        self.worker = HeldService(PlainConfig(name=name, service_ms=0.5))
        self.address = ''
        self.has_platform = True
        self.incarnation = 0
        self.agent: Agent

    async def start(self, bundles: FakeBundles, limits: ClaimLimits) -> None:
        """Start the agent, on its address of before if it had one."""
        worker = WorkerSettings(f'http://{self.worker.address}', SERVICE, 32)
        settings = Settings(
            role=Role.AGENT,
            process_id=self.name,
            place=PLACE,
            worker=worker,
        )
        if self.address:
            listen = replace(settings.listen, peers=self.address)
            settings = replace(settings, listen=listen)
        self.incarnation = new_incarnation()
        runtime = Runtime(
            ProcessName(self.name, self.incarnation),
            settings,
            bundles,
            FakeMembers(),
            asyncio.Event(),
            self.store if self.has_platform else None,
        )
        self.agent = Agent(runtime, worker, claim_limits=limits)
        await self.agent.start()
        self.address = self.agent.peers_address

    async def crash(self) -> None:
        """Lose the agent at once: nothing of it reaches the platform."""
        self.store.cut = True
        links: list[Any] = list(self.agent._links)
        self.agent._server.stop()
        for link in links:
            # A lost process takes its connections with it.
            link._stream._stream.connection.close()
        await self.agent.close()
        self.store = AgentsStore(self.store)


class ClaimsBench:
    """Hold all parts of one scenario, and what callers got."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.store = self.run(self._new_store())
        self.bundles = FakeBundles()
        self.limits = FAST
        self.first_token_ms = 20_000.0
        self.has_platform = True
        self.sites: list[Site] = []
        self.routers: list[RunningRouter] = []
        self.members: list[FakeMembers] = []
        self.answers: list[Answer] = []
        self.calls: dict[str, asyncio.Task[Answer]] = {}
        self._client = self.run(self._new_client())
        self._keys: dict[str, str] = {}

    @property
    def answer(self) -> Answer:
        """Return the last answer."""
        return self.answers[-1]

    @property
    def home(self) -> Site:
        """Return the site to which routers send the range's keys."""
        point = range_point(SERVICE, RANGE)
        name = highest_ranked(point, tuple(site.name for site in self.sites))
        return next(site for site in self.sites if site.name == name)

    @property
    def other(self) -> Site:
        """Return a site to which routers send them when home is away."""
        return next(site for site in self.sites if site is not self.home)

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run until done, all parts meanwhile too."""
        return self.loop.run_until_complete(work)

    def wait(self, condition: Callable[[], bool]) -> None:
        """Run until a condition holds."""
        self.run(until(condition))

    def start(self, sites: int, routers: int) -> None:
        """Start workers, agents and routers, and link them."""
        self.run(self._start(sites, routers))

    def key(self, name: str) -> str:
        """Return a key of the scenario's range."""
        while name not in self._keys:
            for number in range(100_000):
                key = f'{name}-{number}'
                if range_of(claim_key(TEAM, SERVICE, key)) == RANGE:
                    self._keys[name] = key
                    break
        return self._keys[name]

    async def call(
        self, router: int, name: str, body: str = 'issue', team: str = TEAM
    ) -> Answer:
        """Ask for a certificate with a key; '' for none."""
        headers = {'Authorization': f'Bearer key-{team}'}
        if name:
            headers['Idempotency-Key'] = self.key(name)
        address = self.routers[router - 1].callers_address
        response = await self._client.fetch(
            f'http://{address}/services/{SERVICE}/certificates/7',
            method='POST',
            headers=headers,
            body=body,
            raise_error=False,
            request_timeout=60.0,
        )
        answer = Answer(
            response.code,
            dict(response.headers),
            json.loads(response.body),
        )
        self.answers.append(answer)
        return answer

    def begin(self, call_name: str, *call: Any) -> None:
        """Start a call and leave it open."""
        self.calls[call_name] = self.loop.create_task(self.call(*call))

    def executions(self, name: str) -> int:
        """Count at all workers how often a key was executed."""
        key = self.key(name)
        return sum(site.worker.counts.by_key[key] for site in self.sites)

    def claim(self, name: str) -> Claim | None:
        """Return a claim as it stands in the platform."""
        found = self.run(self.store.get(KIND, f'{SERVICE}-{RANGE}'))
        if isinstance(found, StoreError):
            return None
        book = read_book(found)
        assert book is not None
        return book.claims.get(claim_key(TEAM, SERVICE, self.key(name)))

    def leave(self, site: Site, router: int) -> None:
        """Let one router see a site's VM as leaving."""
        members = self.members[router - 1]
        members.leaving_addresses = frozenset((site.address,))
        self.wait(lambda: self._eligible(router) == len(self.sites) - 1)

    def come_back(self, router: int) -> None:
        """Let one router see all sites as staying."""
        self.members[router - 1].leaving_addresses = frozenset()
        self.wait(lambda: self._eligible(router) == len(self.sites))

    def linked(self) -> bool:
        """Tell whether all routers may use all sites."""
        runs = {site.incarnation for site in self.sites}
        return all(self._runs_seen(each) == runs for each in self.routers)

    def _runs_seen(self, router: RunningRouter) -> set[int]:
        links = router._serving.links.eligible(SERVICE, '')
        seen: set[int] = set()
        for process_id in links.ids:
            seen.add(links.link(process_id).incarnation)
        return seen

    def close(self) -> None:
        """Close all parts."""
        self.run(self._close())
        self.loop.close()

    def _eligible(self, router: int) -> int:
        links = self.routers[router - 1]._serving.links
        return len(links.eligible(SERVICE, '').ids)

    async def _start(self, sites: int, routers: int) -> None:
        service = Service(
            name=SERVICE,
            kind=ServiceKind.PLAIN,
            at_most_once_paths=('/certificates',),
            first_token_ms=self.first_token_ms,
        )
        teams = []
        for name in (TEAM, 'brno'):
            teams.append(Team(name, (hash_key(f'key-{name}'),), (SERVICE,)))
        self.bundles.roll(Bundle(teams=tuple(teams), services=(service,)))
        for number in range(sites):
            site = Site(f'agent-{number + 1}', self.store)
            site.has_platform = self.has_platform
            self.sites.append(site)
            await site.worker.start()
            await site.start(self.bundles, self.limits)
        addresses = tuple(site.address for site in self.sites)
        for number in range(routers):
            members = FakeMembers()
            members.addresses = addresses
            self.members.append(members)
            name = f'router-{number + 1}'
            self.routers.append(
                await start_router(router_runtime(name, self.bundles, members))
            )
        await until(self.linked)

    async def _new_store(self) -> FakeStore:
        return FakeStore()

    async def _new_client(self) -> CurlAsyncHTTPClient:
        return CurlAsyncHTTPClient(force_instance=True, max_clients=200)

    async def _close(self) -> None:
        for site in self.sites:
            site.worker.go_on.set()
            site.store.go_on.set()
        for router in self.routers:
            await router.close()
        for site in self.sites:
            await site.agent.close()
            await site.worker.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        self._client.close()


def bench_of(context: Context) -> ClaimsBench:
    """Return the scenario's bench, made at its first use."""
    if not hasattr(context, 'claims_bench'):
        context.claims_bench = ClaimsBench()
        context.resources.callback(context.claims_bench.close)
    bench: ClaimsBench = context.claims_bench
    return bench
