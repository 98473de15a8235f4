"""Send responses up to a byte and close or reset the connection."""

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass

# Without a delay a reset overtakes the bytes sent before it.
_RESET_DELAY_S = 0.002
# Of the bytes of a head that another response has as well, the last ones.
_LAST_BYTES = 25
# Resets and second responses are cut at each such byte.
_STEP = 3
_HEAD_END = b'\r\n\r\n'
_LINGER_RESET = struct.pack('ii', 1, 0)
BODY = b'{"held":1,"blocks":1,"fence":7}'
PREFIX = 'X-Lacewingstack-'
_TYPE = b'Content-Type: application/json\r\n'
_NAMES = b'X-Lacewingstack-Request-Id: cut-1\r\n'
_OK_LINE = b'HTTP/1.1 200 OK\r\n'
_LENGTH = b'Content-Length: %d\r\n' % len(BODY)
_INTERIM = (
    b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n'
)


@dataclass(frozen=True)
class Response:
    """Hold a response; without framing its body ends with its connection."""

    name: str
    head: bytes
    body: bytes = b''
    is_framed: bool = True

    @property
    def whole(self) -> bytes:
        """Return all of its bytes."""
        return self.head + self.body


@dataclass(frozen=True)
class Cut:
    """Hold what is sent on a connection and how it ends.

    ``before`` is sent in response to the first request of all.
    """

    name: str
    sent: bytes
    reset: bool = False
    slow: bool = False
    before: bytes = b''


LENGTH = Response(
    'length', _OK_LINE + _NAMES + _TYPE + _LENGTH + b'\r\n', BODY
)
CHUNKS = Response(
    'chunks',
    _OK_LINE + _NAMES + b'Transfer-Encoding: chunked\r\n\r\n',
    b'%x\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY),
)
TRAILERS = Response(
    'trailers',
    CHUNKS.head,
    b'%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n' % (len(BODY), BODY),
)
CLOSED = Response('closed', _OK_LINE + _NAMES + b'\r\n', BODY, False)
INTERIM = Response(
    'interim', _INTERIM + _OK_LINE + _NAMES + _LENGTH + b'\r\n', BODY
)
EMPTY = Response('empty', _OK_LINE + _NAMES + b'Content-Length: 0\r\n\r\n')
NO_CONTENT = Response(
    'no content', b'HTTP/1.1 204 No Content\r\n' + _NAMES + b'\r\n'
)
NOT_MODIFIED = Response(
    'not modified',
    b'HTTP/1.1 304 Not Modified\r\n' + _NAMES + b'Content-Length: 9\r\n\r\n',
)
MISSING = Response(
    'missing', b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
)
CONFLICT = Response(
    'conflict',
    b'HTTP/1.1 409 Conflict\r\nContent-Length: 11\r\n\r\n',
    b'{"fence":9}',
)
WITH_BODY = (LENGTH, CHUNKS, TRAILERS, CLOSED, INTERIM)
BODILESS = (NO_CONTENT, NOT_MODIFIED)


def head_cuts(is_reusing: bool) -> list[Cut]:
    """Return cuts at the bytes of heads, each closed and some reset.

    ``is_reusing``: also cut the second response on a connection.
    """
    cuts: list[Cut] = []
    for response, first in (
        (LENGTH, 1),
        (MISSING, 1),
        (CONFLICT, 1),
        (INTERIM, 1),
        (CLOSED, len(CLOSED.head) - _LAST_BYTES),
        (EMPTY, len(EMPTY.head) - _LAST_BYTES),
    ):
        for size in range(first, len(response.head)):
            name = f'{response.name} after {size} bytes'
            cuts.append(Cut(name, response.head[:size]))
    for size in range(1, len(LENGTH.head), _STEP):
        sent = LENGTH.head[:size]
        cuts.append(Cut(f'length reset after {size} bytes', sent, True))
        if is_reusing:
            name = f'second after {size} bytes'
            cuts.append(Cut(name, sent, before=LENGTH.whole))
    return cuts


def body_cuts() -> list[Cut]:
    """Return cuts at the bytes of bodies, closed and reset."""
    cuts: list[Cut] = []
    for response in (LENGTH, CHUNKS, TRAILERS, CLOSED):
        for size in range(len(response.body)):
            sent = response.head + response.body[:size]
            name = f'{response.name} after {size} bytes of its body'
            if response.is_framed:
                cuts.append(Cut(name, sent))
            if size % _STEP == 0:
                cuts.append(Cut(f'{name}, reset', sent, True))
    cuts.append(Cut('closed with a reset', CLOSED.whole, True))
    return cuts


def whole(responses: tuple[Response, ...]) -> list[Cut]:
    """Return whole responses, sent at once and a byte at a time."""
    found: list[Cut] = []
    for response in responses:
        found.append(Cut(response.name, response.whole))
        found.append(Cut(f'{response.name}, slow', response.whole, slow=True))
    return found


class CuttingServer:
    """Send one cut at a time."""

    def __init__(self) -> None:
        self.address = ''
        self._cut = Cut('nothing', b'')
        self._before = b''
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def send(self, cut: Cut) -> None:
        """Send a cut from now on; wait until earlier connections closed."""
        for writer in tuple(self._connections):
            with suppress(ConnectionError):
                await writer.wait_closed()
        self._cut = cut
        self._before = cut.before

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            if self._before:
                await _read_request(reader)
                writer.write(self._before)
                self._before = b''
            await _read_request(reader)
            await _send(self._cut, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The client closes its connections when it is closed.
            return
        finally:
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()
            self._connections.discard(writer)


async def _read_request(reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(_HEAD_END)).decode('latin1').lower()
    for line in head.split('\r\n'):
        name, _, value = line.partition(':')
        if name == 'content-length':
            await reader.readexactly(int(value))


async def _send(cut: Cut, writer: asyncio.StreamWriter) -> None:
    if not cut.slow:
        writer.write(cut.sent)
        await writer.drain()
    for number in range(len(cut.sent) if cut.slow else 0):
        writer.write(cut.sent[number : number + 1])
        await writer.drain()
        await asyncio.sleep(0)
    if not cut.reset:
        return
    await asyncio.sleep(_RESET_DELAY_S)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()
