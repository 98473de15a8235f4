"""Check that responses cut off on TLS connections did not arrive."""

import asyncio
import socket
import ssl
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.certificates import make_authority
from lacewing_bench.certificates import write_certificate
from lacewing_common.platform_http import HttpAnswer
from lacewing_common.platform_http import HttpCall
from lacewing_common.platform_http import HttpClient
from lacewing_common.platform_http import NoHttpAnswer
from lacewing_common.settings import TlsFiles
from support.cutting_server import CHUNKS
from support.cutting_server import CLOSED
from support.cutting_server import LENGTH
from support.cutting_server import Response

CALLS_AT_ONCE = 8
TIMEOUT_S = 5.0
CUT_STEP = 3


@when('a {method} over TLS gets responses cut off, {notified} a notification')
def step_cut(context: Context, method: str, notified: str) -> None:
    """Make a call for each cut, and one for each whole response."""
    folder = context.resources.enter_context(TemporaryDirectory())
    files = write_certificate(make_authority('fleet'), 'store', Path(folder))
    context.answers = asyncio.run(
        _call_all(files, method.upper(), notified == 'with')
    )


@then('no cut response arrived, and the whole ones did')
def step_arrived(context: Context) -> None:
    """Check what the caller learned of each."""
    assert len(context.answers) > len(LENGTH.head) / CUT_STEP
    for response, size, answer in context.answers:
        case = (response.name, size, answer)
        if size < len(response.whole):
            assert isinstance(answer, NoHttpAnswer), case
            assert answer.may_be_sent, case
            continue
        assert isinstance(answer, HttpAnswer), case
        assert answer.body == LENGTH.body, case


async def _call_all(
    files: TlsFiles, method: str, notifies: bool
) -> list[tuple[Response, int, HttpAnswer | NoHttpAnswer]]:
    cut = b''

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(cut)
            await writer.drain()
            if not notifies:
                sock = writer.get_extra_info('socket')
                sock.shutdown(socket.SHUT_WR)
        writer.close()
        with suppress(ConnectionError, ssl.SSLError):
            await writer.wait_closed()

    tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    tls.load_cert_chain(files.certificate, files.key)
    server = await asyncio.start_server(serve, '127.0.0.1', 0, ssl=tls)
    host, port = server.sockets[0].getsockname()
    found = []
    for response, size in _cuts(notifies):
        cut = response.whole[:size]
        client = HttpClient(
            f'https://{host}:{port}',
            CALLS_AT_ONCE,
            TIMEOUT_S,
            TIMEOUT_S,
            files.authority,
        )
        body = b'{}' if method == 'POST' else None
        call = HttpCall(method, '/objects', TIMEOUT_S, body=body)
        found.append((response, size, await client.call(call)))
        client.close()
    server.close()
    return found


def _cuts(notifies: bool) -> list[tuple[Response, int]]:
    """Return sizes inside heads and framed bodies, and the whole sizes.

    Without framing a body ends with its connection.
    """
    cuts: list[tuple[Response, int]] = []
    for response in (LENGTH, CHUNKS, CLOSED):
        end = len(response.whole)
        if not response.is_framed:
            end = len(response.head)
        sizes = range(1, end, CUT_STEP)
        cuts.extend((response, size) for size in sizes)
        if notifies or response.is_framed:
            cuts.append((response, len(response.whole)))
    return cuts
