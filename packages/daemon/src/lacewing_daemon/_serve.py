"""Run a daemon from its start to the end of its drain."""

import asyncio
import errno
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random

from lacewing_common.audit import Action
from lacewing_common.bundles import BUNDLE
from lacewing_common.bundles import BundleValidator
from lacewing_common.document import Document
from lacewing_common.document import DocumentKind
from lacewing_common.document import DocumentName
from lacewing_common.exits import Exit
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import ProcessName
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.plan import validate_plan
from lacewing_common.platform_client import PlatformClient
from lacewing_common.settings import Settings
from lacewing_common.status import Addresses
from lacewing_common.status import ProcessStatus
from lacewing_common.tls import limit_tls_buffers
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon._audit import ProcessAudit
from lacewing_daemon._operators import OperatorsServer
from lacewing_daemon._roles import start_role
from lacewing_daemon._signals import on_sighup
from lacewing_daemon._signals import StopSignals
from lacewing_daemon.background import keep_running
from lacewing_daemon.background import Run
from lacewing_daemon.bundles import FileBundles
from lacewing_daemon.bundles import ReplicatedBundles
from lacewing_daemon.members import KnownMembers
from lacewing_daemon.peers import PeerNode
from lacewing_daemon.peers import PlatformReader
from lacewing_daemon.runtime import BundleSource
from lacewing_daemon.runtime import ExplanationProvider
from lacewing_daemon.runtime import RoleStatus
from lacewing_daemon.runtime import RunningRole
from lacewing_daemon.runtime import Runtime

_NOT_STARTED = RoleStatus(ready=False, epoch='', open_requests=0)


class _Daemon:
    """Connect the parts of a daemon, run them and report their status."""

    def __init__(self, settings: Settings) -> None:
        self._log = get_log(Part.MAIN)
        self._settings = settings
        self._signals = StopSignals()
        self._known_members = KnownMembers(settings.seeds)
        self._name = ProcessName(settings.process_id, new_incarnation())
        self._bundle_validator = BundleValidator(settings.root_operators)
        self._node = PeerNode(
            self._name,
            settings,
            {
                DocumentKind.BUNDLE: self._bundle_validator,
                DocumentKind.PLAN: validate_plan,
            },
            self._known_members.addresses,
            Random(),
        )
        self._node.documents.on_change(
            DocumentKind.BUNDLE, self._bundle_validator.record_trust
        )
        self._audit = ProcessAudit(
            self._name, settings.place.availability_zone
        )
        self._file_bundles = FileBundles(_bundle_path(settings))
        self._runtime = Runtime(
            name=self._name,
            settings=settings,
            bundles=self._bundles(),
            members=self._node.members,
            stopping=self._signals.stopping,
            peer_services=(self._node.service,),
            audit=self._audit,
            node=self._node,
        )
        self._operators_server = OperatorsServer(
            settings, self._status, self._explain, self._accept_document
        )
        self._operators_address = ''
        self._platform: PlatformClient | None = None
        self._reader: PlatformReader | None = None
        self._role: RunningRole | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> Exit:
        """Serve until a stop signal, then drain."""
        limit_tls_buffers()
        self._signals.listen()
        on_sighup(self._file_bundles.reload)
        self._file_bundles.reload()
        self._operators_address = str(self._operators_server.listen())
        self._start_task('file bundles', self._file_bundles.follow)
        self._open_platform()
        await self._discover_members()
        self._role = await start_role(self._runtime)
        self._node.start(self._role.peers_address)
        if self._reader is not None:
            known_count = len(self._known_members.addresses())
            self._start_task(
                'platform reader', partial(self._reader.run, known_count)
            )
        addresses = self._status().addresses
        self._log.info(
            'Listening.',
            peers=addresses.peers,
            callers=addresses.callers,
            operators=addresses.operators,
        )
        await self._signals.stopping.wait()
        return await self._stop(self._role)

    def _start_task(self, name: str, run: Run) -> None:
        self._tasks.append(asyncio.create_task(keep_running(name, run)))

    def _bundles(self) -> BundleSource:
        if self._settings.bundle_file:
            return self._file_bundles
        return ReplicatedBundles(
            self._node.documents, self._bundle_validator.assemble
        )

    def _open_platform(self) -> None:
        if not self._settings.platform:
            return
        self._platform = PlatformClient(self._settings.platform)
        self._runtime = replace(self._runtime, store=self._platform)
        self._audit.open(self._platform)
        self._start_task('audit', self._audit.run)
        self._reader = PlatformReader(
            self._node,
            self._platform,
            self._settings.peers,
            self._watched_documents,
            self._known_members.take_list,
            Random(),
        )

    async def _discover_members(self) -> None:
        """Fetch members and bundle before serving, from peers if possible."""
        await self._node.discover()
        if self._reader is None or self._node.has_peers:
            return
        await self._reader.read_members()
        await self._node.discover()

    def _watched_documents(self) -> tuple[DocumentName, ...]:
        if self._settings.bundle_file:
            return ()
        return (BUNDLE,)

    async def _stop(self, role: RunningRole) -> Exit:
        exit_code = Exit.OK
        self._report_drain(role, 'begins')
        self._start_task('leaving', self._node.announce_leaving)
        try:
            async with asyncio.timeout(self._settings.drain_s):
                await role.drain()
        except TimeoutError:
            exit_code = Exit.DRAIN_INCOMPLETE
            self._log.warning(
                'Drain period over.', open=role.status.open_requests
            )
        self._report_drain(
            role, 'complete' if exit_code is Exit.OK else 'requests were cut'
        )
        await self._node.close()
        await role.close()
        await self._audit.close()
        await self._operators_server.close()
        for task in self._tasks:
            task.cancel()
        if self._platform is not None:
            self._platform.close()
        self._log.info('Stopped.', code=exit_code.value)
        return exit_code

    def _report_drain(self, role: RunningRole, result: str) -> None:
        self._audit.report(
            Action.DRAIN,
            self._settings.process_id,
            after=f'{role.status.open_requests} requests open',
            result=result,
        )

    def _status(self) -> ProcessStatus:
        role = self._role
        status = _NOT_STARTED if role is None else role.status
        bundle = self._runtime.bundles.current
        stopping = self._signals.stopping.is_set()
        return ProcessStatus(
            process_id=self._settings.process_id,
            incarnation=self._name.incarnation,
            role=self._settings.role,
            place=self._settings.place,
            epoch=status.epoch,
            bundle_number=bundle.number,
            bundle_digest=bundle.digest,
            ready=status.ready and not stopping,
            stopping=stopping,
            open_requests=status.open_requests,
            addresses=self._addresses(),
            members=self._node.counts,
        )

    def _explain(self, request_id: str) -> object | None:
        if not isinstance(self._role, ExplanationProvider):
            return None
        return self._role.explain(request_id)

    def _accept_document(self, document: Document) -> Refusal | None:
        head = document.head
        if len(head.parts) != len(document.parts):
            return not_run(
                Reason.BAD_REQUEST,
                f'expected {len(head.parts)} parts, got {len(document.parts)}',
            )
        parts = dict(zip(head.parts, document.parts, strict=True))
        accepted = self._node.documents.accept(head, parts)
        return accepted if isinstance(accepted, Refusal) else None

    def _addresses(self) -> Addresses:
        if self._role is None:
            return Addresses(operators=self._operators_address)
        return Addresses(
            peers=self._role.peers_address,
            callers=self._role.callers_address,
            operators=self._operators_address,
        )


async def serve(settings: Settings) -> Exit:
    """Run a daemon; return its exit code."""
    log = get_log(Part.MAIN)
    try:
        return await _Daemon(settings).run()
    except OSError as error:
        if error.errno not in (errno.EADDRINUSE, errno.EADDRNOTAVAIL):
            raise
        log.error('Cannot listen.', error=str(error))
        return Exit.ADDRESS_IN_USE


def _bundle_path(settings: Settings) -> Path | None:
    if not settings.bundle_file:
        return None
    return Path(settings.bundle_file)
