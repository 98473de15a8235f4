"""Feed readers with any bytes in any cut."""

import asyncio
import gc
import logging
from typing import Any

import msgspec
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as draw
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct import UpstreamReport
from lacewing_daemon.direct._attempt import Attempt
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._events import EventSplitter
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._read_bounds import MAX_HELD_BYTES
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_platform import PlatformWire
from lacewing_platform._documents import decode_report
from support.direct_bench import PREFIX
from tornado.httputil import HTTPHeaders

WAIT_S = 0.5
ANSWERS = 150
# Beside load the first draw alone may take longer than that check allows.
CHECKED = settings(
    deadline=None,
    derandomize=True,
    suppress_health_check=(HealthCheck.too_slow,),
)
NAME = 'request-1'
PARTS = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 503 Busy\r\n',
    f'{PREFIX}Request-Id: {NAME}\r\n'.encode(),
    f'{PREFIX}Request-Id: another\r\n'.encode(),
    f'{PREFIX}Response-Signature: signed\r\n'.encode(),
    f'{PREFIX}Not-Executed: 1\r\n'.encode(),
    b'Content-Length: 5\r\n',
    b'Content-Length: 99999999999\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Content-Type: application/json\r\n',
    b'\r\n',
    b'5\r\nhello\r\n',
    b'0\r\n\r\n',
    b'ffffffff\r\n',
    b'id: 1\ndata: x\n\n',
)
PIECES = draw.lists(
    draw.one_of(draw.sampled_from(PARTS), draw.binary(max_size=40)),
    max_size=14,
)
SEPARATORS = (b'\n\n', b'\r\n\r\n', b'\r\r')


class _ErrorCounter(logging.Handler):
    """Keep what asyncio and tornado report as unhandled."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.records: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.records.append(record.getMessage())


@when('an upstream answers with any bytes in any cut')
def step_answer(context: Context) -> None:
    """Send a request for each drawn answer."""
    context.ends = []
    counter = _ErrorCounter()
    logging.getLogger('asyncio').addHandler(counter)

    @settings(CHECKED, max_examples=ANSWERS)
    @for_any(PIECES, draw.booleans())
    def send(pieces: list[bytes], is_stream: bool) -> None:
        context.ends.append(asyncio.run(_send(pieces, is_stream)))

    try:
        send()
    finally:
        # An error of a task that nobody awaits shows once it is collected.
        gc.collect()
        logging.getLogger('asyncio').removeHandler(counter)
    context.errors = counter.records


async def _send(pieces: list[bytes], is_stream: bool) -> AttemptEnd:
    """Answer one request with pieces and close the connection."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def on_events(_head: ReplyHead, _events: list[bytes]) -> None:
        return

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    address = f'127.0.0.1:{port}'
    headers = HTTPHeaders({PREFIX + 'Request-Id': NAME})
    request = CallerRequest(
        'GET', '/a/1', 'host', NAME, headers, b'', 0.0, 1.0, '', None, None
    )
    attempt = Attempt(
        request,
        PlatformWire(),
        lambda head: None,
        on_events if is_stream else None,
    )
    upstream = Upstream('up', 'a', address, 'east', 4, False, {})
    pool = ConnectionPool()
    try:
        return await attempt.run(
            pool,
            UpstreamState(upstream),
            Dispatch('up', 1.0),
            False,
            WAIT_S,
            WAIT_S,
            4,
        )
    finally:
        pool.close()
        server.close()
        # The reader of a closed connection ends in the next iteration.
        await asyncio.sleep(0)


@then('each request ends, and no reader with an error')
def step_ended(context: Context) -> None:
    """Check what is held and that no task ended with an exception."""
    assert len(context.ends) >= ANSWERS, len(context.ends)
    for end in context.ends:
        assert len(end.body) <= MAX_HELD_BYTES, len(end.body)
    assert not context.errors, context.errors


@when('a stream of any bytes is split in any cut')
def step_split(context: Context) -> None:
    """Feed the same bytes whole and in pieces."""
    context.splits = []
    texts = draw.lists(
        draw.one_of(
            draw.sampled_from((b'\n', b'\r', b'\r\n', b'data: x')),
            draw.binary(max_size=6),
        ),
        max_size=20,
    )

    @CHECKED
    @for_any(texts)
    def split(pieces: list[bytes]) -> None:
        whole = EventSplitter()
        in_pieces = EventSplitter()
        events = []
        for piece in pieces:
            events.extend(in_pieces.feed(piece))
        context.splits.append(
            (
                b''.join(pieces),
                (whole.feed(b''.join(pieces)), whole.remainder),
                (events, in_pieces.remainder),
            )
        )

    split()


@then('its events and their remainder are those bytes, cut after blank lines')
def step_are_bytes(context: Context) -> None:
    """Compare both ways with the bytes."""
    for sent, whole, in_pieces in context.splits:
        for events, remainder in (whole, in_pieces):
            assert b''.join(events) + remainder == sent
            assert all(event.endswith(SEPARATORS) for event in events)
            assert not any(one in remainder for one in SEPARATORS), remainder


@when('an upstream reports any bytes or any JSON')
def step_report(context: Context) -> None:
    """Decode drawn reports."""
    context.reports = []
    names = draw.sampled_from(
        ('Models', 'Sequence', 'Busy', 'KvUsed', 'Next', 'born', 'other')
    )
    plain = draw.one_of(
        draw.none(), draw.booleans(), draw.integers(), draw.text(max_size=5)
    )
    entries = draw.dictionaries(
        draw.sampled_from(('Name', 'Version', 'x')), plain, max_size=3
    )
    values = draw.one_of(plain, draw.lists(entries, max_size=3))

    @CHECKED
    @for_any(
        draw.one_of(
            draw.binary(), draw.dictionaries(names, values, max_size=7)
        )
    )
    def report(drawn: Any) -> None:
        text = drawn
        if not isinstance(drawn, bytes):
            text = msgspec.json.encode(drawn)
        try:
            context.reports.append(decode_report(text))
        except DECODE_ERRORS:
            context.reports.append(None)

    report()


@then('it is read, or refused as malformed')
def step_report_read(context: Context) -> None:
    """Check the types of what was read."""
    for report in context.reports:
        if report is None:
            continue
        assert isinstance(report, UpstreamReport), report
        assert isinstance(report.accepted_orders, int), report
