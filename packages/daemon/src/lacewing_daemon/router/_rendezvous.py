"""Rank workers for a prefix so that all routers agree without a message."""

from collections.abc import Sequence

import xxhash

from lacewing_daemon.router._policy import WorkerView


def weight(key: bytes, process_id: str) -> int:
    """Return the rendezvous weight of a worker for a key."""
    return xxhash.xxh3_64_intdigest(
        process_id.encode(), int.from_bytes(key, 'big')
    )


def best(key: bytes, workers: Sequence[WorkerView]) -> WorkerView:
    """Return the worker of highest weight for an 8-byte key."""
    seed = int.from_bytes(key, 'big')
    digest = xxhash.xxh3_64_intdigest
    chosen = workers[0]
    highest = -1
    for worker in workers:
        value = digest(worker.process_id.encode(), seed)
        if value > highest:
            highest = value
            chosen = worker
    return chosen


def ranked(
    key: bytes, workers: Sequence[WorkerView], count: int
) -> list[WorkerView]:
    """Return the ``count`` workers of highest weight, best first."""
    seed = int.from_bytes(key, 'big')
    digest = xxhash.xxh3_64_intdigest
    weighed = [(digest(w.process_id.encode(), seed), w) for w in workers]
    weighed.sort(key=lambda pair: pair[0], reverse=True)
    return [worker for _, worker in weighed[:count]]
