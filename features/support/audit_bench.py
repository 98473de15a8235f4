"""Append to and tamper with audit trails at a fake platform."""

import asyncio
from random import Random

import msgspec
from lacewing_bench.platform import ObjectKey
from lacewing_common.audit import Action
from lacewing_common.audit import AUDIT
from lacewing_common.audit import AuditBuffer
from lacewing_common.audit import AuditLog
from lacewing_common.audit import AuditReader
from lacewing_common.audit import AuditRecord
from lacewing_common.audit import AuditTrail
from lacewing_common.document_objects import PARTS
from lacewing_common.platform_client import PlatformClient
from lacewing_common.retries import RetryPolicy
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError
from support.bundle_bench import AT
from support.rolls_bench import OvertakenStore
from support.rolls_bench import RollsBench

_RETRY_POLICY = RetryPolicy(
    give_up_after_s=20.0, backoff_base_s=0.001, backoff_cap_s=0.01
)
_NO_RETRY_POLICY = RetryPolicy(
    give_up_after_s=0.0, backoff_base_s=0.001, backoff_cap_s=0.001
)


def make_record(number: int, who: str = 'planner') -> AuditRecord:
    """Create a record with a unique id."""
    return AuditRecord(
        record_id=f'{who}-{number}',
        who=who,
        action=Action.ORDER,
        subject='worker diagnostic-1',
        at=AT,
        before='w1',
        after='w2',
    )


class AuditBench:
    """Provide the audit trails of a platform."""

    def __init__(self, rolls: RollsBench) -> None:
        self.rolls = rolls
        self.runner = rolls.runner
        self.buffer = AuditBuffer(
            self.log('orders', _NO_RETRY_POLICY), 'agent', 0
        )
        self._report_count = 0

    @property
    def reader(self) -> AuditReader:
        """Return a reader of the trails."""
        return AuditReader(self.rolls.store, _RETRY_POLICY, Random(3))

    def log(
        self, name: str, retry_policy: RetryPolicy = _RETRY_POLICY
    ) -> AuditLog:
        """Return a log that appends to a trail."""
        return AuditLog(self.rolls.store, name, retry_policy, Random(4))

    def trail(self, name: str) -> AuditTrail:
        """Read a complete trail."""
        trail = self.runner.run(self.reader.trail(name, 0))
        assert isinstance(trail, AuditTrail), trail
        return trail

    def report(self) -> None:
        """Add a record with a unique id to the buffer."""
        self._report_count += 1
        self.buffer.add(make_record(self._report_count, 'agent'))

    async def flush_twice(self) -> None:
        """Flush the buffer from two tasks concurrently."""
        buffer = AuditBuffer(self.log('orders'), 'agent', 0)
        for number in range(self._report_count):
            buffer.add(make_record(number, 'agent'))
        self.buffer = buffer
        async with asyncio.TaskGroup() as group:
            group.create_task(buffer.flush())
            group.create_task(buffer.flush())

    def append(self, name: str, count: int) -> None:
        """Append records with one write each."""
        log = self.log(name)
        for number in range(count):
            error = self.runner.run(log.append((make_record(number),)))
            assert error is None, error

    async def append_overtaken(self, name: str, others: int) -> None:
        """Append with a lost answer; others append before the retry."""

        async def append_others() -> None:
            await self._write(name, 'other', others)

        store = OvertakenStore(self.rolls.service, AUDIT, append_others)
        log = AuditLog(store, name, _RETRY_POLICY, Random(5))
        error = await log.append((make_record(0, 'slow'),))
        assert error is None, error

    async def race(self, name: str, writers: int, each: int) -> None:
        """Append from several writers concurrently."""
        async with asyncio.TaskGroup() as group:
            for index in range(writers):
                group.create_task(self._write(name, f'writer-{index}', each))

    async def _write(self, name: str, who: str, count: int) -> None:
        log = self.log(name)
        for number in range(count):
            error: StoreError | None = await log.append(
                (make_record(number, who),)
            )
            assert error is None, error

    def size(self, name: str) -> int:
        """Return the size of the newest chunk in bytes."""
        return len(self._stored(AUDIT, name).value)

    def replace_text(self, name: str, before: bytes, after: bytes) -> None:
        """Replace the first match in the newest chunk."""
        stored = self._stored(AUDIT, name)
        assert before in stored.value, stored.value
        value = stored.value.replace(before, after, 1)
        self.rolls.service.put(ObjectKey(AUDIT, name), value, stored.version)

    def rewrite(self, name: str, before: str, after: str) -> None:
        """Rewrite a trail with another actor and valid hashes."""
        forged: list[AuditRecord] = []
        for entry in self.trail(name).entries:
            who = entry.record.who
            if who == before:
                who = after
            forged.append(msgspec.structs.replace(entry.record, who=who))
        version = self._stored(AUDIT, name).version
        self.rolls.service.delete(ObjectKey(AUDIT, name), version)
        error = self.runner.run(self.log(name).append(tuple(forged)))
        assert error is None, error

    def replace_archived(self, before: bytes, after: bytes) -> None:
        """Replace the first match in an archived part."""
        objects = self.rolls.service.objects
        for row in objects.names(PARTS):
            stored = self._stored(PARTS, row.name)
            if before not in stored.value:
                continue
            value = stored.value.replace(before, after, 1)
            key = ObjectKey(PARTS, row.name)
            self.rolls.service.put(key, value, stored.version)
            return
        raise AssertionError(f'no part holds {before!r}')

    def _stored(self, kind: str, name: str) -> StoredObject:
        stored = self.rolls.service.objects.get(ObjectKey(kind, name))
        assert stored is not None, (kind, name)
        return stored


async def read_trail(platform_url: str, name: str) -> AuditTrail:
    """Read a trail over HTTP."""
    client = PlatformClient(platform_url)
    try:
        trail = await AuditReader(client, _RETRY_POLICY).trail(name, 0)
    finally:
        client.close()
    assert isinstance(trail, AuditTrail), trail
    return trail
