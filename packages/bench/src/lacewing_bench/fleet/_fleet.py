"""Run a deployment: stand-ins, platform, agents and routers."""

import asyncio
import random
import signal
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from types import TracebackType
from typing import Any

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Operator
from lacewing_common.bundle import PolicyName
from lacewing_common.caller_limits import VmSize
from lacewing_common.document import Document
from lacewing_common.identity import Role
from lacewing_common.settings import LogLevel
from lacewing_common.settings import PeerSettings
from lacewing_common.settings import PlacementSettings
from lacewing_common.settings import TlsFiles
from lacewing_common.status import ProcessStatus
from lacewing_common.store import Vm
from lacewing_common.store import VmState
from tornado.httpclient import HTTPResponse

from lacewing_bench.fleet._bundle import make_bundle
from lacewing_bench.fleet._bundle import team_keys
from lacewing_bench.fleet._daemon import Daemon
from lacewing_bench.fleet._deployment import Deployment
from lacewing_bench.fleet._http import ControlClient
from lacewing_bench.fleet._layout import agent_slots
from lacewing_bench.fleet._layout import Common
from lacewing_bench.fleet._layout import KV_STORE
from lacewing_bench.fleet._layout import router_slots
from lacewing_bench.fleet._layout import standins
from lacewing_bench.fleet._layout import write_json
from lacewing_bench.fleet._process import FleetError
from lacewing_bench.fleet._process import FleetProcess
from lacewing_bench.fleet._roller import Acceptance
from lacewing_bench.fleet._roller import FleetRoller
from lacewing_bench.platform._settings import PlatformSettings
from lacewing_bench.platform._settings import WeightSettings

_POLL_S = 0.05
_READY_S = 30.0
_CLOSE_S = 3.0
_STANDINS = 'standins'
_PLATFORM = 'platform'
_RECEIVERS = 3
_SEEDS = 3


@dataclass(frozen=True)
class FleetOptions:
    """Vary how a fleet is run.

    ``standin_processes`` spreads the stand-in workers; ``vm_lag_s`` is the
    lag of the platform's VM list once the fleet has started; ``policy``
    chooses the model workers. ``signed``: bundles are signed, rolled at the
    platform and passed on by peers, in place of a file that all read, and
    the routers know three agents as their seeds.
    """

    policy: PolicyName = PolicyName.EXPECTED_COST
    standin_processes: int = 1
    vm_lag_s: float = 1.0
    drain_s: float = 30.0
    log_level: LogLevel = LogLevel.INFO
    tls: TlsFiles | None = None
    signed: bool = False
    peers: PeerSettings = PeerSettings()
    placement: PlacementSettings = PlacementSettings()
    vm: VmSize = VmSize()


class Fleet:
    """Run a deployment; ``async with`` starts it and always ends it."""

    def __init__(
        self, deployment: Deployment, options: FleetOptions | None = None
    ) -> None:
        self._deployment = deployment
        self._options = options or FleetOptions()
        self._scratch = TemporaryDirectory(prefix='lacewing-')
        self._directory = Path(self._scratch.name)
        self._processes: dict[str, FleetProcess] = {}
        self._daemons: dict[str, Daemon] = {}
        self._workers: dict[str, str] = {}
        self._platform_url = ''
        self._client: ControlClient | None = None
        self._roller: FleetRoller | None = None

    @property
    def deployment(self) -> Deployment:
        """Return the deployment that runs."""
        return self._deployment

    @property
    def team_keys(self) -> Mapping[str, str]:
        """Return the key of each team."""
        return team_keys(self._deployment)

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return self._platform_url

    @property
    def worker_urls(self) -> Mapping[str, str]:
        """Return the base URL of each stand-in worker by its name."""
        return self._workers

    @property
    def router_names(self) -> tuple[str, ...]:
        """Return the process ids of the routers."""
        return self._names(Role.ROUTER)

    @property
    def agent_names(self) -> tuple[str, ...]:
        """Return the process ids of the agents."""
        return self._names(Role.AGENT)

    @property
    def router_urls(self) -> tuple[str, ...]:
        """Return the base URL that callers use at each router."""
        return tuple(self.caller_url(name) for name in self.router_names)

    @property
    def operators(self) -> tuple[str, ...]:
        """Return the operators' address of each daemon."""
        return tuple(
            daemon.addresses.operators for daemon in self._daemons.values()
        )

    @property
    def pids(self) -> tuple[int, ...]:
        """Return the process ids of all processes."""
        return tuple(process.pid for process in self._processes.values())

    @property
    def pids_by_name(self) -> Mapping[str, int]:
        """Return the process id of each process that runs."""
        return {
            name: process.pid
            for name, process in self._processes.items()
            if process.exit_code is None
        }

    @property
    def bundle_file(self) -> Path:
        """Return the path of the bundle that all daemons read."""
        return self._directory / 'bundle.json'

    def caller_url(self, router: str) -> str:
        """Return the base URL that callers use at one router."""
        return f'{self._scheme}://{self.daemon(router).addresses.callers}'

    def operators_url(self, name: str) -> str:
        """Return the operators' base URL of one daemon."""
        return f'{self._scheme}://{self.daemon(name).addresses.operators}'

    def daemon(self, name: str) -> Daemon:
        """Return one router or agent by its process id."""
        return self._daemons[name]

    def process(self, name: str) -> FleetProcess:
        """Return any process of the fleet by its name."""
        return self._processes[name]

    async def __aenter__(self) -> 'Fleet':
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def start(self) -> None:
        """Start everything; return when each router takes requests."""
        tls = self._options.tls
        self._client = ControlClient(None if tls is None else tls.authority)
        self.write_bundle(make_bundle(self._deployment, self._options.policy))
        await self._start_platform()
        await self._start_roller()
        await self._start_standins()
        await self._start_daemons(Role.AGENT)
        await self._list_agents()
        await self._start_daemons(Role.ROUTER)
        await self.set_platform_faults({})
        await asyncio.gather(
            *[self.until_ready(name) for name in self.router_names]
        )

    async def close(self) -> None:
        """End all processes by their ids: SIGTERM, then SIGKILL."""
        running = list(self._processes.values())
        try:
            await asyncio.gather(*[each.close(_CLOSE_S) for each in running])
        finally:
            for process in running:
                process.kill_now()
            if self._client is not None:
                self._client.close()
                self._client = None
            if self._roller is not None:
                self._roller.close()
                self._roller = None
            self._scratch.cleanup()

    def write_bundle(self, bundle: Bundle) -> None:
        """Write the bundle file and have the running daemons read it."""
        write_json(self.bundle_file, bundle)
        for name in self._daemons:
            self.process(name).send(signal.SIGHUP)

    @property
    def roller_reads(self) -> int:
        """Return how often rolling has read objects of the platform."""
        return 0 if self._roller is None else self._roller.reads

    async def roll(self, bundle: Bundle) -> Acceptance:
        """Sign a bundle off and roll it; for fleets of signed bundles."""
        if self._roller is None:
            raise FleetError('expected a fleet with signed bundles')
        return await self._roller.roll(bundle)

    async def hand_over(self, document: Document) -> None:
        """Give a document to a few daemons, as lacewingctl does."""
        body = msgspec.msgpack.encode(document)
        names = self.router_names + self.agent_names
        for name in random.sample(names, min(_RECEIVERS, len(names))):
            url = f'{self.operators_url(name)}/documents'
            await self._control.post_bytes(url, body)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        process = self.process(name)
        process.send(signal.SIGKILL)
        await process.ended()

    async def terminate(self, name: str, within_s: float = 30.0) -> int:
        """End a process with SIGTERM; return its exit code."""
        process = self.process(name)
        process.send(signal.SIGTERM)
        return await process.ended(within_s)

    def freeze(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self.process(name).send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.process(name).send(signal.SIGCONT)

    async def restart(self, name: str, same_address: bool = True) -> None:
        """Start an ended daemon again; an agent is listed anew."""
        daemon = self.daemon(name)
        await daemon.start(same_address)
        if daemon.slot.role is Role.AGENT:
            await self.list_vm(name, VmState.LIVE)

    async def list_vm(self, agent: str, state: VmState) -> None:
        """Register the VM of an agent in the platform's list."""
        daemon = self.daemon(agent)
        vm = Vm(
            vm_id=agent,
            address=daemon.addresses.peers,
            availability_zone=daemon.slot.zone,
            state=state,
        )
        await self._control.post(
            f'{self._platform_url}/vms', msgspec.to_builtins(vm)
        )

    async def set_worker_faults(
        self, worker: str, faults: Mapping[str, Any]
    ) -> None:
        """Replace the fault switches of a stand-in worker."""
        await self._control.post(f'{self._workers[worker]}/faults', faults)

    async def set_platform_faults(self, faults: Mapping[str, Any]) -> None:
        """Replace the fault switches of the platform stand-in."""
        lag = {'vm_lag_s': self._options.vm_lag_s}
        await self._control.post(
            f'{self._platform_url}/faults', {**lag, **faults}
        )

    async def post_platform(self, path: str, value: object) -> None:
        """Post to the platform stand-in."""
        await self._control.post(f'{self._platform_url}{path}', value)

    async def ask(self, name: str, path: str) -> HTTPResponse:
        """Read one path of the operators' listener of a daemon."""
        return await self._control.get(f'{self.operators_url(name)}{path}')

    async def read(self, url: str) -> bytes:
        """Read any URL of the fleet."""
        return (await self._control.get(url)).body

    async def status(self, name: str) -> ProcessStatus:
        """Read the status of one daemon."""
        response = await self.ask(name, '/status')
        return msgspec.json.decode(response.body, type=ProcessStatus)

    async def until_ready(self, name: str) -> None:
        """Wait until a daemon takes requests."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _READY_S
        while (await self.ask(name, '/readyz')).code != 200:
            if loop.time() > deadline:
                raise FleetError(f'{name}: not ready within {_READY_S} s')
            await asyncio.sleep(_POLL_S)

    async def until_linked(self, router: str) -> None:
        """Wait until a router has a link to each agent."""
        wanted = f'\nlacewing_router_links_up {len(self.agent_names):.1f}\n'
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _READY_S
        while wanted not in (await self.ask(router, '/metrics')).body.decode():
            if loop.time() > deadline:
                raise FleetError(f'{router}: not linked within {_READY_S} s')
            await asyncio.sleep(_POLL_S)

    @property
    def _control(self) -> ControlClient:
        if self._client is None:
            raise FleetError('expected the fleet to be started')
        return self._client

    @property
    def _scheme(self) -> str:
        return 'http' if self._options.tls is None else 'https'

    def _names(self, role: Role) -> tuple[str, ...]:
        return tuple(
            name
            for name, daemon in self._daemons.items()
            if daemon.slot.role is role
        )

    def _add_process(
        self, name: str, module: str, flag: str, settings: object
    ) -> FleetProcess:
        path = self._directory / f'{name}.json'
        write_json(path, settings)
        arguments = [flag, str(path)]
        process = FleetProcess(name, module, arguments, self._directory)
        self._processes[name] = process
        return process

    async def _start_platform(self) -> None:
        settings = PlatformSettings(
            vm_lag_s=0.0,
            weights=WeightSettings(
                loads_at_once=self._deployment.loads_at_once
            ),
        )
        process = self._add_process(
            _PLATFORM, 'lacewing_bench.platform', '--config', settings
        )
        process.start()
        lines = await process.lines('listening')
        self._platform_url = f'http://{lines[0].address}'

    async def _start_roller(self) -> None:
        if not self._options.signed:
            return
        self._roller = FleetRoller(self._platform_url)
        await self._roller.roll(
            make_bundle(self._deployment, self._options.policy)
        )

    @property
    def _root_operators(self) -> tuple[Operator, ...]:
        if self._roller is None:
            return ()
        return self._roller.root_operators

    @property
    def _seeds(self) -> tuple[str, ...]:
        if self._roller is None:
            return ()
        found = [
            self.daemon(name).addresses.peers for name in self.agent_names
        ]
        return tuple(found[:_SEEDS])

    async def _start_standins(self) -> None:
        workers = standins(self._deployment, self._platform_url).workers
        count = min(self._options.standin_processes, len(workers))
        started: list[FleetProcess] = []
        for index in range(count):
            share = workers[index::count]
            process = self._add_process(
                f'{_STANDINS}-{index + 1}',
                'lacewing_bench.standins',
                '--config',
                {'workers': share},
            )
            process.start()
            started.append(process)
        for index, process in enumerate(started):
            expected = len(workers[index::count])
            for line in await process.lines('listening', expected):
                self._workers[line.name] = f'http://{line.address}'

    async def _start_daemons(self, role: Role) -> None:
        slots = agent_slots(self._deployment)
        if role is Role.ROUTER:
            slots = router_slots(self._deployment)
        common = Common(
            region=self._deployment.name,
            platform_url=self._platform_url,
            bundle_file=None if self._roller else self.bundle_file,
            root_operators=self._root_operators,
            peers=self._options.peers,
            placement=self._options.placement,
            vm=self._options.vm,
            seeds=self._seeds,
            log_level=self._options.log_level,
            drain_s=self._options.drain_s,
            tls=self._options.tls,
            kv_store_urls={
                self._deployment.model_service: self._workers[KV_STORE]
            },
        )
        started: list[Daemon] = []
        for slot in slots:
            worker_url = self._workers.get(slot.worker, '')
            engines_path = None
            if role is Role.ROUTER:
                engines_path = self._engines_path()
            daemon = Daemon(
                slot, common, worker_url, self._directory, engines_path
            )
            self._daemons[slot.process_id] = daemon
            self._processes[slot.process_id] = daemon.process
            started.append(daemon)
        await asyncio.gather(*[daemon.start(False) for daemon in started])

    def _engines_path(self) -> Path | None:
        """Tell routers of the engines, if they are to use the oracle."""
        if self._options.policy is not PolicyName.ORACLE:
            return None
        engines: dict[str, str] = {}
        for slot in agent_slots(self._deployment):
            engines[slot.process_id] = self._workers[slot.worker]
        path = self._directory / 'engines.json'
        write_json(path, engines)
        return path

    async def _list_agents(self) -> None:
        # Listed with no lag, so that the routers find all agents at once.
        await self.set_platform_faults({'vm_lag_s': 0.0})
        for name in self.agent_names:
            await self.list_vm(name, VmState.LIVE)
