"""Write one range of claims: one task, many claims in one update."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from random import Random

from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.resolved_put import put_with_resolution
from lacewing_common.resolved_put import ResolvePolicy
from lacewing_common.store import MUST_NOT_EXIST
from lacewing_common.store import ObjectStore
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from lacewing_common.store import StoreFault

from lacewing_daemon.claims._document import Book
from lacewing_daemon.claims._document import KIND
from lacewing_daemon.claims._document import read_book
from lacewing_daemon.claims._draft import Draft
from lacewing_daemon.claims._draft import Drafter
from lacewing_daemon.claims._limits import ClaimLimits
from lacewing_daemon.claims._metrics import CLAIM_READS
from lacewing_daemon.claims._metrics import CLAIM_WRITES
from lacewing_daemon.claims._metrics import CLAIMS_WITHDRAWN
from lacewing_daemon.claims._pace import WritePace
from lacewing_daemon.claims._requests import ClaimAnswer
from lacewing_daemon.claims._requests import ClaimRequest
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._requests import Permit
from lacewing_daemon.claims._requests import RACED
from lacewing_daemon.claims._requests import Raced
from lacewing_daemon.claims._requests import Ticket
from lacewing_daemon.claims._ruling import unavailable
from lacewing_daemon.claims._runs import Run

_MOST_CONFLICTS = 8
_WRITTEN = 'written'

WallClock = Callable[[], float]

_log = get_log(Part.CLAIMS)


class RangeWriter:
    """Own the claims of one range for one run of an agent.

    What it knows of the object is only a guess until an update on that
    version succeeds. Another agent that wrote since, also while this one
    was paused, makes the update fail; then all is read and decided anew.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        owner: int,
        limits: ClaimLimits,
        random: Random,
        clock: WallClock = time.time,
    ) -> None:
        self._store = store
        self._name = name
        self._limits = limits
        self._clock = clock
        self._drafter = Drafter(owner, limits)
        self._policy = ResolvePolicy(limits.resolve_s)
        self._random = random
        self._pace = WritePace(limits, random)
        self._loop = asyncio.get_running_loop()
        self._book: Book | None = None
        self._runs: dict[bytes, Run] = {}
        self._tickets: deque[Ticket] = deque()
        self._closings: dict[ClaimRequest, Closing] = {}
        self._work = asyncio.Event()
        self._closings_due_at = 0.0

    @property
    def owes_writes(self) -> bool:
        """Tell whether an outcome or a withdrawal is not written yet."""
        return bool(self._closings)

    async def claim(self, request: ClaimRequest, wait_s: float) -> ClaimAnswer:
        """Give a permit, the kept answer or a refusal.

        ``wait_s`` bounds the wait for another attempt of the same call.
        """
        until = self._loop.time() + wait_s
        while True:
            left_s = max(0.0, until - self._loop.time())
            run = self._runs.get(request.key)
            if run is None:
                answer = await self._ask(request, left_s)
                if not isinstance(answer, Raced):
                    return answer
                continue
            joined = await run.join(request, left_s)
            if joined is not None:
                return joined

    def close(self, closing: Closing) -> None:
        """Take the end of a permit; it is written with the next claims."""
        request = closing.request
        run = self._runs[request.key]
        if closing.state is None:
            # Remembered no longer, so that the next repeat may run.
            del self._runs[request.key]
        run.end(closing)
        self._owe(closing)

    def owes(self, request: ClaimRequest) -> bool:
        """Tell whether the end of a permit is not written yet."""
        return request in self._closings

    def hurry(self) -> None:
        """Write at once what waits."""
        self._closings_due_at = 0.0
        self._work.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wait_for_work()
            await self._pace.wait()
            await self._commit()

    async def _ask(
        self, request: ClaimRequest, left_s: float
    ) -> ClaimAnswer | Raced:
        if self._pace.failing:
            # Waiting with all others for a platform that is known to be
            # down would only make each caller's refusal late.
            return unavailable('the platform is down')
        ticket = Ticket(request)
        self._tickets.append(ticket)
        self._work.set()
        answer = await ticket.wait(min(left_s, self._limits.wait_s))
        if answer is None:
            return unavailable('the claim was not written in time')
        return answer

    def _owe(self, closing: Closing) -> None:
        if not self._closings:
            due_at = self._loop.time() + self._limits.linger_s
            self._closings_due_at = due_at
        self._closings[closing.request] = closing
        self._work.set()

    async def _wait_for_work(self) -> None:
        while not self._tickets:
            self._work.clear()
            timeout_s = self._limits.idle_s
            if self._closings:
                timeout_s = self._closings_due_at - self._loop.time()
                if timeout_s <= 0:
                    return
            try:
                async with asyncio.timeout(timeout_s):
                    await self._work.wait()
            except TimeoutError:
                if not self._closings:
                    self._book = None

    async def _commit(self) -> None:
        """Write what waits, anew after each conflict."""
        fresh = False
        for _ in range(_MOST_CONFLICTS):
            if self._book is None:
                error = await self._read()
                if error is not None:
                    self._fail(self._take_tickets(), error)
                    return
                fresh = True
            assert self._book is not None
            draft = self._drafter.draft(
                self._book,
                fresh,
                self._closings.values(),
                self._take_tickets(),
                int(self._clock()),
            )
            if draft.changes and not await self._write(draft):
                return
            if draft.doubtful:
                self._tickets.extendleft(reversed(draft.doubtful))
                self._book = None
            if self._book is not None:
                return
        self._fail(
            self._take_tickets(),
            StoreError(
                StoreFault.CONFLICT, 'other agents write the same claims'
            ),
        )

    def _take_tickets(self) -> list[Ticket]:
        taken: list[Ticket] = []
        while self._tickets:
            ticket = self._tickets.popleft()
            if ticket.abandoned:
                continue
            if ticket.request.key in self._runs:
                ticket.resolve(RACED)
                continue
            taken.append(ticket)
        return taken

    async def _read(self) -> StoreError | None:
        CLAIM_READS.inc()
        found = await self._store.get(KIND, self._name)
        if isinstance(found, StoreError):
            if found.fault is not StoreFault.NOT_FOUND:
                return found
            self._book = Book(MUST_NOT_EXIST, {})
            return None
        self._book = read_book(found)
        if self._book is None:
            return StoreError(
                StoreFault.REJECTED,
                f'{KIND}/{self._name} is no list of claims',
            )
        return None

    async def _write(self, draft: Draft) -> bool:
        """Write a draft; false when the commit has failed."""
        assert self._book is not None
        result = await put_with_resolution(
            self._store,
            KIND,
            self._name,
            draft.value,
            self._book.version,
            self._policy,
            self._random,
        )
        self._pace.wrote()
        if isinstance(result, StoredObject):
            CLAIM_WRITES.labels(_WRITTEN).inc()
            self._written(draft, result.version)
            return True
        CLAIM_WRITES.labels(result.fault.value).inc()
        if result.fault is StoreFault.CONFLICT:
            self._book = None
            self._tickets.extendleft(draft.deferred)
            self._tickets.extendleft(reversed(draft.granted))
            return True
        if result.fault is StoreFault.UNKNOWN:
            # The write may be in force, or come into force late. Nothing
            # ran, so the refusals are true; but the claims would turn each
            # repeat at another agent into "may have run".
            self._book = None
            for ticket in draft.granted:
                self._withdraw(ticket.request)
        waiting = [*draft.deferred, *draft.doubtful, *self._take_tickets()]
        self._fail([*draft.granted, *waiting], result)
        return False

    def _written(self, draft: Draft, version: int) -> None:
        self._book = Book(version, draft.claims, draft.folded)
        self._pace.succeeded()
        for closing in draft.closings:
            self._forget(closing)
        for ticket in draft.granted:
            request = ticket.request
            if ticket.abandoned:
                self._withdraw(request)
                continue
            self._runs[request.key] = Run(request)
            ticket.resolve(Permit(request))
        for ticket in draft.deferred:
            ticket.resolve(RACED)

    def _forget(self, closing: Closing) -> None:
        request = closing.request
        if self._closings.get(request) is closing:
            del self._closings[request]
        run = self._runs.get(request.key)
        if run is not None and run.request == request:
            del self._runs[request.key]

    def _withdraw(self, request: ClaimRequest) -> None:
        CLAIMS_WITHDRAWN.inc()
        self._owe(Closing(request, None))

    def _fail(self, tickets: list[Ticket], error: StoreError) -> None:
        self._pace.failed(error.retry_after_s)
        _log.warning(
            'Claims not written.',
            object=self._name,
            fault=error.fault.value,
            error=error.message,
            refused=len(tickets),
        )
        for ticket in tickets:
            ticket.resolve(unavailable(error.message))
