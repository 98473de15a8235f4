"""Make attempts at fake upstreams, without a router."""

import asyncio
from collections.abc import Iterable

from lacewing_common.verdict import Verdict
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Dispatch
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._attempt import Attempt
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_platform import PlatformWire
from lacewing_platform_testing import FakeUpstream
from tornado.httputil import HTTPHeaders

LIMIT_S = 2.0


def caller_request(request_id: str) -> CallerRequest:
    """Return a request for a record."""
    headers = HTTPHeaders({'X-Lacewingstack-Request-Id': request_id})
    return CallerRequest(
        'GET',
        '/records/1',
        'host',
        request_id,
        headers,
        b'',
        0.0,
        None,
        '',
        None,
        None,
    )


async def send_once(fake: FakeUpstream, request_id: str) -> AttemptEnd:
    """Send one request on a connection of its own."""
    pool = ConnectionPool()
    dispatch = Dispatch(fake.upstream_id, LIMIT_S)
    try:
        return await _send(fake, pool, caller_request(request_id), dispatch)
    finally:
        pool.close()


async def send_all(
    fake: FakeUpstream, sends: Iterable[tuple[CallerRequest, Dispatch]]
) -> list[Verdict]:
    """Send requests one after the other over the connections of one pool."""
    ends = await send_each(fake, sends)
    return [end.verdict for end in ends]


async def send_each(
    fake: FakeUpstream,
    sends: Iterable[tuple[CallerRequest, Dispatch]],
    pause_s: float = 0.0,
) -> list[AttemptEnd]:
    """Send requests over one pool, with a pause after each."""
    pool = ConnectionPool()
    ends = []
    try:
        for request, dispatch in sends:
            ends.append(await _send(fake, pool, request, dispatch))
            await asyncio.sleep(pause_s)
    finally:
        pool.close()
    return ends


async def _send(
    fake: FakeUpstream,
    pool: ConnectionPool,
    request: CallerRequest,
    dispatch: Dispatch,
) -> AttemptEnd:
    upstream = Upstream(
        fake.upstream_id, 'a', fake.server.address, 'east', 4, False, {}
    )
    attempt = Attempt(request, PlatformWire(), lambda head: None, None)
    return await attempt.run(
        pool, UpstreamState(upstream), dispatch, True, LIMIT_S, LIMIT_S, 1
    )
