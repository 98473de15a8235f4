"""Read from the daemons' logs when something became known to each."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

import msgspec

from lacewing_bench.fleet import Fleet

_IN_FORCE = b'bundle: In force.'
_VM_NOTED = b'members: VM noted.'
_POLL_S = 0.25


class _Line(msgspec.Struct, frozen=True):
    event: str
    timestamp: str
    number: int = 0
    address: str = ''


@dataclass(frozen=True)
class Spread:
    """Hold the seconds until each process had it, one for each.

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

    def fits(line: _Line) -> bool:
        # A process that skipped a number runs a newer bundle already.
        return line.number >= number

    return await _wait(fleet, _IN_FORCE, fits, accepted_at, patience_s)


async def wait_noted(
    fleet: Fleet, address: str, listed_at: float, patience_s: float
) -> Spread:
    """Wait until all daemons logged that a VM's state changed."""

    def fits(line: _Line) -> bool:
        return line.address == address

    return await _wait(fleet, _VM_NOTED, fits, listed_at, patience_s)


async def _wait(
    fleet: Fleet,
    event: bytes,
    fits: Callable[[_Line], bool],
    since: float,
    patience_s: float,
) -> Spread:
    names = fleet.router_names + fleet.agent_names
    deadline_s = time.monotonic() + patience_s
    while True:
        found = _times(fleet, names, event, fits)
        if len(found) == len(names) or time.monotonic() > deadline_s:
            break
        await asyncio.sleep(_POLL_S)
    seconds = tuple(max(0.0, at - since) for at in found)
    return Spread(seconds, len(names) - len(found))


def _times(
    fleet: Fleet,
    names: tuple[str, ...],
    event: bytes,
    fits: Callable[[_Line], bool],
) -> list[float]:
    found: list[float] = []
    for name in names:
        for raw in fleet.process(name).output().encode().splitlines():
            if event not in raw:
                continue
            line = msgspec.json.decode(raw, type=_Line)
            if fits(line):
                found.append(_seconds(line.timestamp))
                break
    return found


def _seconds(timestamp: str) -> float:
    return datetime.fromisoformat(timestamp).timestamp()
