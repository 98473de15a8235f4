"""Send requests like a client of the platform."""

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field

PREFIX = 'X-Lacewingstack-'
CONNECT_TIMEOUT_S = 1.0


@dataclass
class Answer:
    """Hold what a client saw of one request; status 0 if there is none.

    ``is_whole``: the answer came to its end. ``events`` are those of a
    stream, as far as they came.
    """

    request_id: str
    sent_s: float
    status: int = 0
    is_whole: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def events(self) -> list[bytes]:
        """Return the whole events of a stream."""
        return self.body.split(b'\n\n')[:-1]


class Connection:
    """Hold one connection to a router, for one request at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the next request may use the connection."""
        return self._writer is not None and not self._writer.is_closing()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def send(
        self,
        request_id: str,
        path: str,
        host: str,
        headers: dict[str, str],
        body: bytes = b'',
        method: str = 'POST',
        limit_s: float = 10.0,
    ) -> Answer:
        """Send a request and read its answer to the end."""
        answer = Answer(request_id, time.monotonic())
        try:
            async with asyncio.timeout(limit_s):
                await self._send(answer, path, host, headers, body, method)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        except ValueError:
            answer.is_whole = False
            self.close()
        return answer

    async def _send(
        self,
        answer: Answer,
        path: str,
        host: str,
        headers: dict[str, str],
        body: bytes,
        method: str,
    ) -> None:
        if not self.is_open:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    *self._address
                )
        assert self._reader is not None and self._writer is not None
        lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
        all_headers = {PREFIX + 'Request-Id': answer.request_id, **headers}
        for name, value in all_headers.items():
            lines.append(f'{name}: {value}')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        answer.sent_s = time.monotonic()
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await self._writer.drain()
        await self._read(answer, self._reader)

    async def _read(
        self, answer: Answer, reader: asyncio.StreamReader
    ) -> None:
        line = await reader.readuntil(b'\r\n')
        status = int(line.split()[1])
        while True:
            line = await reader.readuntil(b'\r\n')
            if line == b'\r\n':
                break
            name, _, value = line.decode('latin1').partition(':')
            answer.headers[name.strip().lower()] = value.strip()
        answer.status = status
        if answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += piece[:-2]
        else:
            length = int(answer.headers.get('content-length', '0'))
            answer.body = await reader.readexactly(length)
        answer.is_whole = True
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()
