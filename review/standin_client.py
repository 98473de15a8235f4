"""Stand in for the clients."""

import asyncio
from dataclasses import dataclass

from standin_http import format_head
from standin_http import Headers
from standin_http import read_chunk
from standin_http import read_head

CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Answer:
    """Hold what a client got; ``status`` 0 means a closed connection."""

    status: int
    headers: Headers
    pieces: tuple[bytes, ...] = ()
    complete: bool = False


async def ask(
    host: str, port: int, path: str, headers: Headers, body: bytes
) -> Answer:
    """Send one request on a new connection and read its answer."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return Answer(0, {})
    headers = {**headers, 'Content-Length': str(len(body))}
    pieces: list[bytes] = []
    try:
        writer.write(format_head(f'POST {path} HTTP/1.1', headers) + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Answer(0, {})
        complete = False
        try:
            if 'transfer-encoding' in head.headers:
                while piece := await read_chunk(reader):
                    pieces.append(piece)
            else:
                length = int(head.headers.get('content-length', '0'))
                pieces.append(await reader.readexactly(length))
            complete = True
        except (asyncio.IncompleteReadError, ValueError):
            complete = False
        return Answer(head.status, head.headers, tuple(pieces), complete)
    except ConnectionError:
        return Answer(0, {}, tuple(pieces))
    finally:
        writer.close()
