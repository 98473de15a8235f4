"""Read from the daemons' logs when a bundle came into force."""

import asyncio
import time
from dataclasses import dataclass
from datetime import datetime

import msgspec

from lacewing_bench.fleet import Fleet

_IN_FORCE = b'bundle: In force.'
_POLL_S = 0.25


class _Line(msgspec.Struct, frozen=True):
    event: str
    timestamp: str
    number: int = 0


@dataclass(frozen=True)
class Spread:
    """Hold the seconds from acceptance to in-force, one for each process.

    ``missing`` counts the processes that did not get there in time.
    """

    seconds: tuple[float, ...]
    missing: int


def percentile(values: tuple[float, ...], share: float) -> float:
    """Return the value that a share of all do not exceed; nan for none."""
    if not values:
        return float('nan')
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


async def wait_in_force(
    fleet: Fleet, number: int, accepted_at: float, patience_s: float
) -> Spread:
    """Wait until all daemons logged a number; return how long it took."""
    names = fleet.router_names + fleet.agent_names
    deadline_s = time.monotonic() + patience_s
    while True:
        found = _times(fleet, names, number)
        if len(found) == len(names) or time.monotonic() > deadline_s:
            break
        await asyncio.sleep(_POLL_S)
    seconds = tuple(max(0.0, at - accepted_at) for at in found)
    return Spread(seconds, len(names) - len(found))


def _times(fleet: Fleet, names: tuple[str, ...], number: int) -> list[float]:
    found: list[float] = []
    for name in names:
        for raw in fleet.process(name).output().encode().splitlines():
            if _IN_FORCE not in raw:
                continue
            line = msgspec.json.decode(raw, type=_Line)
            # A process that skipped a number runs a newer bundle already.
            if line.number >= number:
                found.append(_seconds(line.timestamp))
                break
    return found


def _seconds(timestamp: str) -> float:
    return datetime.fromisoformat(timestamp).timestamp()
