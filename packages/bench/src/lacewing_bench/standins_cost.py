"""Measure what the engine stand-ins cost, under full streams.

python -m lacewing_bench.standins_cost --engines 9 --streams 20
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
from tornado.curl_httpclient import CurlAsyncHTTPClient

from lacewing_bench.standins import EngineConfig
from lacewing_bench.standins import EngineCosts
from lacewing_bench.standins import LoadedModel
from lacewing_bench.standins import StandinsConfig

_WARM_UP_S = 2.0
_TOKENS = 200
_PROMPT = 'A line of the handbook that all requests share. ' * 40
_TIMEOUT_S = 600.0
_MEGABYTE = 1e6


class CostReport(msgspec.Struct, frozen=True):
    """Hold the cost of all processes together.

    ``paced_share``: tokens sent, of those that the engines' prices allow.
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
    """Count the tokens that came."""

    tokens: int = 0

    def take(self, data: bytes) -> None:
        """Count the events of a piece of a stream."""
        self.tokens += data.count(b'id: ')


@dataclass(frozen=True)
class _Spent:
    """Hold processor seconds and memory of some processes."""

    seconds: float
    megabytes: float


def main(
    engines: int = 9, streams: int = 20, seconds: int = 10, processes: int = 1
) -> None:
    """Print the cost of engines with running streams each, as JSON."""
    with tempfile.TemporaryDirectory() as directory:
        started: list[subprocess.Popen[str]] = []
        try:
            for number in range(processes):
                path = Path(directory) / f'{number}.json'
                share = range(number, engines, processes)
                started.append(_start(path, share))
            report = asyncio.run(_measure(started, engines, streams, seconds))
        finally:
            for process in started:
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
    started: list[subprocess.Popen[str]],
    engines: int,
    streams: int,
    seconds: int,
) -> CostReport:
    addresses = _addresses(started, engines)
    idle = _spent(started)
    tally = _Tally()
    client = CurlAsyncHTTPClient(
        force_instance=True, max_clients=engines * streams
    )
    tasks: list[asyncio.Task[None]] = []
    for address in addresses:
        for number in range(streams):
            work = _stream(client, address, number, tally)
            tasks.append(asyncio.create_task(work))
    await asyncio.sleep(_WARM_UP_S)
    before, tokens_before = _spent(started), tally.tokens
    await asyncio.sleep(seconds)
    after, tokens = _spent(started), tally.tokens - tokens_before
    for task in tasks:
        task.cancel()
    used_s = after.seconds - before.seconds
    costs = EngineCosts()
    step_s = (costs.step_ms + costs.sequence_ms * streams) / 1000
    allowed = engines * streams * seconds / step_s
    return CostReport(
        processes=len(started),
        engines=engines,
        streams=streams,
        tokens_per_s=round(tokens / seconds),
        paced_share=round(tokens / allowed, 3),
        cores=round(used_s / seconds, 3),
        cores_an_engine=round(used_s / seconds / engines, 4),
        us_a_token=round(used_s / tokens * 1e6, 1),
        idle_megabytes=round(idle.megabytes, 1),
        megabytes=round(after.megabytes, 1),
    )


def _addresses(
    started: list[subprocess.Popen[str]], engines: int
) -> list[str]:
    addresses: list[str] = []
    for number, process in enumerate(started):
        if process.stdout is None:
            continue
        for _ in range(number, engines, len(started)):
            line = json.loads(process.stdout.readline())
            addresses.append(line['address'])
    return addresses


def _spent(started: list[subprocess.Popen[str]]) -> _Spent:
    seconds = 0.0
    megabytes = 0.0
    for process in started:
        watched = psutil.Process(process.pid)
        times = watched.cpu_times()
        seconds += times.user + times.system
        megabytes += watched.memory_info().rss / _MEGABYTE
    return _Spent(seconds, megabytes)


async def _stream(
    client: CurlAsyncHTTPClient, address: str, number: int, tally: _Tally
) -> None:
    asked = 0
    while True:
        asked += 1
        body = {
            'model': 'diag',
            'prompt': f'{_PROMPT}{number} {asked}',
            'max_tokens': _TOKENS,
            'stream': True,
        }
        await client.fetch(
            f'http://{address}/v1/completions',
            method='POST',
            body=json.dumps(body),
            headers={'X-Cache-Salt': '00' * 16},
            streaming_callback=tally.take,
            request_timeout=_TIMEOUT_S,
        )


if __name__ == '__main__':
    fire.Fire(main)
