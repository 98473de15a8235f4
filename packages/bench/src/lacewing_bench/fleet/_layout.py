"""Write the settings of each process of a fleet."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import msgspec
from lacewing_common.bundle import Operator
from lacewing_common.caller_limits import VmSize
from lacewing_common.identity import Place
from lacewing_common.identity import Role
from lacewing_common.settings import Listen
from lacewing_common.settings import LogLevel
from lacewing_common.settings import PeerSettings
from lacewing_common.settings import PlacementSettings
from lacewing_common.settings import Settings
from lacewing_common.settings import TlsFiles
from lacewing_common.settings import WorkerSettings

from lacewing_bench.fleet._bundle import adapters
from lacewing_bench.fleet._deployment import Deployment
from lacewing_bench.fleet._deployment import MODEL_WEIGHTS
from lacewing_bench.standins import EngineConfig
from lacewing_bench.standins import KvConfig
from lacewing_bench.standins import LoadedAdapter
from lacewing_bench.standins import LoadedModel
from lacewing_bench.standins import PlainConfig
from lacewing_bench.standins import StandinsConfig

KV_STORE = 'kv-1'


@dataclass(frozen=True)
class Slot:
    """Name one process of the system and say where it runs.

    ``worker`` and ``service`` are '' for a router; ``concurrency`` is the
    number of requests that the worker runs at once.
    """

    process_id: str
    role: Role
    zone: str
    worker: str = ''
    service: str = ''
    concurrency: int = 0


@dataclass(frozen=True)
class Common:
    """Hold what all daemons of a fleet share.

    ``kv_store_urls`` maps a service to its store of kept KV cache.
    """

    region: str
    platform_url: str
    bundle_file: Path | None
    log_level: LogLevel
    drain_s: float
    tls: TlsFiles | None
    kv_store_urls: Mapping[str, str] = field(default_factory=dict)
    root_operators: tuple[Operator, ...] = ()
    peers: PeerSettings = PeerSettings()
    placement: PlacementSettings = PlacementSettings()
    vm: VmSize = VmSize()
    seeds: tuple[str, ...] = ()


def router_slots(deployment: Deployment) -> tuple[Slot, ...]:
    """Place the routers over the zones in turn."""
    slots: list[Slot] = []
    for index in range(deployment.routers):
        zone = deployment.zones[index % len(deployment.zones)]
        slots.append(Slot(f'router-{index + 1}', Role.ROUTER, zone))
    return tuple(slots)


def agent_slots(deployment: Deployment) -> tuple[Slot, ...]:
    """Place an agent beside each worker, over the zones in turn."""
    models = _group(
        deployment,
        deployment.model_service,
        deployment.model_workers,
        EngineConfig(name='').max_running,
    )
    plains = _group(
        deployment,
        deployment.plain_service,
        deployment.plain_workers,
        PlainConfig(name='').max_running,
    )
    return (*models, *plains)


def _group(
    deployment: Deployment, service: str, number: int, concurrency: int
) -> list[Slot]:
    slots: list[Slot] = []
    for index in range(number):
        zone = deployment.zones[index % len(deployment.zones)]
        worker = f'{service}-{index + 1}'
        slot = Slot(
            f'agent-{worker}', Role.AGENT, zone, worker, service, concurrency
        )
        slots.append(slot)
    return slots


def standins(deployment: Deployment, platform_url: str) -> StandinsConfig:
    """Describe all stand-in workers of a deployment."""
    workers: list[EngineConfig | PlainConfig | KvConfig] = []
    for slot in agent_slots(deployment):
        if slot.service == deployment.model_service:
            workers.append(_engine(deployment, slot.worker, platform_url))
            continue
        workers.append(PlainConfig(name=slot.worker))
    workers.append(KvConfig(name=KV_STORE))
    return StandinsConfig(workers=tuple(workers))


def _engine(
    deployment: Deployment, name: str, platform_url: str
) -> EngineConfig:
    loaded: list[LoadedAdapter] = []
    for adapter in adapters(deployment):
        loaded.append(
            LoadedAdapter(name=adapter.name, version=adapter.version)
        )
    model = LoadedModel(
        id=deployment.model, weights=MODEL_WEIGHTS, adapters=tuple(loaded)
    )
    return EngineConfig(
        name=name,
        models=(model,),
        platform=platform_url,
        capacity_blocks=deployment.capacity_blocks,
        costs=deployment.costs,
    )


def daemon_settings(
    slot: Slot, common: Common, listen: Listen, worker_url: str
) -> Settings:
    """Make the settings of one daemon."""
    worker = None
    if slot.role is Role.AGENT:
        worker = WorkerSettings(
            url=worker_url,
            service=slot.service,
            concurrency=slot.concurrency,
            kv_store=common.kv_store_urls.get(slot.service, ''),
        )
    return Settings(
        role=slot.role,
        process_id=slot.process_id,
        place=Place(common.region, slot.zone),
        listen=listen,
        platform=common.platform_url,
        worker=worker,
        bundle_file=str(common.bundle_file or ''),
        root_operators=common.root_operators,
        peers=common.peers,
        placement=common.placement,
        vm=common.vm,
        seeds=common.seeds,
        log_level=common.log_level,
        tls=common.tls,
        drain_s=common.drain_s,
    )


def write_json(path: Path, value: object) -> None:
    """Write a value in place of a file, whole or not at all."""
    text = json.dumps(msgspec.to_builtins(value), indent=2)
    fresh = path.with_suffix('.new')
    fresh.write_text(text)
    fresh.replace(path)
