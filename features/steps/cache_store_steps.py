"""Check what an agent imports from and exports to the kept cache."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.wire import CacheReport
from lacewing_daemon.agent._cache import CacheKnowledge
from lacewing_daemon.agent._cache import Run
from lacewing_daemon.agent._kv_client import KvClient
from support.cache_bench import ignore
from support.cache_bench import PROMPT
from support.cache_bench import run
from support.cache_bench import start_of


class FakeMover:
    """Hold blocks in memory and count what is moved."""

    def __init__(self, kept: tuple[bytes, ...] = (), pause_s: float = 0.0):
        self.kept = set(kept)
        self.pause_s = pause_s
        self.asked = False
        self.imports: list[tuple[bytes, ...]] = []
        self.exports: list[tuple[bytes, ...]] = []

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Return how many leading blocks are kept."""
        count = 0
        for each in blocks:
            if each not in self.kept:
                break
            count += 1
        return count

    async def import_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Count an import."""
        self.imports.append(blocks)
        await asyncio.sleep(self.pause_s * len(blocks))
        return len(blocks)

    async def export_blocks(self, blocks: tuple[bytes, ...]) -> int:
        """Count an export."""
        self.exports.append(blocks)
        self.kept.update(blocks)
        return len(blocks)

    def close(self) -> None:
        """Hold nothing open."""


def shared_blocks() -> tuple[bytes, ...]:
    """Return the blocks of the prompt's shared levels."""
    return PROMPT.blocks[: PROMPT.levels[-1]]


def knowledge_with(context: Context, mover: FakeMover) -> None:
    """Give an agent a store."""
    context.mover = mover
    context.knowledge = CacheKnowledge(lambda: 1, ignore)
    context.kept = context.knowledge.keep_in(mover)


@given('a store that keeps all shared levels of a prompt')
def keeping_store(context: Context) -> None:
    """Keep the shared levels."""
    knowledge_with(context, FakeMover(shared_blocks()))


@given('a store that keeps nothing')
def empty_store(context: Context) -> None:
    """Keep nothing."""
    knowledge_with(context, FakeMover())


class UnreachableMover(FakeMover):
    """Ask a store whose port is closed, through the real client."""

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Ask in vain."""
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            url = f'http://127.0.0.1:{closed.getsockname()[1]}'
        client = KvClient(url, url)
        try:
            return await client.held(blocks)
        finally:
            client.close()


class NonsenseMover(FakeMover):
    """Ask a store that answers with a page, through the real client."""

    async def held(self, blocks: tuple[bytes, ...]) -> int:
        """Ask and get a page."""
        server = await asyncio.start_server(self._answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = KvClient(f'http://127.0.0.1:{port}', 'http://127.0.0.1:1')
        try:
            return await client.held(blocks)
        finally:
            client.close()
            server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.asked = True
        page = b'<html>at work</html>'
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(page)
        writer.write(head + page)
        await writer.drain()
        writer.close()


@given('a store that answers with an HTML page')
def nonsense_store(context: Context) -> None:
    """Have a store that is ill."""
    knowledge_with(context, NonsenseMover(shared_blocks()))


@given('a store that does not answer')
def unreachable_store(context: Context) -> None:
    """Let nothing listen where the store is said to be."""
    knowledge_with(context, UnreachableMover(shared_blocks()))


@given('imports that take longer than computing')
def dear_imports(context: Context) -> None:
    """Learn cheap blocks."""
    for _ in range(200):
        context.knowledge.prefill.update(10.0, 30.0)
        context.knowledge.prefill.update(20.0, 30.5)
    assert context.knowledge.prefill.ms_per_block < context.kept.import_ms


@when('the prompt is about to run where nothing is cached')
def about_to_run(context: Context) -> None:
    """Prepare a request."""
    run(context.knowledge.begin(start_of()))


@then('the engine imports the shared levels')
def imported(context: Context) -> None:
    """Check the one import; the last level may be the request's own."""
    wanted = PROMPT.blocks[: PROMPT.levels[-2]]
    assert context.mover.imports == [wanted], context.mover.imports


@then('the engine imports nothing')
def imported_nothing(context: Context) -> None:
    """Check that no import was made."""
    assert not context.mover.imports, context.mover.imports


@when('the prompt is served {times:d} times')
def served_times(context: Context, times: int) -> None:
    """Serve and let the exports run."""

    async def serve() -> None:
        exporting = asyncio.create_task(context.kept.run())
        for number in range(times):
            ended = await context.knowledge.begin(start_of(number))
            ended.end(CacheReport('e1', 0, len(PROMPT.blocks)))
            await asyncio.sleep(0)
        while not context.mover.exports:
            await asyncio.sleep(0.01)
        exporting.cancel()
        await asyncio.wait([exporting])

    run(serve())


@then('the shared levels are exported once')
def exported_once(context: Context) -> None:
    """Check the exports."""
    assert context.mover.exports == [shared_blocks()], context.mover.exports


async def settle() -> None:
    """Let all tasks go on as far as they can."""
    for _ in range(20):
        await asyncio.sleep(0)


@given('a prompt that is being computed')
def being_computed(context: Context) -> None:
    """Begin a first request."""
    context.runner = context.resources.enter_context(asyncio.Runner())
    context.knowledge = CacheKnowledge(lambda: 1, ignore)
    context.first = context.runner.run(context.knowledge.begin(start_of(1)))


@when('its twin is about to run')
def twin_begins(context: Context) -> None:
    """Begin a second request; it must not be ready."""
    knowledge: CacheKnowledge = context.knowledge

    async def begin() -> asyncio.Task[Run]:
        twin = asyncio.create_task(knowledge.begin(start_of(2)))
        await settle()
        return twin

    context.twin = context.runner.run(begin())
    assert not context.twin.done()


@when('the first one fails')
def first_fails(context: Context) -> None:
    """Stop the first without a byte."""
    context.first.stop()


@then("the twin waits until the first one's first token")
def waits_for_token(context: Context) -> None:
    """Give the first its token."""
    context.first.first_byte()
    twin_goes_on(context)


@then('the twin goes on')
def twin_goes_on(context: Context) -> None:
    """Check that the twin is ready."""
    context.runner.run(settle())
    assert context.twin.done()
