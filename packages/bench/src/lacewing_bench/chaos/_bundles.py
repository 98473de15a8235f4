"""Roll bundles and watch that none in force is ever taken back."""

import asyncio
import time
from dataclasses import dataclass

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.status import ProcessStatus
from tornado.curl_httpclient import CurlError

from lacewing_bench.fleet import Fleet
from lacewing_bench.fleet import FleetError

# "In force everywhere within seconds": the bound of the target.
IN_FORCE_S = 14.0
_STEP_S = 1.0


@dataclass(frozen=True)
class Accepted:
    """Hold a roll and when it was accepted, by ``time.monotonic``."""

    number: int
    at_s: float


@dataclass(frozen=True)
class Reverted:
    """Tell of a process that served with an older bundle."""

    at_s: float
    what: str


class BundleWatch:
    """Roll bundles of one fleet and read its status all the time."""

    def __init__(self, fleet: Fleet, bundle: Bundle) -> None:
        self._fleet = fleet
        self._bundle = bundle
        self._accepted: list[Accepted] = []
        self._seen: dict[tuple[str, int], int] = {}
        self._first_seen_s: dict[tuple[str, int], float] = {}
        self._reverted: list[Reverted] = []

    @property
    def reverted(self) -> list[Reverted]:
        """Return what was seen so far."""
        return self._reverted

    async def roll(self, share: float) -> None:
        """Roll the bundle with another share of the first team."""
        first, *others = self._bundle.teams
        changed = msgspec.structs.replace(first, share=share)
        bundle = msgspec.structs.replace(
            self._bundle, teams=(changed, *others)
        )
        try:
            accepted = await self._fleet.roll(bundle)
        except FleetError:
            # The platform is down: nothing was accepted.
            return
        self._accepted.append(Accepted(accepted.number, time.monotonic()))
        try:
            await self._fleet.hand_over(accepted.document)
        except CurlError:
            # A process is down; others hear of it from the platform.
            return

    async def watch(self) -> None:
        """Look at all processes at intervals, for ever."""
        while True:
            await asyncio.sleep(_STEP_S)
            names = (*self._fleet.router_names, *self._fleet.agent_names)
            await asyncio.gather(*[self._look(name) for name in names])

    async def until_everywhere(self) -> None:
        """Wait until each process has the newest roll; note who hasn't."""
        deadline = time.monotonic() + IN_FORCE_S
        names = (*self._fleet.router_names, *self._fleet.agent_names)
        while time.monotonic() < deadline:
            old = [name for name in names if not await self._is_new(name)]
            if not old:
                return
            await asyncio.sleep(_STEP_S)
        what = f'not in force at {old}: {self._accepted[-1]}'
        self._reverted.append(Reverted(time.monotonic(), what))

    async def _is_new(self, name: str) -> bool:
        status = await self._status(name)
        if status is None:
            return False
        return status.bundle_number >= self._wanted(time.monotonic())

    def _wanted(self, until_s: float) -> int:
        """Return the newest number that was accepted until then."""
        wanted = 0
        for accepted in self._accepted:
            if accepted.at_s <= until_s:
                wanted = accepted.number
        return wanted

    async def _look(self, name: str) -> None:
        wanted = self._wanted(time.monotonic() - IN_FORCE_S)
        status = await self._status(name)
        if status is None or not status.ready:
            return
        run = (name, status.incarnation)
        first_s = self._first_seen_s.setdefault(run, time.monotonic())
        if not status.bundle_number:
            # An agent that has just started has none yet.
            if time.monotonic() - first_s < IN_FORCE_S:
                return
        wanted = max(wanted, self._seen.get(run, 0))
        if status.bundle_number < wanted:
            what = (
                f'{name} has number {status.bundle_number}, expected at'
                f' least {wanted}'
            )
            self._reverted.append(Reverted(time.monotonic(), what))
        self._seen[run] = max(wanted, status.bundle_number)

    async def _status(self, name: str) -> ProcessStatus | None:
        try:
            return await self._fleet.status(name)
        except (CurlError, msgspec.DecodeError):
            # It is down or frozen.
            return None
