"""Write the actions of this process to the audit trail."""

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
_FINAL_FLUSH_TIMEOUT_S = 2.0
_RETRY_POLICY = RetryPolicy(give_up_after_s=1.0)


def audit_trail_name(process_id: str, availability_zone: str) -> str:
    """Return the name of the trail that a process writes to.

    All processes of a zone may drain at once, and writers of the same trail
    conflict: the retries of hundreds of writers would use up the platform's
    write limit. One trail per process would leave thousands of objects.
    """
    digest = xxhash.xxh3_64_intdigest(process_id.encode())
    return f'{availability_zone}-{digest % TRAILS_PER_ZONE}'


class ProcessAudit:
    """Buffer reports and write them in batches once a store is open."""

    def __init__(self, name: ProcessName, availability_zone: str) -> None:
        self._who = str(name)
        self._trail = audit_trail_name(name.process_id, availability_zone)
        self._buffer: AuditBuffer | None = None
        self._report_count = 0
        self._log = get_log(Part.AUDIT)

    def open(self, store: ObjectStore) -> None:
        """Start writing to a store."""
        log = AuditLog(store, self._trail, _RETRY_POLICY)
        self._buffer = AuditBuffer(log, self._who)

    def report(
        self,
        action: Action,
        subject: str,
        before: str = '',
        after: str = '',
        result: str = 'done',
    ) -> None:
        """Log an action; record it for the audit trail if a store is open."""
        self._log.info(
            'Changed.', action=action.value, subject=subject, result=result
        )
        if self._buffer is None:
            return
        self._report_count += 1
        record = AuditRecord(
            record_id=f'{self._who}-{self._report_count}',
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
        """Write at intervals until cancelled."""
        if self._buffer is not None:
            await self._buffer.run()

    async def close(self) -> None:
        """Write the pending records, for a bounded time.

        It is called after the drain. A platform outage must not keep the
        process from ending, since its VM may be removed at any moment.
        """
        if self._buffer is None:
            return
        try:
            async with asyncio.timeout(_FINAL_FLUSH_TIMEOUT_S):
                await self._buffer.flush()
        except TimeoutError:
            self._log.warning(
                'Audit entries lost.', count=self._buffer.pending_count
            )
