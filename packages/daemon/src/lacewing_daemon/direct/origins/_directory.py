"""Record the origins of streams at several routers, and find them there."""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from math import isinf
from typing import Protocol
from typing import TypeVar

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._metrics import ORIGIN_RECORDS
from lacewing_daemon.direct._metrics import ORIGINS_SENT
from lacewing_daemon.direct._metrics import SOFTWARE_OBSERVED_SECONDS
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import UnknownSoftware
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.origins._history import SoftwareHistory
from lacewing_daemon.direct.origins._records import combine
from lacewing_daemon.direct.origins._records import OriginRecords
from lacewing_daemon.direct.origins._records import StreamOrigin
from lacewing_daemon.direct.origins._records import UnknownOrigin
from lacewing_daemon.rendezvous import rank_workers

# Routers that keep a record beside the one that relays the stream.
KEEPERS = 2
# Routers that are asked, and to which a record may go if a keeper does not
# answer. More than keepers, as routers may know different other routers.
CANDIDATES = 4
# A router that lives answers within some ms.
RECORD_TIMEOUT_S = 0.5
FIND_TIMEOUT_S = 0.2
# After a first record the others are awaited for this long: two streams may
# have the same key.
AGREE_S = 0.03
SWEEP_S = 1.0
# A stream and the tries to take it up last no longer than this many times the
# longest time that one request may take.
MAX_LIVES = 2.0
_RANK_BYTES = 8

_log = get_log(Part.PLATFORM)

T = TypeVar('T')

# Returns the versions that the upstreams of a service have now, None if they
# are not certain; with true, upstreams are asked for their starts.
Current = Callable[[str, bool], Awaitable[frozenset[Software] | None]]


@dataclass(frozen=True)
class SentOrigin:
    """Hold what is sent to a keeper; ``origin`` as for ``OriginRecords``."""

    key: bytes
    origin: StreamOrigin | UnknownOrigin
    life_s: float


@dataclass(frozen=True)
class Question:
    """Ask for the origin of a stream of a service.

    ``key`` is None for a stream that its caller does not name. The stream
    began within the last ``since_s`` seconds.
    """

    key: bytes | None
    service: str
    since_s: float


@dataclass(frozen=True)
class Answer:
    """Hold what a router has recorded of a stream.

    ``only``: the only software version that can have begun it, None if there
    may be several.
    """

    origin: StreamOrigin | UnknownOrigin
    only: str | None = None


class OriginCalls(Protocol):
    """Call other routers."""

    async def record(
        self, address: str, origins: Sequence[SentOrigin], timeout_s: float
    ) -> bool:
        """Have a router keep records; return whether it does."""

    async def find(
        self, address: str, question: Question, timeout_s: float
    ) -> Answer:
        """Return what a router knows of a stream."""


@dataclass(frozen=True)
class _Pending:
    """Hold a record to send, and where to if the next router fails."""

    sent: SentOrigin
    spares: tuple[str, ...]


class StreamOrigins:
    """Know the origin of each stream that a caller may take up.

    The router that relays a stream records its origin. While its service
    may have several software versions, it sends the record to the keepers of
    the stream's key, without delaying the stream, and another router asks
    the keepers. While there is one version only, all that have observed that
    for long enough know the origin, if the store confirms that no other
    version has come since. ``peer_addresses`` returns the other routers,
    ``present`` the upstreams of a service as last read, ``current`` inquires
    about their versions; ``first_start`` is that of
    ``SoftwareHistory``.
    """

    def __init__(
        self,
        peer_addresses: Callable[[], Sequence[str]],
        present: Callable[[str], Iterable[Upstream]],
        current: Current,
        clock: Callable[[], float] = time.monotonic,
        first_start: bool = False,
    ) -> None:
        self._peer_addresses = peer_addresses
        self._history = SoftwareHistory(present, clock, first_start)
        self._current = current
        self._clock = clock
        self._records = OriginRecords()
        self._calls: OriginCalls | None = None
        # The service of each stream whose record is held back.
        self._unsent: dict[bytes, str] = {}
        self._pending: dict[str, list[_Pending]] = {}
        self._tasks = TaskSet('origin call')

    @property
    def history(self) -> SoftwareHistory:
        """Return the record of the software versions of upstreams."""
        return self._history

    def connect(self, calls: OriginCalls) -> None:
        """Send records to other routers from now on, and earlier ones."""
        self._calls = calls
        self.send_held_back()

    def confirm_upstreams(self, list_age_s: float) -> None:
        """Record how old the list of upstreams is."""
        was_observed = self._history.observed_s > 0
        self._history.confirm(list_age_s)
        observed_s = self._history.observed_s
        SOFTWARE_OBSERVED_SECONDS.set(observed_s)
        if isinf(observed_s) and not was_observed:
            _log.info('Knows the software versions since the first start.')
        if was_observed and observed_s <= 0:
            _log.info(
                'Software versions may have changed unobserved.',
                list_age_s=round(list_age_s, 1),
            )

    def record(self, key: bytes, origin: StreamOrigin, life_s: float) -> None:
        """Record a stream that this router relays, here and at keepers."""
        self._record(key, origin.service, origin, life_s)

    def record_unknown(self, key: bytes, service: str, life_s: float) -> None:
        """Record that it is not known which start began a stream."""
        self._record(key, service, UnknownOrigin.OTHER_START, life_s)

    def record_pending(self, key: bytes, life_s: float) -> None:
        """Record here that it is not known yet which start began a stream.

        A later record of its version holds in place of this one.
        """
        self._records.add(
            key, UnknownOrigin.OTHER_START, life_s, self._clock()
        )

    def upstream_changed(
        self, before: Upstream | None, after: Upstream | None
    ) -> None:
        """Record the change of an upstream's entry, None for no entry."""
        if before is not None and not _is_first_entry(before, after):
            if after is None or after.software != before.software:
                self._history.replaced(before)
        self.send_held_back()

    def send_held_back(self) -> None:
        """Send the records of services that may have several versions now."""
        if self._calls is None:
            return
        is_only: dict[str, bool] = {}
        for key, service in tuple(self._unsent.items()):
            if service not in is_only:
                only = self._history.only_software(service, 0.0)
                is_only[service] = only is not None
            if not is_only[service]:
                del self._unsent[key]
                self._distribute(key)

    def keep(self, sent: SentOrigin) -> None:
        """Keep a record for another router."""
        self._records.add(sent.key, sent.origin, sent.life_s, self._clock())

    def find_here(self, key: bytes) -> StreamOrigin | UnknownOrigin:
        """Return what this router has recorded of a stream."""
        return self._records.find(key, self._clock())

    def answer(self, question: Question) -> Answer:
        """Return what this router knows of a stream."""
        origin: StreamOrigin | UnknownOrigin = UnknownOrigin.UNNAMED
        if question.key is not None:
            origin = self.find_here(question.key)
        only = self._history.only_software(question.service, question.since_s)
        return Answer(origin, only)

    async def find(self, question: Question) -> StreamOrigin | UnknownOrigin:
        """Return the origin of a stream; ask other routers if needed."""
        known = self.answer(question)
        if known.origin is UnknownOrigin.UNNAMED and known.only is not None:
            origin = StreamOrigin(question.service, known.only, True)
            return await self._confirmed(origin, True)
        if _is_settled(known.origin):
            return known.origin
        answers = [known, *await self._ask(question)]
        recorded = combine(answer.origin for answer in answers)
        if _is_settled(recorded) or recorded is UnknownOrigin.OTHER_START:
            return recorded
        inferred = self._only_origin(question.service, answers)
        if inferred is None:
            return recorded
        return await self._confirmed(inferred, not _reaches_keeper(answers))

    async def run(self) -> None:
        """Remove expired records until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = self._clock()
            self._records.remove_expired(now_s)
            for key in tuple(self._unsent):
                if not self._records.life_s(key, now_s):
                    del self._unsent[key]
            self.send_held_back()
            ORIGIN_RECORDS.set(len(self._records))

    def close(self) -> None:
        """Cancel open calls."""
        self._tasks.cancel()

    def _record(
        self,
        key: bytes,
        service: str,
        origin: StreamOrigin | UnknownOrigin,
        life_s: float,
    ) -> None:
        self._records.add(key, origin, life_s, self._clock())
        only = self._history.only_software(service, MAX_LIVES * life_s)
        if self._calls is None or only is not None:
            self._unsent[key] = service
            return
        self._distribute(key)

    def _candidates(self, key: bytes) -> tuple[str, ...]:
        addresses = tuple(self._peer_addresses())
        return rank_workers(key[:_RANK_BYTES], addresses, CANDIDATES)

    def _only_origin(
        self, service: str, answers: Sequence[Answer]
    ) -> StreamOrigin | None:
        """Return the origin if one version only can have begun a stream.

        What another router has observed counts only if this one knows no
        other version.
        """
        here = self._history.present_software(service)
        versions = {each.only for each in answers if each.only is not None}
        if len(versions) != 1 or here != versions:
            return None
        return StreamOrigin(service, versions.pop(), True)

    async def _confirmed(
        self, inferred: StreamOrigin, asks_engines: bool
    ) -> StreamOrigin | UnknownOrigin:
        """Return an inferred origin if no other version has come by now.

        It was inferred from lists that may be older than the stream. A
        keeper would know of a start without an entry; ``asks_engines`` if
        none may have answered.
        """
        versions = await self._current(inferred.service, asks_engines)
        if versions is None or versions - {inferred.software}:
            return UnknownOrigin.UNCONFIRMED
        return inferred

    async def _ask(self, question: Question) -> list[Answer]:
        """Ask the candidates of a key; those of an unnamed stream are any."""
        candidates = self._candidates(
            question.key or question.service.encode()
        )
        if self._calls is None:
            return [Answer(UnknownOrigin.NO_ANSWER)]
        open_calls = set()
        for address in candidates:
            call = self._calls.find(address, question, FIND_TIMEOUT_S)
            open_calls.add(self._tasks.start(call))
        return await self._collect(open_calls)

    async def _collect(
        self, open_calls: set[asyncio.Task[Answer]]
    ) -> list[Answer]:
        """Return the first answers, enough of them to see a reused key."""
        answers: list[Answer] = []
        known = 0
        while open_calls and known < KEEPERS:
            ended, open_calls = await asyncio.wait(
                open_calls,
                timeout=AGREE_S if known else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not ended:
                break
            for call in ended:
                answer = call.result()
                answers.append(answer)
                known += isinstance(answer.origin, StreamOrigin)
        return answers

    def _distribute(self, key: bytes) -> None:
        """Send a record to its keepers."""
        now_s = self._clock()
        life_s = self._records.life_s(key, now_s)
        if not life_s:
            return
        sent = SentOrigin(key, self._records.find(key, now_s), life_s)
        candidates = self._candidates(key)
        pending = _Pending(sent, candidates[KEEPERS:])
        for address in candidates[:KEEPERS]:
            self._send(address, pending)

    def _send(self, address: str, pending: _Pending) -> None:
        """Send a record, together with those that wait for the last call."""
        assert self._calls is not None
        queue = self._pending.get(address)
        if queue is not None:
            queue.append(pending)
            return
        self._pending[address] = [pending]
        self._tasks.start(self._send_queue(self._calls, address))

    async def _send_queue(self, calls: OriginCalls, address: str) -> None:
        try:
            while batch := self._pending[address]:
                self._pending[address] = []
                origins = [each.sent for each in batch]
                if await calls.record(address, origins, RECORD_TIMEOUT_S):
                    ORIGINS_SENT.labels('kept').inc(len(batch))
                    continue
                ORIGINS_SENT.labels('failed').inc(len(batch))
                for each in batch:
                    if each.spares:
                        spare, *others = each.spares
                        self._send(spare, _Pending(each.sent, tuple(others)))
        finally:
            del self._pending[address]


def _is_first_entry(before: Upstream, after: Upstream | None) -> bool:
    """Return whether an entry names the version of a start known before."""
    if after is None or before.software is not UnknownSoftware.NO_ENTRY:
        return False
    return after.started_ms == before.started_ms


def _reaches_keeper(answers: Sequence[Answer]) -> bool:
    """Return whether a keeper is among the routers that answered.

    The first answer is this router's own.
    """
    missing = 0
    for answer in answers[1:]:
        missing += answer.origin is UnknownOrigin.NO_ANSWER
    return missing < min(KEEPERS, len(answers) - 1)


def _is_settled(origin: StreamOrigin | UnknownOrigin) -> bool:
    """Return whether further answers can't tell more of a stream."""
    return isinstance(origin, StreamOrigin) or origin is UnknownOrigin.REUSED
