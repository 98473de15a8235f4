"""Answer calls, and send each answer's copies to later calls."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

_HEAD_END = b'\r\n\r\n'
_HEAD = (
    b'HTTP/1.1 %s\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n'
)
_BODY = b'{"held":1,"blocks":1,"fence":7}'
_OTHER_BODY = b'{"held":0,"blocks":0,"fence":0}'
OTHER_STATUS = 503
ANSWER = _HEAD % (b'200 OK', len(_BODY)) + _BODY
# Stands for the late copy of an earlier answer that was another one.
EARLIER = _HEAD % (b'503 Other', len(_OTHER_BODY)) + _OTHER_BODY
# How long a call takes, so that copies arrive while one is under way.
_ANSWER_S = 0.01


@dataclass(frozen=True)
class Copies:
    """Say when earlier answers come once more.

    ``delay_s`` after each answer; None: before the next answer on the
    connection.
    """

    delay_s: float | None = None


class CopyingServer:
    """Answer every call, on a connection that stays open."""

    def __init__(self, copies: Copies) -> None:
        self.address = ''
        self.calls = 0
        self.connections = 0
        self._copies = copies
        self._server: asyncio.Server | None = None
        self._late: set[asyncio.TimerHandle] = set()

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening; send no more copies."""
        if self._server is not None:
            self._server.close()
        for timer in self._late:
            timer.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        is_first = True
        try:
            while True:
                await _read_request(reader)
                self.calls += 1
                if self._copies.delay_s is None and not is_first:
                    writer.write(EARLIER)
                is_first = False
                await asyncio.sleep(_ANSWER_S)
                writer.write(ANSWER)
                self._copy_later(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The client closed the connection.
            return
        finally:
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()

    def _copy_later(self, writer: asyncio.StreamWriter) -> None:
        if self._copies.delay_s is None:
            return
        loop = asyncio.get_running_loop()
        self._late.add(
            loop.call_later(self._copies.delay_s, _write, writer, EARLIER)
        )


def _write(writer: asyncio.StreamWriter, answer: bytes) -> None:
    if not writer.is_closing():
        writer.write(answer)


async def _read_request(reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(_HEAD_END)).decode('latin1').lower()
    for line in head.split('\r\n'):
        name, _, value = line.partition(':')
        if name == 'content-length':
            await reader.readexactly(int(value))
