"""Send streams through a reply to callers that are plain sockets."""

import asyncio
import socket
from dataclasses import dataclass
from dataclasses import field

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.router._reply import CallerReply
from lacewing_daemon.router._reply import EVENT_STREAM_TYPE
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application
from tornado.web import RequestHandler

LIMIT_S = 30.0
HEAD_END = b'\r\n\r\n'
LETTERS = b'abcdefghijklmnopqrstuvwxyz'


@dataclass
class Plan:
    """Hold what the handler sends and what it saw."""

    version: str = 'HTTP/1.1'
    repeats: int = 1
    slow: bool = False
    pieces: tuple[bytes, ...] = ()
    nodelay: list[int] = field(default_factory=list)
    body: bytes = b''


class StreamHandler(RequestHandler):
    """Send the planned pieces through a reply."""

    def initialize(self, plan: Plan) -> None:
        """Take the plan."""
        self.plan = plan

    async def get(self) -> None:
        """Send the pieces; note the socket's option before each."""
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        reply = CallerReply(self, 'r1')
        await reply.start(200, EVENT_STREAM_TYPE)
        for piece in self.plan.pieces:
            raw: socket.socket = connection.stream.socket
            option = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.plan.nodelay.append(option)
            await reply.write(piece)
        await reply.end()


@given('a caller on a kept connection that had an answer before')
def given_kept(context: Context) -> None:
    """Plan two requests on one connection."""
    context.plan = Plan(repeats=2)


@given('a caller that speaks {version}')
def given_version(context: Context, version: str) -> None:
    """Plan one request."""
    words = version.split()
    context.plan = Plan(version=words[0], slow=len(words) > 1)


@when('it is sent a stream of the pieces {first}, {second} and {third}')
def send_pieces(context: Context, first: str, second: str, third: str) -> None:
    """Send three pieces."""
    pieces = [first, second, third]
    context.plan.pieces = tuple(
        b'' if piece == 'nothing' else piece.encode() for piece in pieces
    )
    asyncio.run(_run(context.plan))


@when('it is sent a stream of {count:d} pieces of {size:d} bytes')
def send_large(context: Context, count: int, size: int) -> None:
    """Send large pieces, each of another letter."""
    context.plan.pieces = tuple(
        LETTERS[n % len(LETTERS)].to_bytes() * size for n in range(count)
    )
    asyncio.run(_run(context.plan))


@then('the socket sends small pieces at once while the stream lasts')
def sends_at_once(context: Context) -> None:
    """Check the option before each piece of each answer."""
    seen = context.plan.nodelay
    assert len(seen) == len(context.plan.pieces) * context.plan.repeats
    assert all(seen), seen


@then('it reads "{body}"')
def reads(context: Context, body: str) -> None:
    """Compare the bytes after the head."""
    expected = body.encode().decode('unicode_escape').encode()
    assert context.plan.body == expected, context.plan.body


@then('it reads {count:d} bytes in the order sent')
def reads_all(context: Context, count: int) -> None:
    """Compare all bytes."""
    assert len(context.plan.body) == count, len(context.plan.body)
    assert context.plan.body == b''.join(context.plan.pieces)


async def _run(plan: Plan) -> None:
    listener, port = bind_unused_port()
    server = HTTPServer(Application([('/', StreamHandler, {'plan': plan})]))
    server.add_socket(listener)
    try:
        async with asyncio.timeout(LIMIT_S):
            await _call(plan, port)
    finally:
        server.stop()
        await server.close_all_connections()


async def _call(plan: Plan, port: int) -> None:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    request = f'GET / {plan.version}\r\nHost: test\r\n'
    for number in range(plan.repeats):
        last = number == plan.repeats - 1
        closing = 'Connection: close\r\n' if last else ''
        writer.write(f'{request}{closing}\r\n'.encode())
        await reader.readuntil(HEAD_END)
        if not last:
            await reader.readuntil(b'0\r\n\r\n')
    while plan.slow and not plan.nodelay:
        await asyncio.sleep(0)
    plan.body = await reader.read()
    writer.close()
