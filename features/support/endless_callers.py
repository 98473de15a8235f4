"""Send requests without end to a router, from several callers at once."""

import asyncio
import threading
from dataclasses import dataclass
from dataclasses import field
from time import monotonic

from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import PREFIX

PIECE_BYTES = 65536
FAST_INTERVAL_S = 0.005
SLOW_INTERVAL_S = 0.05
_CONNECT_AGAIN_S = 0.25


@dataclass
class EndlessCallers:
    """Send bodies to an address until their connections are closed.

    ``statuses`` has the status of each connection that was closed, '' if it
    was closed without an answer; ``longest_s`` is how long one was open.
    """

    address: str
    piece: bytes
    interval_s: float
    deadline_ms: int = 3000
    statuses: list[str] = field(default_factory=list)
    longest_s: float = 0.0

    def start(self, callers: int, lasts_s: float) -> threading.Thread:
        """Send from a thread of its own, and return it."""
        thread = threading.Thread(
            target=asyncio.run, args=(self._send_all(callers, lasts_s),)
        )
        thread.start()
        return thread

    async def _send_all(self, callers: int, lasts_s: float) -> None:
        end_s = monotonic() + lasts_s
        await asyncio.gather(
            *[self._send(caller, end_s) for caller in range(callers)]
        )

    async def _send(self, caller: int, end_s: float) -> None:
        host, _, port = self.address.rpartition(':')
        number = 0
        while monotonic() < end_s:
            reader, writer = await asyncio.open_connection(host, int(port))
            number += 1
            start_s = monotonic()
            reading = asyncio.create_task(_read_status(reader))
            try:
                writer.write(self._head(f'endless-{caller}-{number}'))
                while monotonic() < end_s and not reading.done():
                    writer.write(self.piece)
                    await asyncio.sleep(self.interval_s)
                    async with asyncio.timeout_at(
                        asyncio.get_running_loop().time() + end_s - monotonic()
                    ):
                        await writer.drain()
            except (OSError, TimeoutError):
                pass
            self.longest_s = max(self.longest_s, monotonic() - start_s)
            if monotonic() < end_s:
                self.statuses.append(await reading)
            reading.cancel()
            writer.transport.abort()
            await asyncio.sleep(_CONNECT_AGAIN_S)

    def _head(self, request_id: str) -> bytes:
        lines = (
            'POST /records/1 HTTP/1.1',
            f'Host: {HOST}',
            f'{PREFIX}Request-Id: {request_id}',
            f'{PREFIX}Deadline-Ms: {self.deadline_ms}',
            f'Authorization: Token {KEY}',
            'Transfer-Encoding: chunked\r\n\r\n',
        )
        return '\r\n'.join(lines).encode()


async def _read_status(reader: asyncio.StreamReader) -> str:
    """Return the status of the answer, '' if there is none."""
    try:
        line = await reader.readline()
        await reader.read()
    except OSError:
        return ''
    fields = line.decode('latin1').split()
    return fields[1] if len(fields) > 1 else ''
