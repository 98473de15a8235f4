"""Start and restart one router or agent."""

from pathlib import Path

from lacewing_common.identity import Role
from lacewing_common.settings import Listen
from lacewing_common.status import Addresses
from lacewing_platform_testing import free_ports

from lacewing_bench.fleet._layout import Common
from lacewing_bench.fleet._layout import daemon_settings
from lacewing_bench.fleet._layout import Slot
from lacewing_bench.fleet._layout import write_json
from lacewing_bench.fleet._process import FleetProcess

_LISTENING = 'main: Listening.'
_MODULE = 'lacewing_daemon.main'
_ORACLE_MODULE = 'lacewing_bench.oracle'


class Daemon:
    """Hold one daemon, its settings and the addresses of its last start.

    ``engines_path`` names the file by which a router that may select the
    oracle policy finds the engines; None for any other daemon.
    """

    def __init__(
        self,
        slot: Slot,
        common: Common,
        worker_url: str,
        directory: Path,
        engines_path: Path | None = None,
    ) -> None:
        self._slot = slot
        self._common = common
        self._worker_url = worker_url
        self._path = directory / f'{slot.process_id}.json'
        self._addresses = Addresses()
        module = _MODULE
        arguments = ['--settings', str(self._path)]
        if engines_path is not None:
            module = _ORACLE_MODULE
            arguments += ['--engines', str(engines_path)]
        self._process = FleetProcess(
            slot.process_id, module, arguments, directory
        )

    @property
    def slot(self) -> Slot:
        """Return what runs where."""
        return self._slot

    @property
    def process(self) -> FleetProcess:
        """Return the process."""
        return self._process

    @property
    def addresses(self) -> Addresses:
        """Return the addresses of the last start."""
        return self._addresses

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings of the last start."""
        return self._path

    async def start(self, same_address: bool) -> None:
        """Start with the last start's addresses, or with new ones."""
        if not same_address:
            self._addresses = _new_addresses()
        self.write_settings(self._listen())
        self._process.start()
        lines = await self._process.lines(_LISTENING)
        line = lines[0]
        self._addresses = Addresses(line.peers, line.callers, line.operators)

    def write_settings(self, listen: Listen) -> None:
        """Write the settings of the next start."""
        settings = daemon_settings(
            self._slot, self._common, listen, self._worker_url
        )
        write_json(self._path, settings)

    def _listen(self) -> Listen:
        last = self._addresses
        if self._slot.role is Role.AGENT:
            return Listen(peers=last.peers, operators=last.operators)
        return Listen(
            peers=last.peers or Listen().peers,
            operators=last.operators,
            callers=last.callers,
        )


def _new_addresses() -> Addresses:
    """Return addresses that no outgoing connection takes before a restart."""
    port = free_ports()
    return Addresses(
        f'127.0.0.1:{port}', f'127.0.0.1:{port + 1}', f'127.0.0.1:{port + 2}'
    )
