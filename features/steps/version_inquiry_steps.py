"""Check what it takes to confirm the version of a stream without a record."""

import asyncio

from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.verdict import Verdict
from lacewing_daemon.direct._attempt import Attempt
from lacewing_daemon.direct._attempt import AttemptEnd
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._pool import ConnectionPool
from lacewing_daemon.direct._site import Changes
from lacewing_daemon.direct._site import Dispatch
from lacewing_daemon.direct._site import Listing
from lacewing_daemon.direct._site import LoadOrder
from lacewing_daemon.direct._site import OrderVerdict
from lacewing_daemon.direct._site import UpstreamReport
from lacewing_daemon.direct._store_calls import StoreCallCounter
from lacewing_daemon.direct._store_eras import StoreEras
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.origins import CurrentVersions
from lacewing_daemon.direct.origins import Question
from lacewing_daemon.direct.origins import StreamOrigin
from lacewing_platform._wire import PlatformWire
from lacewing_platform_testing._server import ReceivedRequest
from steps.out_of_step_steps import PATH
from support.direct_bench import direct_bench
from support.direct_bench import KEY
from support.direct_bench import PREFIX
from support.direct_bench import PROMPT
from support.origin_fleet import OriginFleet
from tornado.httputil import HTTPHeaders


async def _answer_nothing(_received: ReceivedRequest) -> None:
    await asyncio.Event().wait()


@when('engine "{name}" is {state}')
def step_state(context: Context, name: str, state: str) -> None:
    """Let it accept connections and answer nothing, if it is silent."""
    if state == 'silent':
        bench = direct_bench(context)
        bench.upstreams[name].server.handle = _answer_nothing


@when('{count:d} new streams are asked for at router 2')
def step_new_streams(context: Context, count: int) -> None:
    """Ask one after the other."""
    bench = direct_bench(context)
    context.began = 0
    for number in range(300, 300 + count):
        connection = bench.connect(1)
        answer = bench.ask_on(
            connection,
            PATH,
            KEY,
            'POST',
            b'prompt',
            **{
                **PROMPT,
                PREFIX + 'Prompt-Prefix': f'a{number}:100,b{number}:200',
            },
        )
        connection.close()
        context.began += answer.status == 200 and b'id: 1' in answer.body


@then('at least {count:d} new streams began')
def step_began(context: Context, count: int) -> None:
    """Count them."""
    assert context.began >= count, context.began


def _engine(name: str, service: str) -> Upstream:
    return Upstream(name, service, name, 'e', 4, False, {}, 5, 'v1')


class _Store:
    """List two services with two engines each."""

    async def read(self) -> Listing[Upstream]:
        """Answer within some ms."""
        await asyncio.sleep(0.005)
        entries = {}
        for name in ('a-1', 'a-2', 'b-1', 'b-2'):
            entries[name] = _engine(name, name[0])
        return Listing(entries, 1)

    async def changes(self, since: int, wait_s: float) -> Changes[Upstream]:
        """Report that nothing has changed."""
        return Changes((), since)


class _Control:
    """Report for all engines but one, which is silent."""

    async def report(self, upstream: Upstream) -> UpstreamReport | None:
        """Answer, or let the call time out as ``PlatformControl`` does."""
        if upstream.upstream_id == 'a-1':
            await asyncio.sleep(0.5)
            return None
        await asyncio.sleep(0.003)
        return UpstreamReport(0, False, {}, 5)

    async def load(
        self, _upstream: Upstream, _order: LoadOrder
    ) -> OrderVerdict:
        """Accept any order."""
        return OrderVerdict.ACCEPTED


@when('streams of two services are taken up, one with a silent engine')
def step_two_services(context: Context) -> None:
    """Take up 25 streams a second of each for 2 s."""

    async def take_up_all() -> None:
        current = CurrentVersions(
            _Store(),
            _Control(),
            lambda _service: True,
            StoreCallCounter(),
            StoreEras(),
        )
        calls = []
        for _ in range(50):
            for service in ('a', 'b'):
                call = asyncio.create_task(current.versions(service, True))
                calls.append((service, call))
            await asyncio.sleep(0.04)
        context.confirmed = {'a': 0, 'b': 0}
        for service, call in calls:
            context.confirmed[service] += await call is not None
        current.close()

    asyncio.run(take_up_all())


@then('at least {count:d} of 50 versions of the other one are confirmed')
def step_confirmed(context: Context, count: int) -> None:
    """Count them."""
    assert context.confirmed['b'] >= count, context.confirmed


@when('streams of {count:d} routers in calm are taken up at other ones')
def step_calm(context: Context, count: int) -> None:
    """Begin a stream at each router, and take it up at the next one."""
    fleet = OriginFleet(count)
    addresses = list(fleet.routers)
    for address in addresses:
        fleet.present[address] = [_engine('b-1', 'b')]
        fleet.routers[address].confirm_upstreams(0.0)
    fleet.now_s = 200.0
    for address in addresses:
        fleet.routers[address].confirm_upstreams(0.0)

    async def take_up_all() -> None:
        for number, address in enumerate(addresses):
            key = number.to_bytes(16, 'big')
            router = fleet.routers[address]
            router.record(key, StreamOrigin('b', 'v1'), 10.0)
            other = fleet.routers[addresses[(number + 1) % count]]
            found = await other.find(Question(key, 'b', 20.0))
            assert isinstance(found, StreamOrigin), found

    asyncio.run(take_up_all())
    context.asked_engines = fleet.asked_engines


@then('no inquiry asks the engines')
def step_no_engines(context: Context) -> None:
    """Check the inquiries of all routers."""
    assert context.asked_engines == 0, context.asked_engines


@when('an upstream closes a connection while its start is asked for')
def step_closes(context: Context) -> None:
    """Close each connection at once; the start is confirmed 0.05 s later."""

    async def close_at_once(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.close()

    async def may_send(_opened_s: float) -> bool:
        await asyncio.sleep(0.05)
        return True

    async def attempt() -> None:
        server = await asyncio.start_server(close_at_once, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        state = UpstreamState(
            Upstream('a', 'a', f'{host}:{port}', 'e', 4, False, {}, 5, 'v1')
        )
        request = CallerRequest(
            'POST', '/', 'h', 'id', HTTPHeaders(), b'', 0.0, 9.0, '', None, '1'
        )
        sent = Attempt(request, PlatformWire(), lambda _head: None, None)
        dispatch = Dispatch('a', 1.0)
        try:
            context.end = await sent.run(
                ConnectionPool(),
                state,
                dispatch,
                True,
                0.5,
                0.5,
                1,
                may_send=may_send,
            )
        except Exception as error:
            context.end = error
        server.close()

    asyncio.run(attempt())


@then('the attempt ends as one that was not sent')
def step_not_sent(context: Context) -> None:
    """Check its verdict."""
    end = context.end
    assert isinstance(end, AttemptEnd), repr(end)
    assert end.verdict is Verdict.NOT_RUN, end
