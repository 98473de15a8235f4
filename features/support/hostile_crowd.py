"""Play callers that hold what a router keeps for them for as long as it lets.

The callers run on an event loop in a thread of their own, and write and read
raw bytes.
"""

import asyncio
import socket
import threading
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from support.direct_bench import HOST
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT

ARRIVAL_GAP_S = 0.02
# A router may leave callers without any answer.
_ACT_S = 5.0
_SMALL_BUFFER_BYTES = 4096
_READ_BYTES = 2048
_READ_INTERVAL_S = 1.0
_DEADLINE_MS = 60000
_TAIL_BYTES = 64


@dataclass
class Crowd:
    """Run ``count`` callers at an address, one after the other.

    ``statuses`` has the status that each connection got first, '' for none;
    with ``returns`` a caller whose connection is closed opens another one.
    """

    address: str
    count: int
    behaviour: 'Behaviour'
    returns: bool = False
    statuses: list[str] = field(default_factory=list)
    _thread: threading.Thread | None = None
    _loop: asyncio.AbstractEventLoop | None = None
    _arrived: threading.Event = field(default_factory=threading.Event)
    _stopping: asyncio.Event | None = None
    _streams: list[asyncio.StreamWriter] = field(default_factory=list)

    def arrive(self) -> None:
        """Start all callers; return when they have done what they do."""
        self._thread = threading.Thread(
            target=asyncio.run, args=(self._run(),)
        )
        self._thread.start()
        self._arrived.wait()

    def leave(self) -> None:
        """Close all connections."""
        assert self._thread is not None and self._loop is not None
        assert self._stopping is not None
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join()

    async def _run(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        tasks = []
        done = []
        for number in range(self.count):
            acted = asyncio.Event()
            done.append(acted)
            tasks.append(asyncio.create_task(self._call(number, acted)))
            await asyncio.sleep(ARRIVAL_GAP_S)
        acting = asyncio.gather(*[acted.wait() for acted in done])
        await asyncio.wait((acting,), timeout=_ACT_S)
        self._arrived.set()
        await self._stopping.wait()
        acting.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in self._streams:
            writer.transport.abort()

    async def _call(self, number: int, acted: asyncio.Event) -> None:
        tries = 0
        while True:
            tries += 1
            try:
                await self._connect(f'crowd-{number}-{tries}', acted)
            except OSError:
                pass
            acted.set()
            if not self.returns:
                return
            await asyncio.sleep(ARRIVAL_GAP_S)

    async def _connect(self, request_id: str, acted: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(':')
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
        )
        await loop.sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=_READ_BYTES
        )
        self._streams.append(writer)
        status = await self.behaviour(request_id, reader, writer, acted)
        self.statuses.append(status)
        if self.returns:
            writer.transport.abort()
            self._streams.remove(writer)


Behaviour = Callable[
    [str, asyncio.StreamReader, asyncio.StreamWriter, asyncio.Event],
    Awaitable[str],
]


def head(
    request_id: str,
    path: str,
    method: str = 'GET',
    version: str = 'HTTP/1.1',
    **fields: str,
) -> bytes:
    """Return the head of a request with a long time limit."""
    named = {
        'Host': HOST,
        PREFIX + 'Request-Id': request_id,
        PREFIX + 'Deadline-Ms': str(_DEADLINE_MS),
        'Authorization': f'Token {KEY}',
    }
    if method == 'POST' and path.startswith(('/long/', '/chat/')):
        named.update(PROMPT)
    for name, value in fields.items():
        named[name.replace('_', '-')] = value
    text = f'{method} {path} {version}\r\n'
    for name, value in named.items():
        text += f'{name}: {value}\r\n'
    return text.encode() + b'\r\n'


def reads_slowly(path: str, method: str, version: str) -> Behaviour:
    """Ask, and read two KiB each second."""

    async def act(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        acted: asyncio.Event,
    ) -> str:
        body = b'prompt' if method == 'POST' else b''
        fields = {'Content_Length': str(len(body))} if body else {}
        writer.write(head(request_id, path, method, version, **fields) + body)
        acted.set()
        status = ''
        while piece := await reader.read(_READ_BYTES):
            status = status or _status(piece)
            await asyncio.sleep(_READ_INTERVAL_S)
        return status

    return act


def reads_nothing(path: str) -> Behaviour:
    """Ask, and never read."""

    async def act(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        acted: asyncio.Event,
    ) -> str:
        reading = writer.transport
        assert isinstance(reading, asyncio.Transport)
        reading.pause_reading()
        writer.write(head(request_id, path))
        acted.set()
        await asyncio.Event().wait()
        return ''

    return act


def withholds_last_byte(
    size: int, path: str = '/certificates/1', key: str = f'Token {KEY}'
) -> Behaviour:
    """Send a body but for its last byte."""
    fields = {'Content_Length': str(size), 'Authorization': key}
    body = b'x' * (size - 1)
    return _sends(lambda own: head(own, path, 'POST', **fields) + body)


def sends_endless_head(size: int) -> Behaviour:
    """Send a part of a head, and never its end."""
    filler = 'x' * size
    return _sends(
        lambda own: head(own, '/records/1', X_Filler=filler)[:-_TAIL_BYTES]
    )


def sends_tiny_chunks(count: int) -> Behaviour:
    """Send a body in chunks of one byte."""
    fields = {'Transfer_Encoding': 'chunked'}
    body = b'1\r\nx\r\n' * count + b'0\r\n\r\n'
    return _sends(
        lambda own: head(own, '/certificates/1', 'POST', **fields) + body
    )


def stays_idle(asks_first: bool) -> Behaviour:
    """Send nothing, or one request, and keep the connection."""

    async def act(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        acted: asyncio.Event,
    ) -> str:
        if asks_first:
            writer.write(head(request_id, '/records/1'))
        status = ''
        while True:
            if not asks_first or status:
                acted.set()
            piece = await reader.read(_READ_BYTES)
            if not piece:
                return status
            status = status or _status(piece)

    return act


def _sends(make: Callable[[str], bytes]) -> Behaviour:
    """Send what is made for an id of a request, and wait for an answer."""

    async def act(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        acted: asyncio.Event,
    ) -> str:
        writer.write(make(request_id))
        return await _drain_and_read(reader, writer, acted)

    return act


async def _drain_and_read(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    acted: asyncio.Event,
) -> str:
    reading = asyncio.create_task(reader.read(_READ_BYTES))
    draining = asyncio.create_task(writer.drain())
    await asyncio.wait(
        (reading, draining), return_when=asyncio.FIRST_COMPLETED
    )
    acted.set()
    try:
        return _status(await reading)
    finally:
        draining.cancel()


def _status(piece: bytes) -> str:
    fields = piece.split(b' ', 2)
    return fields[1].decode() if len(fields) > 1 else ''
