"""Follow the known agents with one link each."""

import asyncio
import random
import ssl
from collections.abc import Iterable

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import parse_address
from lacewing_common.settings import SettingsError
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import Allotments
from lacewing_common.wire import Demands
from lacewing_common.wire import Hello

from lacewing_daemon.background import call_back
from lacewing_daemon.background import keep_running
from lacewing_daemon.limits import TeamLimiter
from lacewing_daemon.rendezvous import highest_ranked
from lacewing_daemon.router._knowledge import Knowledge
from lacewing_daemon.router._link import Link
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import WorkerView
from lacewing_daemon.router._tried import Tried
from lacewing_daemon.runtime import Runtime

POLL_S = 0.5
# Of the 7 KB/s that control may take of a router, so much is for what
# agents tell unasked of load and cache; each link gets its part. With more
# links the pings and the teams' limits take more, and a push is worth less:
# its link is used once in half a minute.
_KNOWLEDGE_BYTES_S = 4096.0
_LESS_FOR_A_LINK_S = 3.0
_LEAST_KNOWLEDGE_S = 1024.0
_BUCKET_KEY_BYTES = 8

_log = get_log(Part.MEMBERS)


def knowledge_bytes_s(links: int) -> float:
    """Return the bytes a second that a router takes of all its agents."""
    left_s = _KNOWLEDGE_BYTES_S - _LESS_FOR_A_LINK_S * links
    return max(_LEAST_KNOWLEDGE_S, left_s)


class EligibleLinks:
    """Hold the links whose workers may run a request, by process id."""

    def __init__(self, links: Iterable[Link]) -> None:
        self._links = {link.process_id: link for link in links}
        self._ids = tuple(sorted(self._links))

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the process ids of the agents, sorted."""
        return self._ids

    def view(self, process_id: str) -> WorkerView:
        """Return what is known of one worker now."""
        return self._links[process_id].view

    def link(self, process_id: str) -> Link:
        """Return the link to one agent."""
        return self._links[process_id]

    def untried(self, tried: Tried) -> 'EligibleLinks':
        """Return those whose worker has not been tried."""
        if not tried.process_ids:
            return self
        kept: list[Link] = []
        for process_id, link in self._links.items():
            if process_id not in tried.process_ids:
                kept.append(link)
        return EligibleLinks(kept)

    def restarted(self, tried: Tried) -> 'EligibleLinks':
        """Return those whose worker has restarted since it was tried."""
        kept: list[Link] = []
        for link in self._links.values():
            if not tried.has(link):
                kept.append(link)
        return EligibleLinks(kept)


class Links:
    """Hold the links and know which workers are eligible."""

    def __init__(
        self,
        runtime: Runtime,
        knowledge: Knowledge,
        rng: random.Random,
        tls: ssl.SSLContext | None,
    ) -> None:
        self._runtime = runtime
        self._knowledge = knowledge
        self._rng = rng
        self._tls = tls
        self._links: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._eligible: dict[tuple[str, str], EligibleLinks] = {}
        self._leaving: frozenset[str] = frozenset()
        self._changed = asyncio.Event()
        self._limiter = TeamLimiter(self._send_demands)

    @property
    def any_known(self) -> bool:
        """Tell whether the address of some agent is known."""
        return bool(self._links)

    @property
    def limiter(self) -> TeamLimiter:
        """Return the limits of the teams."""
        return self._limiter

    def eligible(self, service: str, needs: str) -> EligibleLinks:
        """Return the links whose workers may run a request.

        ``needs`` is the ``model:weights`` that must be loaded, or ''.
        """
        key = (service, needs)
        found = self._eligible.get(key)
        if found is None:
            found = EligibleLinks(self._find_eligible(service, needs))
            self._eligible[key] = found
        return found

    def hello(self) -> Hello:
        """Return the greeting that opens a link."""
        return Hello(
            self._runtime.name,
            self._runtime.settings.place,
            self._runtime.bundles.current.number,
            knowledge_bytes_s(len(self._links)) / max(1, len(self._links)),
        )

    def link_changed(self) -> None:
        """Note that a link's worker, models or state changed."""
        self._eligible.clear()
        self._changed.set()

    def worker_forgotten(self, process_id: str) -> None:
        """Note that a worker restarted or its agent did."""
        self._knowledge.forget(process_id)

    def allotted(self, allotments: Allotments) -> None:
        """Take this router's part of some teams' limits."""
        self._limiter.take(allotments)

    def cache_changed(self, service: str, change: CacheChange) -> None:
        """Take an agent's digest of its worker's cache."""
        self._knowledge.hear(service, change)

    def may_come(self, service: str) -> bool:
        """Tell whether some known agent may come to serve requests.

        A link that is not up yet, or again, and a worker that still loads
        the model: failing their requests would turn each restart and each
        new weights version into errors.
        """
        self._follow()
        for address, link in self._links.items():
            if link.worker.leaving or address in self._leaving:
                continue
            if link.worker.name is None or link.worker.service == service:
                return True
        return False

    def no_worker(self, service: str, needs: str) -> Refusal:
        """Build the refusal of a request without an eligible worker."""
        wanted = f'service {service!r}'
        if needs:
            wanted = f'{wanted} with {needs!r} loaded'
        if not self.any_known:
            return not_run(
                Reason.NOT_READY,
                f'no agent is known yet; expected one of {wanted}',
                retry_after_s=1.0,
            )
        return not_run(
            Reason.NO_WORKER,
            f'no worker of {wanted} takes requests now',
            retry_after_s=1.0,
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change of a link or of the bundle."""
        self._changed.clear()
        waiting = asyncio.ensure_future(self._changed.wait())
        await asyncio.wait([waiting], timeout=timeout_s)
        waiting.cancel()

    async def run(self) -> None:
        """Follow the members until cancelled."""
        reports = asyncio.create_task(
            keep_running('limits', self._limiter.run)
        )
        try:
            while True:
                call_back('members', self._follow)
                call_back('agent silence', self._check_silence)
                await asyncio.sleep(POLL_S)
        finally:
            reports.cancel()
            await self._close_all()

    def _follow(self) -> None:
        members = self._runtime.members
        wanted = set(members.agent_addresses())
        for address in wanted - set(self._links):
            self._add(address)
        for address in set(self._links) - wanted:
            # Open answers still come over a link whose agent has left the
            # list: the list lags, and streams of a leaving VM must finish.
            if self._links[address].open_attempts == 0:
                self._remove(address)
        leaving = frozenset(
            address for address in self._links if members.is_leaving(address)
        )
        if leaving != self._leaving:
            self._leaving = leaving
            self.link_changed()

    def _check_silence(self) -> None:
        for link in self._links.values():
            link.check_silence()

    def _add(self, address: str) -> None:
        try:
            parsed = parse_address(address)
        except SettingsError as error:
            _log.warning('Agent address ignored.', error=str(error))
            return
        link = Link(parsed, self, self._rng, self._tls)
        self._links[address] = link
        self._tasks[address] = asyncio.create_task(
            keep_running('agent link', link.run)
        )
        self.link_changed()

    def _remove(self, address: str) -> None:
        link = self._links.pop(address)
        self._tasks.pop(address).cancel()
        self._knowledge.forget(link.process_id)
        self.link_changed()

    async def _close_all(self) -> None:
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _find_eligible(self, service: str, needs: str) -> tuple[Link, ...]:
        found: list[Link] = []
        suspects: list[Link] = []
        for address, link in self._links.items():
            if not link.up or link.worker.leaving or address in self._leaving:
                continue
            if link.worker.service != service:
                continue
            if needs and needs not in link.worker.models:
                continue
            if link.suspect:
                suspects.append(link)
                continue
            found.append(link)
        return tuple(found or suspects)

    def _send_demands(self, bucket: int, demands: Demands) -> bool:
        """Send demand to the agent that all routers choose for a bucket."""
        holders: dict[str, Link] = {}
        for address, link in self._links.items():
            if not link.up or link.suspect or link.worker.leaving:
                continue
            if address not in self._leaving:
                holders[link.process_id] = link
        if not holders:
            return False
        key = bucket.to_bytes(_BUCKET_KEY_BYTES, 'big')
        holders[highest_ranked(key, tuple(sorted(holders)))].send(demands)
        return True
