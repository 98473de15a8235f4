"""Read from the platform as far as this process has to."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from random import Random
from typing import Any

from lacewing_common.document import DocumentName
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import PeerSettings
from lacewing_common.store import ObjectReads

from lacewing_daemon.peers._document_watcher import DocumentWatcher
from lacewing_daemon.peers._election import Election
from lacewing_daemon.peers._election import ReaderRole
from lacewing_daemon.peers._node import PeerNode
from lacewing_daemon.peers._vm_list import TakeList
from lacewing_daemon.peers._vm_list import VmListReader

_FIRST_READ_S = 1.0
# Processes that start together, or are all cut off from each other, begin
# to read at no more than so many a second: well below the platform's 2,000.
_STARTS_PER_S = 400.0
_LEAST_SPREAD_S = 0.2
_ALONE_READS_PER_S = 100.0
_LEAST_ALONE_S = 5.0
_KEEP_LIST_ROUNDS = 60

_log = get_log(Part.MEMBERS)


class PlatformReader:
    """Follow documents and VM list while this process is a reader.

    ``follow`` names the documents to watch; ``take_list`` gets each VM
    list read.
    """

    def __init__(
        self,
        node: PeerNode,
        platform: ObjectReads,
        settings: PeerSettings,
        follow: Callable[[], tuple[DocumentName, ...]],
        take_list: TakeList,
        rng: Random,
    ) -> None:
        self._node = node
        self._settings = settings
        self._follow = follow
        self._rng = rng
        self._election = Election(settings, node.table, node.clock)
        self._heads = DocumentWatcher(platform, node.documents, rng)
        self._vm_list = VmListReader(
            platform, node.vm_notes, take_list, settings.vm_list_s, rng
        )
        self._take_list = take_list
        self._listened = 0
        self._logged_duty: ReaderRole | None = None
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def is_reading(self) -> bool:
        """Tell whether this process watches the platform now."""
        return bool(self._tasks)

    async def read_members(self) -> None:
        """Read the VM list before serving, if no seed gave any member.

        A router that took callers first would refuse them, as it knows no
        agent yet. One that waited for ever would not serve in an outage.
        """
        try:
            async with asyncio.timeout(_FIRST_READ_S):
                await self._vm_list.read()
        except TimeoutError:
            self._vm_list.log_failure('no answer in time for the start')

    async def run(self, contacts: int) -> None:
        """Read as duty asks until cancelled.

        ``contacts`` is the number of addresses known at the start, which
        may all be starting now: the first reads are spread accordingly.
        """
        spread_s = max(_LEAST_SPREAD_S, contacts / _STARTS_PER_S)
        await asyncio.sleep(self._rng.uniform(0.0, spread_s))
        try:
            while True:
                await self._do_duty()
        finally:
            await self._stop_all()

    async def _do_duty(self) -> None:
        duty = self._election.role(self._node.last_contact_s)
        self._log_duty_change(duty)
        if duty is ReaderRole.READ:
            self._start_all()
        else:
            await self._stop_all()
        if duty is ReaderRole.LISTEN:
            self._age_list()
        else:
            self._listened = 0
        if duty is ReaderRole.ISOLATED:
            await self._read_alone()
            return
        await asyncio.sleep(self._settings.exchange_s)

    def _log_duty_change(self, duty: ReaderRole) -> None:
        if duty is self._logged_duty:
            return
        self._logged_duty = duty
        counts = self._node.counts
        _log.info(
            'Duty changed.',
            duty=duty.value,
            member=self._node.table.own_record.process_id,
            alive=counts.alive,
            suspect=counts.suspect,
            dead=counts.dead,
        )

    def _age_list(self) -> None:
        """Forget the list some time after others have begun to read it.

        Kept, its addresses would be called for ever, long after their VMs
        have gone. Dropped at once, a cold process might lose agents that
        no peer has told it of yet.
        """
        self._listened += 1
        if self._listened == _KEEP_LIST_ROUNDS:
            self._take_list(())

    async def _read_alone(self) -> None:
        """Read once, seldom enough for all processes to do the same.

        Were all cut off from each other but not from the platform, their
        reads together would stay at a fixed rate whatever their number.
        """
        least_s = _LEAST_ALONE_S * self._settings.exchange_s
        mean_s = max(least_s, self._election.known_count / _ALONE_READS_PER_S)
        await asyncio.sleep(mean_s * self._rng.uniform(0.5, 1.5))
        if (
            self._election.role(self._node.last_contact_s)
            is not ReaderRole.ISOLATED
        ):
            return
        for name in self._follow():
            await self._heads.read(name)
        await self._vm_list.read()

    def _start_all(self) -> None:
        wanted = {self._key(name): name for name in self._follow()}
        for key, name in wanted.items():
            self._start(key, self._heads.watch(name))
        self._start('vm-list', self._poll_vms())
        for key in list(self._tasks):
            if key != 'vm-list' and key not in wanted:
                self._tasks.pop(key).cancel()

    def _start(self, key: str, work: Coroutine[Any, Any, None]) -> None:
        task = self._tasks.get(key)
        if task is not None and not task.done():
            work.close()
            return
        self._tasks[key] = asyncio.create_task(work)

    async def _stop_all(self) -> None:
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll_vms(self) -> None:
        while True:
            await self._vm_list.read()
            self._node.contact_new()
            await asyncio.sleep(self._vm_list.pause_s())

    def _key(self, name: DocumentName) -> str:
        return f'{name.kind.value}/{name.name}'
