"""Buffer the audit records of a process and write them in batches."""

import asyncio
from collections import deque

from lacewing_common.audit._entries import Action
from lacewing_common.audit._entries import AuditRecord
from lacewing_common.audit._log import AuditLog
from lacewing_common.log import get_log
from lacewing_common.log import Part

_FLUSH_INTERVAL_S = 5.0
_BATCH_RECORDS = 32
_MAX_PENDING_RECORDS = 4096


class AuditBuffer:
    """Accept records without waiting and write them later in batches.

    During an outage of the platform, up to ``max_records`` records are kept.
    Beyond that, new records are dropped and counted, and an entry reports
    how many. An unbounded buffer would use up the memory of a process that
    serves requests.
    """

    def __init__(
        self,
        log: AuditLog,
        who: str,
        flush_s: float = _FLUSH_INTERVAL_S,
        max_records: int = _MAX_PENDING_RECORDS,
    ) -> None:
        self._audit_log = log
        self._who = who
        self._flush_interval_s = flush_s
        self._max_records = max_records
        self._pending: deque[AuditRecord] = deque()
        self._dropped_count = 0
        self._loss_count = 0
        self._flush_lock = asyncio.Lock()
        self._log = get_log(Part.AUDIT)

    @property
    def pending_count(self) -> int:
        """Return the number of records not written yet."""
        return len(self._pending)

    def add(self, record: AuditRecord) -> None:
        """Queue a record, or drop it if the buffer is full."""
        if len(self._pending) >= self._max_records:
            self._dropped_count += 1
            return
        if self._dropped_count:
            self._pending.append(self._loss_record(record))
        self._pending.append(record)

    async def flush(self) -> bool:
        """Write the pending records; return whether none are left."""
        # The periodic flush and the final flush of a drain may overlap.
        # Without the lock, both would remove the same batch: unwritten
        # records would be dropped, or the process would exit with an error
        # code instead of 0.
        async with self._flush_lock:
            return await self._flush_pending()

    async def _flush_pending(self) -> bool:
        while self._pending:
            batch = tuple(self._pending)[:_BATCH_RECORDS]
            error = await self._audit_log.append(batch)
            if error is not None:
                self._log.warning(
                    'Writing audit records failed; they stay pending.',
                    count=len(self._pending),
                    error=error.message,
                )
                return False
            for _ in batch:
                self._pending.popleft()
        return True

    async def run(self) -> None:
        """Write the pending records periodically, forever."""
        while True:
            await asyncio.sleep(self._flush_interval_s)
            await self.flush()

    def _loss_record(self, after: AuditRecord) -> AuditRecord:
        dropped = self._dropped_count
        self._dropped_count = 0
        self._loss_count += 1
        return AuditRecord(
            record_id=f'loss-{self._who}-{self._loss_count}',
            who=self._who,
            action=Action.LOSS,
            subject='audit trail',
            at=after.at,
            result=f'{dropped} records dropped in an outage',
        )
