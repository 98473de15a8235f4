"""Exchange news of crashes with the other routers, also without the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from random import Random
from typing import Any

from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Server
from grpclib.server import Stream
from lacewing_common.codec import MsgpackCodec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import parse_address

from lacewing_daemon.direct._metrics import CRASH_MESSAGES
from lacewing_daemon.direct.crashes._messages import COMPARE_METHOD
from lacewing_daemon.direct.crashes._messages import CompareReply
from lacewing_daemon.direct.crashes._messages import CompareRequest
from lacewing_daemon.direct.crashes._messages import CrashReport
from lacewing_daemon.direct.crashes._messages import CrashReportAck
from lacewing_daemon.direct.crashes._messages import TELL_METHOD
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._registry import CrashRegistry
from lacewing_daemon.peers import PeerCallFailed
from lacewing_daemon.peers import PeerChannels

# Each router passes news on to so many others at once. With up to nine
# routers all hear it from the first; of 330, all but one in 3,000 do.
FANOUT = 8
# News of one crash comes from all routers that ran something there.
GATHER_S = 0.02
# A peer answers within a few ms. One that lost its power or is cut off does
# not; the store is told in its place, a caller who repeats at once is back
# within some 0.1 s.
ANSWER_S = 0.5
# Routers compare what they hold with one other at random, as news may be
# lost with whom it was told to: often after a crash, then now and then, so
# that a router that was cut off has it soon after.
COMPARE_S = 1.0
RECENT_S = 10.0
COMPARE_SELDOM_S = 8.0
# A port that is in use at the start is tried again this often. The router
# before, which ends its last requests, holds it for seconds.
LISTEN_RETRY_S = 1.0
# The newest records that one answer holds, some kilobytes each.
MOST_RECORDS = 100

_log = get_log(Part.MEMBERS)


class CrashGossip:
    """Tell peers what is new, and compare with them what is held.

    ``peer_addresses`` gives the addresses of the other routers, ``merge``
    takes records and returns those that were new, ``on_undelivered`` is called
    with records of which some peer did not hear.
    """

    def __init__(
        self,
        address: str,
        registry: CrashRegistry,
        peer_addresses: Callable[[], Sequence[str]],
        merge: Callable[[Iterable[CrashRecord]], tuple[CrashRecord, ...]],
        on_undelivered: Callable[[Iterable[CrashRecord]], None],
        random: Random,
    ) -> None:
        self._address = address
        self._ledger = registry
        self._others = peer_addresses
        self._take = merge
        self._untold = on_undelivered
        self._random = random
        self._channels = PeerChannels(None)
        self._server = Server([self], codec=MsgpackCodec())
        self._listens = False
        self._callers: dict[str, None] = {}
        self._news: list[tuple[CrashRecord, str]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def __mapping__(self) -> dict[str, Handler]:
        """Map the methods for grpclib."""
        return {
            TELL_METHOD: _unary(self._on_told, CrashReport, CrashReportAck),
            COMPARE_METHOD: _unary(
                self._on_compared, CompareRequest, CompareReply
            ),
        }

    async def run(self) -> None:
        """Listen for peers and compare with them until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._listen())
            tasks.create_task(self._compare_often())

    async def _listen(self) -> None:
        """Listen as soon as the port is free.

        Until then this router calls others but is not called, and whoever
        tries writes to the store.
        """
        address = parse_address(self._address)
        told = False
        while not self._listens:
            try:
                await self._server.start(address.host, address.port)
                self._listens = True
            except OSError as error:
                if not told:
                    _log.error('Cannot listen for peers.', error=str(error))
                told = True
                await asyncio.sleep(LISTEN_RETRY_S)
        if told:
            _log.info('Listens for peers.')

    async def _compare_often(self) -> None:
        """Compare with one peer after the other."""
        while True:
            await self._compare()
            self._channels.close_idle()
            pause_s = COMPARE_SELDOM_S
            if self._ledger.newest_age_s < RECENT_S:
                pause_s = COMPARE_S
            await asyncio.sleep(pause_s * self._random.uniform(0.75, 1.25))

    def broadcast(
        self, records: Iterable[CrashRecord], sender: str = ''
    ) -> None:
        """Pass news on to a few peers, together with what comes next."""
        if not self._news:
            task = asyncio.create_task(self._tell_soon())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        for record in records:
            self._news.append((record, sender))

    def close(self) -> None:
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        if self._listens:
            self._server.close()
        self._channels.close()

    async def _tell_soon(self) -> None:
        await asyncio.sleep(GATHER_S)
        news = tuple(self._news)
        self._news.clear()
        peers = self._peers()
        chosen = self._random.sample(peers, min(FANOUT, len(peers)))
        calls = []
        for address in chosen:
            # Whoever told of one crash has not heard of the others.
            unheard = [record for record, sender in news if sender != address]
            calls.append(self._tell_one(address, tuple(unheard)))
        if not all(await asyncio.gather(*calls)):
            self._untold([record for record, _ in news])

    async def _tell_one(
        self, address: str, records: tuple[CrashRecord, ...]
    ) -> bool:
        if not records:
            return True
        answer = await self._call(
            address,
            TELL_METHOD,
            CrashReport(self._address, records),
            CrashReportAck,
        )
        return isinstance(answer, CrashReportAck)

    async def _compare(self) -> None:
        peers = self._peers()
        if not peers:
            return
        address = self._random.choice(peers)
        held = self._ledger.records_by_digest
        answer = await self._call(
            address,
            COMPARE_METHOD,
            CompareRequest(self._address, tuple(held)),
            CompareReply,
        )
        if not isinstance(answer, CompareReply):
            return
        self._pass_on(answer.records, address)
        lacking = [held[one] for one in answer.lacking if one in held]
        if lacking:
            await self._tell_one(address, tuple(lacking[-MOST_RECORDS:]))

    async def _call(
        self, address: str, method: str, request: object, reply: type
    ) -> object:
        answer: object = await self._channels.call(
            address, method, request, reply, ANSWER_S
        )
        result = 'failed' if isinstance(answer, PeerCallFailed) else 'answered'
        CRASH_MESSAGES.labels(result).inc()
        if isinstance(answer, PeerCallFailed):
            self._callers.pop(address, None)
            _log.debug('A peer did not answer.', error=answer.message)
        return answer

    async def _on_told(
        self, stream: Stream[CrashReport, CrashReportAck]
    ) -> None:
        call = await stream.recv_message()
        if call is None:
            return
        self._note_caller(call.sender)
        self._pass_on(call.records, call.sender)
        await stream.send_message(CrashReportAck())

    async def _on_compared(
        self, stream: Stream[CompareRequest, CompareReply]
    ) -> None:
        call = await stream.recv_message()
        if call is None:
            return
        self._note_caller(call.sender)
        theirs = frozenset(call.marks)
        held = self._ledger.records_by_digest
        missing = [held[one] for one in held if one not in theirs]
        lacking = [one for one in call.marks if one not in held]
        await stream.send_message(
            CompareReply(tuple(missing[-MOST_RECORDS:]), tuple(lacking))
        )

    def _pass_on(self, records: Iterable[CrashRecord], sender: str) -> None:
        news = self._take(records)
        if news:
            self.broadcast(news, sender)

    def _note_caller(self, address: str) -> None:
        """Call back who called: it may be too new to be counted."""
        self._callers.pop(address, None)
        self._callers[address] = None
        if len(self._callers) > FANOUT:
            del self._callers[next(iter(self._callers))]

    def _peers(self) -> list[str]:
        found = dict.fromkeys(self._others())
        found.update(self._callers)
        found.pop(self._address, None)
        return list(found)


def _unary(function: Any, call: type, reply: type) -> Handler:
    return Handler(function, Cardinality.UNARY_UNARY, call, reply)
