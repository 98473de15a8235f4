"""Read documents and the VM list from the platform by reader role."""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random

from lacewing_common.document import DocumentName
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.settings import PeerSettings
from lacewing_common.store import ObjectReads

from lacewing_daemon.background import keep_running
from lacewing_daemon.background import Run
from lacewing_daemon.peers._document_watcher import DocumentWatcher
from lacewing_daemon.peers._election import Election
from lacewing_daemon.peers._election import ReaderRole
from lacewing_daemon.peers._node import PeerNode
from lacewing_daemon.peers._vm_list import VmListCallback
from lacewing_daemon.peers._vm_list import VmListReader

_FIRST_READ_TIMEOUT_S = 1.0
# Processes that start together, or that are all isolated from each other,
# start reads at these total rates per second, well below the 2,000 reads a
# second of the platform.
_STARTS_PER_S = 400.0
_MIN_SPREAD_S = 0.2
_ISOLATED_READS_PER_S = 100.0
_MIN_ISOLATED_PERIODS = 5.0
# Exchange periods for which a process that is no reader keeps the VM list.
_RETAIN_LIST_ROUNDS = 60

_log = get_log(Part.MEMBERS)


class PlatformReader:
    """Watch documents and poll the VM list while this process is a reader.

    ``watched_documents`` returns the names of the documents to watch;
    ``on_vm_list`` is called with each VM list read.
    """

    def __init__(
        self,
        node: PeerNode,
        platform: ObjectReads,
        settings: PeerSettings,
        watched_documents: Callable[[], tuple[DocumentName, ...]],
        on_vm_list: VmListCallback,
        rng: Random,
    ) -> None:
        self._node = node
        self._settings = settings
        self._watched_documents = watched_documents
        self._rng = rng
        self._election = Election(settings, node.table, node.clock)
        self._document_watcher = DocumentWatcher(platform, node.documents, rng)
        self._vm_list = VmListReader(
            platform, node.vm_notes, on_vm_list, settings.vm_list_s, rng
        )
        self._on_vm_list = on_vm_list
        self._listen_rounds = 0
        self._logged_role: ReaderRole | None = None
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def is_reading(self) -> bool:
        """Return whether this process watches the platform now."""
        return bool(self._tasks)

    async def read_members(self) -> None:
        """Read the VM list once before serving, with a timeout.

        For a process that received no member from the seeds: a router that
        accepted callers without knowing any agent would refuse them. Without
        the timeout it would not serve during an outage of the platform.
        """
        try:
            async with asyncio.timeout(_FIRST_READ_TIMEOUT_S):
                await self._vm_list.read()
        except TimeoutError:
            self._vm_list.log_failure('no answer within the startup timeout')

    async def run(self, contacts: int) -> None:
        """Read as the reader role requires until cancelled.

        ``contacts`` is the number of addresses known at the start. Their
        processes may all be starting now, so the first read is delayed at
        random in proportion.
        """
        spread_s = max(_MIN_SPREAD_S, contacts / _STARTS_PER_S)
        await asyncio.sleep(self._rng.uniform(0.0, spread_s))
        try:
            while True:
                await self._run_role()
        finally:
            await self._stop_tasks()

    async def _run_role(self) -> None:
        role = self._election.role(self._node.last_contact_s)
        self._log_role_change(role)
        if role is ReaderRole.READ:
            self._start_tasks()
        else:
            await self._stop_tasks()
        if role is ReaderRole.LISTEN:
            self._expire_list()
        else:
            self._listen_rounds = 0
        if role is ReaderRole.ISOLATED:
            await self._read_isolated()
            return
        await asyncio.sleep(self._settings.exchange_s)

    def _log_role_change(self, role: ReaderRole) -> None:
        if role is self._logged_role:
            return
        self._logged_role = role
        counts = self._node.counts
        _log.info(
            'Duty changed.',
            duty=role.value,
            member=self._node.table.own_record.process_id,
            alive=counts.alive,
            suspect=counts.suspect,
            dead=counts.dead,
        )

    def _expire_list(self) -> None:
        """Discard the list some time after other processes took over.

        If kept, its addresses would be called indefinitely, long after their
        VMs were removed. If discarded immediately, a process that has just
        started might lose agents that no peer has reported yet.
        """
        self._listen_rounds += 1
        if self._listen_rounds == _RETAIN_LIST_ROUNDS:
            self._on_vm_list(())

    async def _read_isolated(self) -> None:
        """Read once after a delay proportional to the number of processes.

        If all processes are isolated from each other but not from the
        platform, their total read rate stays fixed whatever their number.
        """
        min_s = _MIN_ISOLATED_PERIODS * self._settings.exchange_s
        mean_s = max(min_s, self._election.known_count / _ISOLATED_READS_PER_S)
        await asyncio.sleep(mean_s * self._rng.uniform(0.5, 1.5))
        if (
            self._election.role(self._node.last_contact_s)
            is not ReaderRole.ISOLATED
        ):
            return
        for name in self._watched_documents():
            await self._document_watcher.read(name)
        await self._vm_list.read()

    def _start_tasks(self) -> None:
        wanted = {
            self._task_key(name): name for name in self._watched_documents()
        }
        for key, name in wanted.items():
            self._start_task(key, partial(self._document_watcher.watch, name))
        self._start_task('vm-list', self._poll_vm_list)
        for key in list(self._tasks):
            if key != 'vm-list' and key not in wanted:
                self._tasks.pop(key).cancel()

    def _start_task(self, key: str, run: Run) -> None:
        task = self._tasks.get(key)
        if task is not None and not task.done():
            return
        self._tasks[key] = asyncio.create_task(keep_running(key, run))

    async def _stop_tasks(self) -> None:
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll_vm_list(self) -> None:
        while True:
            await self._vm_list.read()
            self._node.contact_new()
            await asyncio.sleep(self._vm_list.pause_s())

    def _task_key(self, name: DocumentName) -> str:
        return f'{name.kind.value}/{name.name}'
