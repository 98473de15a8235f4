"""Read from the stand-ins what they truly ran."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from lacewing_bench.fleet import Fleet
from lacewing_bench.load._work import WorkerCounts


@dataclass(frozen=True)
class Truth:
    """Hold how often each call ran, by its digest and by its key."""

    by_call: Mapping[str, int]
    by_key: Mapping[str, int]


async def read_truth(fleet: Fleet) -> Truth:
    """Sum the counts of all engines and plain services."""
    by_call: Counter[str] = Counter()
    by_key: Counter[str] = Counter()
    deployment = fleet.deployment
    for name, url in fleet.worker_urls.items():
        service = name.rpartition('-')[0]
        if service not in (
            deployment.model_service,
            deployment.plain_service,
        ):
            continue
        answer = await fleet.read(f'{url}/counts')
        counts = msgspec.json.decode(answer, type=WorkerCounts)
        by_call.update(counts.by_call)
        for key, times in counts.by_key.items():
            by_key[key.strip('"')] += times
    return Truth(by_call, by_key)
