"""Measure the cost of the engine stand-ins while all streams run.

Run ``python -m lacewing_bench.standins_cost --engines 9 --streams 20``.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import fire
import msgspec
import psutil
from lacewing_common.curl import CurlClient

from lacewing_bench.standins import EngineConfig
from lacewing_bench.standins import EngineCosts
from lacewing_bench.standins import LoadedModel
from lacewing_bench.standins import StandinsConfig

_WARM_UP_S = 2.0
_TOKENS_PER_ANSWER = 200
_PROMPT = 'A line of the handbook that all requests share. ' * 40
_TIMEOUT_S = 600.0
_BYTES_PER_MEGABYTE = 1e6


class CostReport(msgspec.Struct, frozen=True):
    """Hold the total cost of all processes.

    ``paced_share``: ratio of the tokens received to those that the
    configured engine costs allow.
    """

    processes: int
    engines: int
    streams: int
    tokens_per_s: float
    paced_share: float
    cores: float
    cores_an_engine: float
    us_a_token: float
    idle_megabytes: float
    megabytes: float


@dataclass
class _Tally:
    """Count the tokens received."""

    tokens: int = 0

    def count_events(self, data: bytes) -> None:
        """Count the events in a chunk of a stream."""
        self.tokens += data.count(b'id: ')


@dataclass(frozen=True)
class _Usage:
    """Hold the CPU seconds and the memory of some processes."""

    seconds: float
    megabytes: float


def main(
    engines: int = 9, streams: int = 20, seconds: int = 10, processes: int = 1
) -> None:
    """Print the cost of engines with concurrent streams, as JSON."""
    with tempfile.TemporaryDirectory() as directory:
        servers: list[subprocess.Popen[str]] = []
        try:
            for number in range(processes):
                path = Path(directory) / f'{number}.json'
                engine_numbers = range(number, engines, processes)
                servers.append(_start(path, engine_numbers))
            report = asyncio.run(_measure(servers, engines, streams, seconds))
        finally:
            for process in servers:
                process.terminate()
                process.wait()
    print(msgspec.json.encode(report).decode())


def _start(path: Path, numbers: Iterable[int]) -> subprocess.Popen[str]:
    model = LoadedModel(id='diag', weights='w1')
    workers: list[EngineConfig] = []
    for number in numbers:
        workers.append(EngineConfig(name=f'e{number}', models=(model,)))
    path.write_bytes(
        msgspec.json.encode(StandinsConfig(workers=tuple(workers)))
    )
    command = [sys.executable, '-m', 'lacewing_bench.standins']
    return subprocess.Popen(
        [*command, '--config', str(path)], stdout=subprocess.PIPE, text=True
    )


async def _measure(
    servers: list[subprocess.Popen[str]],
    engines: int,
    streams: int,
    seconds: int,
) -> CostReport:
    addresses = _addresses(servers, engines)
    idle = _usage(servers)
    tally = _Tally()
    client = CurlClient(force_instance=True, max_clients=engines * streams)
    tasks: list[asyncio.Task[None]] = []
    for address in addresses:
        for number in range(streams):
            work = _stream(client, address, number, tally)
            tasks.append(asyncio.create_task(work))
    await asyncio.sleep(_WARM_UP_S)
    before, tokens_before = _usage(servers), tally.tokens
    await asyncio.sleep(seconds)
    after, tokens = _usage(servers), tally.tokens - tokens_before
    for task in tasks:
        task.cancel()
    used_s = after.seconds - before.seconds
    costs = EngineCosts()
    step_s = (costs.step_ms + costs.sequence_ms * streams) / 1000
    full_rate_tokens = engines * streams * seconds / step_s
    return CostReport(
        processes=len(servers),
        engines=engines,
        streams=streams,
        tokens_per_s=round(tokens / seconds),
        paced_share=round(tokens / full_rate_tokens, 3),
        cores=round(used_s / seconds, 3),
        cores_an_engine=round(used_s / seconds / engines, 4),
        us_a_token=round(used_s / tokens * 1e6, 1),
        idle_megabytes=round(idle.megabytes, 1),
        megabytes=round(after.megabytes, 1),
    )


def _addresses(
    servers: list[subprocess.Popen[str]], engines: int
) -> list[str]:
    addresses: list[str] = []
    for number, process in enumerate(servers):
        if process.stdout is None:
            continue
        for _ in range(number, engines, len(servers)):
            line = json.loads(process.stdout.readline())
            addresses.append(line['address'])
    return addresses


def _usage(servers: list[subprocess.Popen[str]]) -> _Usage:
    seconds = 0.0
    megabytes = 0.0
    for process in servers:
        server = psutil.Process(process.pid)
        times = server.cpu_times()
        seconds += times.user + times.system
        megabytes += server.memory_info().rss / _BYTES_PER_MEGABYTE
    return _Usage(seconds, megabytes)


async def _stream(
    client: CurlClient, address: str, number: int, tally: _Tally
) -> None:
    request_number = 0
    while True:
        request_number += 1
        body = {
            'model': 'diag',
            'prompt': f'{_PROMPT}{number} {request_number}',
            'max_tokens': _TOKENS_PER_ANSWER,
            'stream': True,
        }
        await client.fetch(
            f'http://{address}/v1/completions',
            method='POST',
            body=json.dumps(body),
            headers={'X-Cache-Salt': '00' * 16},
            streaming_callback=tally.count_events,
            request_timeout=_TIMEOUT_S,
        )


if __name__ == '__main__':
    fire.Fire(main)
