"""Exchange crash records with other routers, independent of the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from random import Random

from grpclib.const import Handler

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._metrics import CRASH_MESSAGES
from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._peer_link import unary
from lacewing_daemon.direct.crashes._messages import COMPARE_METHOD
from lacewing_daemon.direct.crashes._messages import CompareReply
from lacewing_daemon.direct.crashes._messages import CompareRequest
from lacewing_daemon.direct.crashes._messages import CrashReport
from lacewing_daemon.direct.crashes._messages import CrashReportAck
from lacewing_daemon.direct.crashes._messages import TELL_METHOD
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._registry import CrashRegistry
from lacewing_daemon.peers import PeerCallFailed

# Number of peers to which a router forwards each update. With up to nine
# routers, the first one reaches all others; with 330 routers, all but one in
# 3,000 receive it.
FANOUT = 8
# Updates are batched for this time, since every router with a run at the
# crashed upstream reports the crash.
BATCH_DELAY_S = 0.02
# A peer answers within a few ms, unless it lost power or is partitioned; then
# the records are written to the store instead. A caller that retries
# immediately is back after about 0.1 s.
CALL_TIMEOUT_S = 0.5
# Each router compares its records with a random peer, since an update is lost
# if its receivers end before they forward it. The interval is short while the
# latest crash is recent. The longer interval otherwise brings a router up to
# date soon after a partition.
RECENT_COMPARE_INTERVAL_S = 1.0
RECENT_CRASH_S = 10.0
COMPARE_INTERVAL_S = 8.0
# Maximum number of records in one message, the latest ones; a record takes
# several kilobytes.
MAX_RECORDS = 100


class CrashGossip:
    """Broadcast crash records to peers and reconcile records with them.

    ``peer_addresses`` returns the addresses of the other routers. ``merge``
    merges records and returns those that contained something new.
    ``on_undelivered`` is called with records that some peer did not receive.
    """

    def __init__(
        self,
        link: PeerLink,
        registry: CrashRegistry,
        peer_addresses: Callable[[], Sequence[str]],
        merge: Callable[[Iterable[CrashRecord]], tuple[CrashRecord, ...]],
        on_undelivered: Callable[[Iterable[CrashRecord]], None],
        random: Random,
    ) -> None:
        self._link = link
        self._address = link.address
        self._registry = registry
        self._peer_addresses = peer_addresses
        self._merge = merge
        self._on_undelivered = on_undelivered
        self._random = random
        self._recent_callers: dict[str, None] = {}
        self._pending: list[tuple[CrashRecord, str]] = []
        self._tasks = TaskSet('crash gossip')

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""
        return {
            TELL_METHOD: unary(self._on_report, CrashReport, CrashReportAck),
            COMPARE_METHOD: unary(
                self._on_compare, CompareRequest, CompareReply
            ),
        }

    async def run(self) -> None:
        """Compare records with one random peer per interval."""
        while True:
            await self._compare()
            interval_s = COMPARE_INTERVAL_S
            if self._registry.newest_age_s < RECENT_CRASH_S:
                interval_s = RECENT_COMPARE_INTERVAL_S
            await asyncio.sleep(interval_s * self._random.uniform(0.75, 1.25))

    def broadcast(
        self, records: Iterable[CrashRecord], sender: str = ''
    ) -> None:
        """Send records to a few peers, batched with those that follow."""
        if not self._pending:
            self._tasks.start(self._send_pending())
        for record in records:
            self._pending.append((record, sender))

    def close(self) -> None:
        """Cancel what is being sent."""
        self._tasks.cancel()

    async def _send_pending(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        batch = tuple(self._pending)
        self._pending.clear()
        peers = self._peers()
        chosen = self._random.sample(peers, min(FANOUT, len(peers)))
        calls = []
        for address in chosen:
            # A peer has the records that it sent, but not necessarily the
            # others of the batch.
            undelivered = [
                record for record, sender in batch if sender != address
            ]
            calls.append(self._send_report(address, tuple(undelivered)))
        if not all(await asyncio.gather(*calls)):
            self._on_undelivered([record for record, _ in batch])

    async def _send_report(
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
        records = self._registry.records_by_digest
        answer = await self._call(
            address,
            COMPARE_METHOD,
            CompareRequest(self._address, tuple(records)),
            CompareReply,
        )
        if not isinstance(answer, CompareReply):
            return
        self._forward(answer.records, address)
        missing = [
            records[digest] for digest in answer.lacking if digest in records
        ]
        if missing:
            await self._send_report(address, tuple(missing[-MAX_RECORDS:]))

    async def _call(
        self, address: str, method: str, request: object, reply: type
    ) -> object:
        answer: object = await self._link.call(
            address, method, request, reply, CALL_TIMEOUT_S
        )
        result = 'failed' if isinstance(answer, PeerCallFailed) else 'answered'
        CRASH_MESSAGES.labels(result).inc()
        if isinstance(answer, PeerCallFailed):
            self._recent_callers.pop(address, None)
        return answer

    def _on_report(self, call: CrashReport) -> CrashReportAck:
        self._record_caller(call.sender)
        self._forward(call.records, call.sender)
        return CrashReportAck()

    def _on_compare(self, call: CompareRequest) -> CompareReply:
        self._record_caller(call.sender)
        peer_digests = frozenset(call.marks)
        records = self._registry.records_by_digest
        missing_there = [
            records[digest] for digest in records if digest not in peer_digests
        ]
        missing_here = [
            digest for digest in call.marks if digest not in records
        ]
        return CompareReply(
            tuple(missing_there[-MAX_RECORDS:]), tuple(missing_here)
        )

    def _forward(self, records: Iterable[CrashRecord], sender: str) -> None:
        updates = self._merge(records)
        if updates:
            self.broadcast(updates, sender)

    def _record_caller(self, address: str) -> None:
        """Treat a caller as a peer: it may be too new to be listed as one."""
        self._recent_callers.pop(address, None)
        self._recent_callers[address] = None
        if len(self._recent_callers) > FANOUT:
            del self._recent_callers[next(iter(self._recent_callers))]

    def _peers(self) -> list[str]:
        addresses = dict.fromkeys(self._peer_addresses())
        addresses.update(self._recent_callers)
        addresses.pop(self._address, None)
        return list(addresses)
