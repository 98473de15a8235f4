"""Bring single faults and pairs of them to fleets of real processes."""

import asyncio
import json
import signal

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.chaos._judge import Finding
from lacewing_common.store import VmState
from support.failures_bench import FailuresBench
from support.failures_bench import hurried
from support.failures_bench import recall
from support.fleet_bench import chat

_ROUNDS = 12


@given('{routers:d} routers, {models:d} engines and {plains:d} plain workers')
def given_small(
    context: Context, routers: int, models: int, plains: int
) -> None:
    """Start a fleet that passes its bundle and members on by itself."""
    context.bench = FailuresBench(context)
    context.bench.start_small(routers, models, plains)


@given('worker "{worker}" has the faults {switches}')
@when('worker "{worker}" has the faults {switches}')
def when_worker_faults(context: Context, worker: str, switches: str) -> None:
    """Set the switches of one stand-in."""
    bench = context.bench
    bench.run(bench.fleet.set_worker_faults(worker, json.loads(switches)))


@given('each engine has the faults {switches}')
@when('each engine has the faults {switches}')
def when_engine_faults(context: Context, switches: str) -> None:
    """Set the switches of all engines."""
    bench = context.bench
    for worker in bench.engines:
        faults = json.loads(switches)
        bench.run(bench.fleet.set_worker_faults(worker, faults))


@given('each plain worker has the faults {switches}')
@when('each plain worker has the faults {switches}')
def when_plain_faults(context: Context, switches: str) -> None:
    """Set the switches of all plain workers."""
    bench = context.bench
    for worker in bench.plain_workers:
        faults = json.loads(switches)
        bench.run(bench.fleet.set_worker_faults(worker, faults))


@given('the platform has the faults {switches}')
@when('the platform has the faults {switches}')
def when_platform_faults(context: Context, switches: str) -> None:
    """Set the switches of the platform."""
    bench = context.bench
    bench.run(bench.fleet.set_platform_faults(json.loads(switches)))


@when('worker "{worker}" crashes')
def when_crash(context: Context, worker: str) -> None:
    """Lose everything it holds."""
    bench = context.bench
    bench.run(bench.fleet.set_worker_faults(worker, {'crash': {}}))


@when('the busiest engine crashes')
def when_busiest_crashes(context: Context) -> None:
    """Crash the engine that runs most requests now."""
    when_crash(context, context.bench.busiest())


@when('the busiest engine crashes, and again as soon as it is back')
def when_crash_twice(context: Context) -> None:
    """Crash it a second time in its next epoch."""
    bench = context.bench
    worker = bench.busiest()
    for _ in range(2):
        epoch = bench.worker_epoch(worker)
        when_crash(context, worker)
        bench.until_asked(
            lambda: bench.has_left_epoch(worker, epoch), 'next epoch'
        )


@when('the busiest engine is paused for {seconds:g} s')
def when_busiest_paused(context: Context, seconds: float) -> None:
    """Freeze the engine that runs most requests now."""
    bench = context.bench
    faults = {'pause_s': seconds}
    bench.run(bench.fleet.set_worker_faults(bench.busiest(), faults))


@when('the agent of the busiest engine is {done}')
def when_busiest_agent(context: Context, done: str) -> None:
    """Do something to the agent of the engine that runs most requests."""
    context.holder = context.bench.busiest()
    when_holder(context, done)


@when('all routers are killed and start again')
def when_herd(context: Context) -> None:
    """Restart the whole herd at once."""
    bench = context.bench

    async def herd() -> None:
        names = bench.fleet.router_names
        await asyncio.gather(*[bench.fleet.kill(name) for name in names])
        await asyncio.gather(*[bench.fleet.restart(name) for name in names])

    bench.run(herd())


@when('{number:d} callers ask questions on new prefixes through each router')
def when_new_prefixes(context: Context, number: int) -> None:
    """Begin all chats at once."""
    bench = context.bench
    for router in bench.fleet.router_names:
        for index in range(number):
            call = chat('brno', f'{router} {index}')
            system = {'role': 'system', 'content': f'New {router} ' * 200}
            call.body['messages'].insert(0, system)
            bench.begin(f'{router} {index}', router, call)


@when(
    '{number:d} callers begin streams of {tokens:d} tokens through "{router}"'
)
def when_streams_begin(
    context: Context, number: int, tokens: int, router: str
) -> None:
    """Begin streams and wait until some engine runs one."""
    bench = context.bench
    for index in range(number):
        call = chat('brno', f'stream {index}', tokens=tokens)
        bench.begin(f'stream {index}', router, call)
    bench.until_asked(bench.is_busy, 'busy engine')


@when('a recall check "{key}" is begun through "{router}"')
def when_begun(context: Context, key: str, router: str) -> None:
    """Send it and go on."""
    context.bench.begin(key, router, recall(key))


@when('the recall check "{key}" is begun again through "{router}"')
def when_begun_again(context: Context, key: str, router: str) -> None:
    """Send it once more and go on."""
    context.bench.begin(f'{key} again', router, recall(key))


@when('the recall check "{key}" runs')
def when_runs(context: Context, key: str) -> None:
    """Wait until a worker has begun it."""
    context.bench.until_ran(key)
    context.holder = context.bench.holder_of(key)


@when('a caller hangs up on the recall check "{key}" through "{router}"')
def when_hung_up(context: Context, key: str, router: str) -> None:
    """Hang up while it runs."""
    bench = context.bench
    bench.ask(router, hurried(recall(key), 0.5))


@when('the agent of its worker is {done}')
def when_holder(context: Context, done: str) -> None:
    """Do something to the agent that holds the claim."""
    fleet = context.bench.fleet
    name = f'agent-{context.holder}'
    if done == 'killed':
        context.bench.run(fleet.kill(name))
    elif done == 'restarted':
        context.bench.run(fleet.restart(name))
    elif done == 'told to end':
        fleet.process(name).send(signal.SIGTERM)
    elif done == 'frozen':
        fleet.freeze(name)
    else:
        assert done == 'thawed', done
        fleet.thaw(name)


@when('its worker crashes')
def when_holder_crashes(context: Context) -> None:
    """Crash the worker that runs the call."""
    when_crash(context, context.holder)


@when('the platform lists the agent of the busiest engine as leaving')
def when_leaving(context: Context) -> None:
    """Change its row of the VM list."""
    bench = context.bench
    context.holder = bench.busiest()
    agent = f'agent-{context.holder}'
    bench.run(bench.fleet.list_vm(agent, VmState.LEAVING))


@then('the agent of its worker ends with code {code:d}')
def then_agent_ends(context: Context, code: int) -> None:
    """Wait for its end."""
    process = context.bench.fleet.process(f'agent-{context.holder}')
    found = context.bench.run(process.ended())
    assert found == code, (found, process.output()[-1000:])


@when('no new work reaches that engine any more')
def when_no_new_work(context: Context) -> None:
    """Ask rounds of questions until one of them spares the engine."""
    bench = context.bench
    worker = context.holder

    def spared() -> bool:
        before = bench.began(worker)
        for index in range(_ROUNDS):
            router = bench.fleet.router_names[
                index % len(bench.fleet.router_names)
            ]
            found = bench.ask(router, chat('brno', f'round {index}'))
            assert found is Finding.RIGHT, found
        return bool(bench.began(worker) == before)

    bench.until_asked(spared, f'round that spares {worker}')


@then('a recall check "{key}" through "{router}" ends as "{finding}"')
@when('a recall check "{key}" through "{router}" ends as "{finding}"')
def then_ends_as(
    context: Context, key: str, router: str, finding: str
) -> None:
    """Ask once."""
    found = context.bench.ask(router, recall(key))
    assert found is Finding(finding), found


@then('the begun recall check "{key}" ends as "{finding}"')
def then_begun_ends(context: Context, key: str, finding: str) -> None:
    """Wait for its answer."""
    found = context.bench.end(key)
    assert found is Finding(finding), found


@when('the recall check "{key}" is repeated until it is answered')
@then('the recall check "{key}" is answered when it is repeated')
def then_answered(context: Context, key: str) -> None:
    """Ask again with the same key through all routers in turn."""
    bench = context.bench
    routers = bench.fleet.router_names
    found = bench.ask_until_answered(routers, recall(key))
    assert found is Finding.RIGHT, found


@then('all begun chats are answered')
def then_chats(context: Context) -> None:
    """Judge every answer."""
    bench = context.bench
    for name in bench.begun:
        found = bench.end(name)
        assert found is Finding.RIGHT, (name, found)


@then('the recall check "{key}" ran {times:d} time(s)')
def then_ran(context: Context, key: str, times: int) -> None:
    """Count by the stand-ins."""
    found = context.bench.truth().by_key.get(key, 0)
    assert found == times, found


@then('the routers read the VM list at most {times:d} times')
def then_vm_reads(context: Context, times: int) -> None:
    """Count by the platform."""
    bench = context.bench
    counts = json.loads(
        bench.run(bench.fleet.read(f'{bench.fleet.platform_url}/counts'))
    )
    found = counts['calls'].get('GET', {}).get('vms', 0)
    assert found <= times, counts


@then('each router answers a chat at its first request')
def then_first_request(context: Context) -> None:
    """Ask each router once."""
    bench = context.bench
    for router in bench.fleet.router_names:
        found = bench.ask(router, chat('brno', f'first at {router}'))
        assert found is Finding.RIGHT, (router, found)
