"""Provide a test bench that runs lacewingctl against a platform."""

import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec
from lacewing_bench.loop_thread import LoopThread
from lacewing_bench.platform import FaultSwitches
from lacewing_bench.platform import ObjectKey
from lacewing_bench.platform import PlatformServer
from lacewing_bench.platform import PlatformSettings
from lacewing_common.bundles import Contents
from lacewing_common.bundles import contents_of
from lacewing_common.document_objects import decode_head
from lacewing_common.identity import Place
from lacewing_common.identity import Role
from lacewing_common.status import Addresses
from lacewing_common.status import ProcessStatus
from support.bundle_bench import make_bundle
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

_HEAD = ObjectKey('heads', 'bundle')


class _Status(RequestHandler):
    def initialize(self, bench: 'CtlBench', name: str, stuck: int) -> None:
        """Set the name; ``stuck`` above 0 is a constant bundle number."""
        self._bench = bench
        self._name = name
        self._stuck = stuck

    def get(self) -> None:
        """Answer with the latest bundle number or the stuck one."""
        number = self._stuck or self._bench.head_number()
        status = ProcessStatus(
            process_id=self._name,
            incarnation=1,
            role=Role.ROUTER,
            place=Place('test', 'zone-1'),
            epoch='',
            bundle_number=number,
            bundle_digest=self._bench.head_digest(),
            ready=True,
            stopping=False,
            open_requests=0,
            addresses=Addresses(),
        )
        self.finish(msgspec.json.encode(status))


def _skip_access_log(_handler: object) -> None:
    """Disable the access log."""


class CtlBench:
    """Run a platform, operators' listeners and lacewingctl."""

    def __init__(self, directory: Path, loop: LoopThread) -> None:
        self.directory = directory
        self._loop = loop
        self.server = PlatformServer(PlatformSettings())
        loop.call(self.server.start())
        self.ended = self._empty_result()
        self._servers: list[HTTPServer] = []

    def close(self) -> None:
        """Stop the listeners and the platform."""
        self._loop.call(self._stop())

    def head_number(self) -> int:
        """Return the version of the bundle head at the platform."""
        stored = self.server.service.objects.get(_HEAD)
        head = None if stored is None else decode_head(stored.value)
        return 0 if head is None else head.version

    def head_digest(self) -> str:
        """Return the digest of the bundle at the platform."""
        stored = self.server.service.objects.get(_HEAD)
        head = None if stored is None else decode_head(stored.value)
        if head is None:
            return ''
        contents = contents_of(head.parts)
        assert isinstance(contents, Contents), contents
        return contents.digest

    def add_operators(self, names: list[str]) -> None:
        """Create a key and a profile for each operator."""
        rows: list[object] = []
        for name in names:
            self.run(name, ['keys', 'new', name, '--out', f'{name}.key'])
            assert self.ended.returncode == 0, self.ended.stderr
            rows.append(json.loads(self.ended.stdout))
        for name in names:
            profile = {
                'platform': self.server.url,
                'root_operators': rows,
                'key': f'{name}.key',
            }
            path = self.directory / f'{name}.profile'
            path.write_text(json.dumps(profile))

    def run(self, operator: str, arguments: list[str]) -> None:
        """Run one command and wait until it ends."""
        environment = dict(os.environ)
        environment['LACEWINGCTL_PROFILE'] = f'{operator}.profile'
        self.ended = subprocess.run(
            [sys.executable, '-m', 'lacewing_ctl.main', *arguments],
            cwd=self.directory,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def fill(self, file: str) -> None:
        """Add teams, services and models to a draft."""
        path = self.directory / file
        raw = json.loads(path.read_text())
        filled = msgspec.to_builtins(make_bundle())
        for name in ('teams', 'services', 'models'):
            raw[name] = filled[name]
        path.write_text(json.dumps(raw))

    def start_processes(self, stuck: int) -> None:
        """Start two operators' listeners; ``stuck`` as in ``_Status``."""
        self._loop.call(self._start_processes(stuck))

    def set_faults(self, faults: FaultSwitches) -> None:
        """Replace the platform's fault switches."""
        self.server.service.set_faults(faults)

    async def _stop(self) -> None:
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        await self.server.close()

    async def _start_processes(self, stuck: int) -> None:
        addresses: list[str] = []
        for name, number in (('router-1', 0), ('router-2', stuck)):
            arguments = {'bench': self, 'name': name, 'stuck': number}
            application = Application(
                [('/status', _Status, arguments)],
                log_function=_skip_access_log,
            )
            server = HTTPServer(application)
            self._servers.append(server)
            sockets = bind_sockets(0, '127.0.0.1')
            server.add_sockets(sockets)
            addresses.append('127.0.0.1:%d' % sockets[0].getsockname()[1])
        path = self.directory / 'fleet.json'
        path.write_text(json.dumps({'operators': addresses}))

    @staticmethod
    def _empty_result() -> 'subprocess.CompletedProcess[str]':
        return subprocess.CompletedProcess([], 0, '', '')
