"""Hold what all requests of a router share."""

import asyncio

from lacewing_common.bundle import RolledBundle
from lacewing_common.identity import ProcessName

from lacewing_daemon.router._catalog import Catalog
from lacewing_daemon.router._explain import DecisionLog
from lacewing_daemon.router._knowledge import Knowledge
from lacewing_daemon.router._links import Links
from lacewing_daemon.router._metrics import OPEN_REQUESTS
from lacewing_daemon.router._retry import RetryBudget
from lacewing_daemon.router._sequences import Sequences
from lacewing_daemon.runtime import Runtime


class Serving:
    """Hold the router's parts, its bundle and its open requests."""

    def __init__(
        self,
        runtime: Runtime,
        links: Links,
        knowledge: Knowledge,
        decisions: DecisionLog,
    ) -> None:
        self._name = runtime.name
        self._links = links
        self._knowledge = knowledge
        self._decisions = decisions
        self._sequences = Sequences()
        self._budgets: dict[str, RetryBudget] = {}
        self._catalog = Catalog(runtime.bundles.current)
        self._has_bundle = asyncio.Event()
        self._draining = False
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._take_bundle(runtime.bundles.current)
        runtime.bundles.on_change(self._take_bundle)

    @property
    def name(self) -> ProcessName:
        """Return the router's name."""
        return self._name

    @property
    def links(self) -> Links:
        """Return the links to the agents."""
        return self._links

    @property
    def knowledge(self) -> Knowledge:
        """Return the policies."""
        return self._knowledge

    @property
    def decisions(self) -> DecisionLog:
        """Return the log of routing decisions."""
        return self._decisions

    @property
    def sequences(self) -> Sequences:
        """Return the numbers of the attempts."""
        return self._sequences

    @property
    def catalog(self) -> Catalog:
        """Return the bundle in force."""
        return self._catalog

    @property
    def draining(self) -> bool:
        """Tell whether new requests are refused."""
        return self._draining

    @property
    def ready(self) -> bool:
        """Tell whether requests are taken."""
        return self._has_bundle.is_set() and not self._draining

    @property
    def open_requests(self) -> int:
        """Return the number of open requests."""
        return self._open_requests

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget()
            self._budgets[service] = budget
        return budget

    def request_opened(self) -> None:
        """Count a request that has to end before the router may."""
        self._open_requests += 1
        self._idle.clear()
        OPEN_REQUESTS.inc()

    def request_ended(self) -> None:
        """Count the end of an open request."""
        self._open_requests -= 1
        OPEN_REQUESTS.dec()
        if self._open_requests == 0:
            self._idle.set()

    async def wait_for_bundle(self, timeout_s: float) -> bool:
        """Wait until a bundle is in force; false when none came in time."""
        if self._has_bundle.is_set():
            return True
        waiting = asyncio.ensure_future(self._has_bundle.wait())
        await asyncio.wait([waiting], timeout=timeout_s)
        waiting.cancel()
        return self._has_bundle.is_set()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no request is open, or so many seconds."""
        waiting = asyncio.ensure_future(self._idle.wait())
        await asyncio.wait([waiting], timeout=timeout_s)
        waiting.cancel()

    async def drain(self) -> None:
        """Refuse new requests; return when all open ones have ended."""
        self._draining = True
        await self._idle.wait()

    def _take_bundle(self, rolled: RolledBundle) -> None:
        self._catalog = Catalog(rolled)
        self._links.link_changed()
        if rolled.number > 0:
            self._has_bundle.set()
