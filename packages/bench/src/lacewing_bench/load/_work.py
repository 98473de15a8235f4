"""Read from the stand-ins what they truly did."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from lacewing_bench.standins import BLOCK_TOKENS

Read = Callable[[str], Awaitable[bytes]]


class WorkerCounts(msgspec.Struct, frozen=True):
    """Hold the counts of an engine or a plain service."""

    executions: dict[str, int] = {}
    by_call: dict[str, int] = {}
    by_key: dict[str, int] = {}
    prefilled_tokens: int = 0
    hit_tokens: int = 0
    prompt_tokens: int = 0
    busy_s: float = 0.0


class _Blocks(msgspec.Struct, frozen=True):
    blocks: dict[str, int]


@dataclass(frozen=True)
class Work:
    """Sum the counts of all workers.

    ``blocks``: how often each block was computed. ``busy_s``: by engine.
    ``by_key``: executions of each idempotency key.
    """

    prefilled_tokens: int
    hit_tokens: int
    prompt_tokens: int
    busy_s: Mapping[str, float]
    blocks: Mapping[str, int]
    executions: Mapping[str, int]
    by_key: Mapping[str, int]


async def read_work(
    read: Read, engines: Mapping[str, str], plain: Mapping[str, str]
) -> Work:
    """Read the counts of workers given by name and base URL."""
    executions: Counter[str] = Counter()
    by_key: Counter[str] = Counter()
    blocks: Counter[str] = Counter()
    busy_s: dict[str, float] = {}
    prefilled = hits = prompts = 0
    counts = await _counts(read, engines)
    for name, counted in counts.items():
        prefilled += counted.prefilled_tokens
        hits += counted.hit_tokens
        prompts += counted.prompt_tokens
        busy_s[name] = counted.busy_s
        executions.update(counted.executions)
        answer = await read(f'{engines[name]}/counts/blocks')
        blocks.update(msgspec.json.decode(answer, type=_Blocks).blocks)
    for counted in (await _counts(read, plain)).values():
        # A probe of the worker carries no id.
        counted.executions.pop('', None)
        executions.update(counted.executions)
        for key, times in counted.by_key.items():
            by_key[key.strip('"')] += times
    return Work(prefilled, hits, prompts, busy_s, blocks, executions, by_key)


async def read_busy(
    read: Read, engines: Mapping[str, str]
) -> dict[str, float]:
    """Read the busy seconds of each engine."""
    counts = await _counts(read, engines)
    return {name: counted.busy_s for name, counted in counts.items()}


def wasted_tokens(before: Work, after: Work) -> int:
    """Count tokens computed between two readings that were computed earlier.

    Earlier means by any engine, also before the first reading.
    """
    computed = sum(after.blocks.values()) - sum(before.blocks.values())
    first_time = len(after.blocks) - len(before.blocks)
    return (computed - first_time) * BLOCK_TOKENS


async def _counts(
    read: Read, workers: Mapping[str, str]
) -> dict[str, WorkerCounts]:
    answers = await asyncio.gather(
        *[read(f'{url}/counts') for url in workers.values()]
    )
    counts: dict[str, WorkerCounts] = {}
    for name, answer in zip(workers, answers, strict=True):
        counts[name] = msgspec.json.decode(answer, type=WorkerCounts)
    return counts
