"""Enter what this process does in the audit trail."""

import asyncio
from datetime import datetime
from datetime import UTC

import xxhash
from lacewing_common.audit import Action
from lacewing_common.audit import AuditBuffer
from lacewing_common.audit import AuditLog
from lacewing_common.audit import AuditRecord
from lacewing_common.identity import ProcessName
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.retries import RetryPolicy
from lacewing_common.store import ObjectStore

TRAILS_PER_ZONE = 16
_LAST_FLUSH_S = 2.0
_PATIENCE = RetryPolicy(give_up_after_s=1.0)


def audit_trail_name(process_id: str, availability_zone: str) -> str:
    """Return the name of the trail that a process writes to.

    All processes of a zone may drain at once, and writers of one trail put
    each other off: hundreds on one would use up the platform's writes. One
    trail for each process would leave thousands of objects behind.
    """
    digest = xxhash.xxh3_64_intdigest(process_id.encode())
    return f'{availability_zone}-{digest % TRAILS_PER_ZONE}'


class ProcessAudit:
    """Take reports at once; write them in batches while there is a store."""

    def __init__(self, name: ProcessName, availability_zone: str) -> None:
        self._who = str(name)
        self._trail = audit_trail_name(name.process_id, availability_zone)
        self._buffer: AuditBuffer | None = None
        self._reports = 0
        self._log = get_log(Part.AUDIT)

    def open(self, store: ObjectStore) -> None:
        """Write to a platform from now on."""
        log = AuditLog(store, self._trail, _PATIENCE)
        self._buffer = AuditBuffer(log, self._who)

    def report(
        self,
        action: Action,
        subject: str,
        before: str = '',
        after: str = '',
        result: str = 'done',
    ) -> None:
        """Enter that this process did something; without a store only log."""
        self._log.info(
            'Changed.', action=action.value, subject=subject, result=result
        )
        if self._buffer is None:
            return
        self._reports += 1
        record = AuditRecord(
            record_id=f'{self._who}-{self._reports}',
            who=self._who,
            action=action,
            subject=subject,
            at=datetime.now(UTC).isoformat(timespec='milliseconds'),
            before=before,
            after=after,
            result=result,
        )
        self._buffer.add(record)

    async def run(self) -> None:
        """Write at intervals, for ever."""
        if self._buffer is not None:
            await self._buffer.run()

    async def close(self) -> None:
        """Write what waits, for a bounded time.

        The drain is over by then. An outage of the platform must not keep
        the process from ending: its VM may be taken away at any moment.
        """
        if self._buffer is None:
            return
        try:
            async with asyncio.timeout(_LAST_FLUSH_S):
                await self._buffer.flush()
        except TimeoutError:
            self._log.warning(
                'Entries lost.', count=self._buffer.pending_count
            )
