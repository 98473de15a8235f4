"""Replay a trace against a fleet that runs already."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from tqdm import tqdm

from lacewing_bench.caller import Caller
from lacewing_bench.load._client import LoadClient
from lacewing_bench.load._client import Outcome
from lacewing_bench.load._report import summarize
from lacewing_bench.load._report import Summary
from lacewing_bench.load._request import TimedRequest
from lacewing_bench.load._work import WorkerCounts

_CALLS_AT_ONCE = 1000

Read = Callable[[str], Awaitable[bytes]]


@dataclass(frozen=True)
class Target:
    """Name a running fleet.

    ``routers``: base URLs for callers. ``workers``: base URLs of stand-ins
    whose counts show doubled executions; empty when they can't be reached.
    ``ca_file``: the authority of the routers' certificates.
    """

    routers: tuple[str, ...]
    keys: Mapping[str, str]
    weights: str
    workers: tuple[str, ...] = ()
    ca_file: str | None = None


class Replay:
    """Send a trace and judge the answers."""

    def __init__(self, target: Target, read: Read) -> None:
        self._target = target
        self._read = read

    async def run(
        self, requests: Sequence[TimedRequest], show_progress: bool
    ) -> tuple[list[Outcome], Summary]:
        """Send each request when due; return all outcomes, summed up."""
        target = self._target
        before = await self._counts()
        caller = Caller(target.keys, target.ca_file, _CALLS_AT_ONCE)
        client = LoadClient(caller, target.routers, target.weights)
        progress = tqdm(
            total=len(requests), unit='request', disable=not show_progress
        )
        try:
            with progress:
                outcomes = await client.run(requests, progress.update)
        finally:
            caller.close()
        after = await self._counts()
        executions = _since(before.executions, after.executions)
        by_key = _since(before.by_key, after.by_key)
        return outcomes, summarize(outcomes, executions, by_key)

    async def _counts(self) -> WorkerCounts:
        executions: dict[str, int] = {}
        by_key: dict[str, int] = {}
        for url in self._target.workers:
            answer = await self._read(f'{url}/counts')
            counted = msgspec.json.decode(answer, type=WorkerCounts)
            _add(executions, counted.executions)
            _add(by_key, counted.by_key)
        executions.pop('', None)
        return WorkerCounts(executions=executions, by_key=by_key)


def _add(total: dict[str, int], counted: Mapping[str, int]) -> None:
    for name, times in counted.items():
        name = name.strip('"')
        total[name] = total.get(name, 0) + times


def _since(
    before: Mapping[str, int], after: Mapping[str, int]
) -> dict[str, int]:
    """Return the counts of this run.

    A key that an earlier run used is left whole: running it again is a
    doubled execution.
    """
    found: dict[str, int] = {}
    for name, times in after.items():
        if times > before.get(name, 0):
            found[name] = times
    return found
