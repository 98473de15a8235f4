"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass

Headers = dict[str, str]


@dataclass(frozen=True)
class Message:
    """Hold a request or a response; header names are in lower case."""

    start_line: str
    headers: Headers
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start_line.split(' ')[0]

    @property
    def path(self) -> str:
        """Return the path of a request."""
        return self.start_line.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b'')


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a body; empty for the last one."""
    size = int((await reader.readline()).split(b';')[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    pieces = []
    try:
        if head.headers.get('transfer-encoding', '').lower() == 'chunked':
            while piece := await read_chunk(reader):
                pieces.append(piece)
        else:
            length = int(head.headers.get('content-length', '0'))
            pieces.append(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(head.start_line, head.headers, b''.join(pieces))


def format_head(start_line: str, headers: Headers) -> bytes:
    """Return the bytes of a start line and headers."""
    lines = [start_line]
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin1')


def format_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    headers = {**headers, 'Content-Length': str(len(body))}
    return format_head(f'HTTP/1.1 {status} -', headers) + body


def format_chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk; the last one has no data."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'
