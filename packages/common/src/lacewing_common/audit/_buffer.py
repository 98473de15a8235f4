"""Collect a process' audit records and enter them in batches."""

import asyncio
from collections import deque

from lacewing_common.audit._entries import Action
from lacewing_common.audit._entries import AuditRecord
from lacewing_common.audit._log import AuditLog
from lacewing_common.log import get_log
from lacewing_common.log import Part

_FLUSH_S = 5.0
_BATCH = 32
_KEPT = 4096


class AuditBuffer:
    """Take records at once and write them later, one batch at a time.

    In an outage of the platform the records wait, ``max_records`` at most;
    then the newest are dropped and counted, and an entry tells how many. Kept
    without a bound they would take the memory of a process that serves
    requests.
    """

    def __init__(
        self,
        log: AuditLog,
        who: str,
        flush_s: float = _FLUSH_S,
        max_records: int = _KEPT,
    ) -> None:
        self._audit = log
        self._who = who
        self._flush_s = flush_s
        self._kept = max_records
        self._waiting: deque[AuditRecord] = deque()
        self._dropped = 0
        self._losses = 0
        self._writing = asyncio.Lock()
        self._log = get_log(Part.AUDIT)

    @property
    def pending_count(self) -> int:
        """Return the number of records not written yet."""
        return len(self._waiting)

    def add(self, record: AuditRecord) -> None:
        """Take a record."""
        if len(self._waiting) >= self._kept:
            self._dropped += 1
            return
        if self._dropped:
            self._waiting.append(self._loss(record))
        self._waiting.append(record)

    async def flush(self) -> bool:
        """Write what waits; tell whether nothing is left."""
        # The writing at an interval and the last one of a drain may meet.
        # Each would let go of the same batch: records not written yet would
        # be dropped, or the process end with an error in place of 0.
        async with self._writing:
            return await self._flush()

    async def _flush(self) -> bool:
        while self._waiting:
            batch = tuple(self._waiting)[:_BATCH]
            error = await self._audit.append(batch)
            if error is not None:
                self._log.warning(
                    'Entries wait.',
                    count=len(self._waiting),
                    error=error.message,
                )
                return False
            for _ in batch:
                self._waiting.popleft()
        return True

    async def run(self) -> None:
        """Write at intervals, for ever."""
        while True:
            await asyncio.sleep(self._flush_s)
            await self.flush()

    def _loss(self, after: AuditRecord) -> AuditRecord:
        dropped = self._dropped
        self._dropped = 0
        self._losses += 1
        return AuditRecord(
            record_id=f'loss-{self._who}-{self._losses}',
            who=self._who,
            action=Action.LOSS,
            subject='audit trail',
            at=after.at,
            result=f'{dropped} records dropped in an outage',
        )
