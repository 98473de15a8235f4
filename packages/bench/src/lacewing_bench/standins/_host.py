"""Host many stand-in workers in one process."""

from collections.abc import Callable

import msgspec

from lacewing_bench.standins._engine import Engine
from lacewing_bench.standins._kv import KvStore
from lacewing_bench.standins._plain import PlainService
from lacewing_bench.standins._settings import EngineConfig
from lacewing_bench.standins._settings import PlainConfig
from lacewing_bench.standins._settings import StandinsConfig
from lacewing_bench.standins._settings import WorkerConfig
from lacewing_bench.standins._worker import Worker


class Listening(msgspec.Struct, frozen=True):
    """Tell where a worker listens."""

    name: str
    kind: str
    address: str
    event: str = 'listening'


def build_worker(config: WorkerConfig) -> Worker:
    """Build the worker that settings describe."""
    if isinstance(config, EngineConfig):
        return Engine(config)
    if isinstance(config, PlainConfig):
        return PlainService(config)
    return KvStore(config)


class StandinsHost:
    """Start and close all workers of the settings."""

    def __init__(self, config: StandinsConfig) -> None:
        self._workers = tuple(build_worker(each) for each in config.workers)

    @property
    def workers(self) -> tuple[Worker, ...]:
        """Return the workers in the order of the settings."""
        return self._workers

    async def start(self, report: Callable[[Listening], None]) -> None:
        """Start all workers and report where each listens."""
        for worker in self._workers:
            address = await worker.start()
            report(Listening(worker.name, worker.kind, address))

    async def close(self) -> None:
        """Close all workers."""
        for worker in self._workers:
            await worker.close()
