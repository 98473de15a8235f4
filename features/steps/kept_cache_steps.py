"""Follow and move the caches of engine stand-ins as an agent does."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.agent._cache_follower import CacheFollower
from lacewing_daemon.agent._cache_view import CacheView
from lacewing_daemon.agent._kv_client import KvClient
from lacewing_daemon.agent._worker import Worker
from support.standins_bench import Bench
from support.standins_bench import bench_of
from support.standins_bench import block_names
from support.standins_bench import long_prompt

BLOCKS = 5
LIMIT_S = 20.0
STORE = 'store'


class FollowedEngine:
    """Hold what an agent uses of one engine."""

    def __init__(self, bench: Bench, name: str) -> None:
        url = f'http://{bench.workers[name].address}'
        store = f'http://{bench.workers[STORE].address}'
        self.view = CacheView(lambda _block, _stored: None)
        self.kv = KvClient(store, url)
        self._worker = Worker(url, 0)
        follower = CacheFollower(self._worker, lambda: True, self.view)
        self._following = asyncio.create_task(follower.run())

    async def sees(self, blocks: tuple[bytes, ...], epoch: str) -> None:
        """Wait until the view holds just these blocks of an epoch."""
        async with asyncio.timeout(LIMIT_S):
            while not self._is(blocks, epoch):
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Stop following."""
        self._following.cancel()
        await asyncio.wait([self._following])
        self._worker.close()
        self.kv.close()

    def _is(self, blocks: tuple[bytes, ...], epoch: str) -> bool:
        if self.view.epoch != epoch or len(self.view) != len(blocks):
            return False
        return all(block in self.view for block in blocks)


def prompt_blocks() -> tuple[bytes, ...]:
    """Return the hashes of the prompt's blocks."""
    names = block_names('k', blocks=BLOCKS)
    return tuple(bytes.fromhex(name) for name in names)


@given('real engines "{one}" and "{two}" and a store between them')
def engines_and_store(context: Context, one: str, two: str) -> None:
    """Start three stand-ins."""
    bench = bench_of(context)
    bench.add('engine', one, '{}')
    bench.add('engine', two, '{}')
    bench.add('kv', STORE, '{}')


@given('agents that follow the caches of both')
def follow_both(context: Context) -> None:
    """Follow each engine."""
    bench = bench_of(context)

    async def follow() -> dict[str, FollowedEngine]:
        names = [name for name in bench.workers if name != STORE]
        return {name: FollowedEngine(bench, name) for name in names}

    context.followed = bench.run(follow())
    for followed in context.followed.values():
        context.resources.callback(bench.run, followed.close())


@when('"{name}" serves a prompt and its agent exports it')
def serve_and_export(context: Context, name: str) -> None:
    """Compute a prompt, see its blocks, put them into the store."""
    bench = bench_of(context)
    followed: FollowedEngine = context.followed[name]
    blocks = prompt_blocks()
    bench.run(bench.ask(name, long_prompt('k', BLOCKS), 2, 'first', 0))
    bench.run(followed.sees(blocks, bench.workers[name].epoch))
    assert bench.run(followed.kv.held(blocks)) == 0
    assert bench.run(followed.kv.export_blocks(blocks)) == len(blocks)


@when('the agent of "{name}" imports it')
def imports(context: Context, name: str) -> None:
    """Ask the store and have the engine import."""
    bench = bench_of(context)
    followed: FollowedEngine = context.followed[name]
    blocks = prompt_blocks()
    assert bench.run(followed.kv.held(blocks)) == len(blocks)
    assert bench.run(followed.kv.import_blocks(blocks)) == len(blocks)


@then('the agent of "{name}" sees the prompt\'s blocks cached')
def sees_blocks(context: Context, name: str) -> None:
    """Wait for the engine's events."""
    bench = bench_of(context)
    epoch = bench.workers[name].epoch
    bench.run(context.followed[name].sees(prompt_blocks(), epoch))


@when('"{name}" crashes and comes back')
def crashes(context: Context, name: str) -> None:
    """Crash a stand-in and wait for its next epoch."""
    bench = bench_of(context)
    before = bench.workers[name].epoch
    bench.get(name, '/faults', {'crash': {}})

    async def back() -> None:
        async with asyncio.timeout(LIMIT_S):
            while bench.workers[name].epoch == before:
                await asyncio.sleep(0.01)

    bench.run(back())


@then('the agent of "{name}" sees an empty cache of the new epoch')
def sees_empty(context: Context, name: str) -> None:
    """Wait for the snapshot of the new epoch."""
    bench = bench_of(context)
    epoch = bench.workers[name].epoch
    bench.run(context.followed[name].sees((), epoch))
