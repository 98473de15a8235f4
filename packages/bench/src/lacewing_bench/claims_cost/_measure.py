"""Send calls with and without a claim through a fleet of processes."""

import asyncio
import time
from dataclasses import dataclass
from random import Random

import msgspec
from hdrh.histogram import HdrHistogram
from lacewing_common.claim_key import RANGE_COUNT
from lacewing_common.curl import CurlClient
from lacewing_daemon.claims._document import KIND
from tornado.httpclient import HTTPRequest

from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import LAHORE
from lacewing_bench.platform._counts import CountsReport

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_OK = 200
_SETTLE_S = 2.0


class CostError(Exception):
    """Report a call that did not succeed."""


@dataclass(frozen=True)
class Setup:
    """Configure the load: calls per second, seconds per rate, and a seed."""

    rates: tuple[float, ...]
    seconds: float
    seed: int


class Cost(msgspec.Struct, frozen=True):
    """Report one rate: latencies in ms and platform calls per call."""

    rate_per_s: float
    claimed: bool
    calls: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    writes_per_s: float
    writes_per_call: float
    reads_per_call: float
    conflicts: int


async def measure(setup: Setup) -> list[Cost]:
    """Measure each rate with and without claims in one fleet."""
    deployment = LAHORE.sized(routers=2, model_workers=1, plain_workers=4)
    costs: list[Cost] = []
    async with Fleet(deployment) as fleet:
        load = _Load(fleet, Random(setup.seed))
        await load.run(setup.rates[0], 1.0, True)
        for rate in setup.rates:
            for claimed in (False, True):
                costs.append(await load.run(rate, setup.seconds, claimed))
        load.close()
    return costs


class _Load:
    """Call the registry at a rate that does not depend on its latency."""

    def __init__(self, fleet: Fleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._client = CurlClient(force_instance=True, max_clients=512)
        self._key = next(iter(fleet.team_keys.values()))
        self._number = 0

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def run(self, rate: float, seconds: float, claimed: bool) -> Cost:
        """Send calls for some seconds and report their cost."""
        await asyncio.sleep(_SETTLE_S)
        await self._reset_counts()
        latencies = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        calls = []
        started_s = time.monotonic()
        due_s = started_s
        while due_s < started_s + seconds:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            calls.append(
                asyncio.create_task(self._call(claimed, due_s, latencies))
            )
            due_s += self._random.expovariate(rate)
        await asyncio.gather(*calls)
        # The last outcomes are written some time after their answers.
        await asyncio.sleep(_SETTLE_S)
        counts = await self._counts()
        writes = counts.calls.get('put', {}).get(KIND, 0)
        reads = counts.calls.get('get', {}).get(KIND, 0)
        return Cost(
            rate,
            claimed,
            len(calls),
            latencies.get_value_at_percentile(50) / _US_PER_MS,
            latencies.get_value_at_percentile(95) / _US_PER_MS,
            latencies.get_value_at_percentile(99) / _US_PER_MS,
            writes / seconds,
            writes / len(calls),
            reads / len(calls),
            counts.refused.get('conflict', 0),
        )

    async def _call(
        self, claimed: bool, due_s: float, latencies: HdrHistogram
    ) -> None:
        self._number += 1
        headers = {'Authorization': f'Bearer {self._key}'}
        if claimed:
            headers['Idempotency-Key'] = f'cost-{self._number}'
        base = self._random.choice(self._fleet.router_urls)
        response = await self._client.fetch(
            HTTPRequest(
                f'{base}/services/registry/certificates/{self._number}',
                method='POST',
                headers=headers,
                body=b'{}',
                request_timeout=30.0,
            ),
            raise_error=False,
        )
        if response.code != _OK:
            raise CostError(f'{response.code}: {response.body!r}')
        latencies.record_value(round((time.monotonic() - due_s) * _US_PER_S))

    async def _reset_counts(self) -> None:
        url = f'{self._fleet.platform_url}/counts/reset'
        await self._client.fetch(url, method='POST', body=b'')

    async def _counts(self) -> CountsReport:
        response = await self._client.fetch(
            f'{self._fleet.platform_url}/counts'
        )
        return msgspec.json.decode(response.body, type=CountsReport)


def max_writes_per_s(pace_s: float) -> float:
    """Return the maximum write rate of a service with all ranges busy."""
    return RANGE_COUNT / pace_s
