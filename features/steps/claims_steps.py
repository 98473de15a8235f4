"""Repeat calls that must run at most once, and break things between."""

import asyncio
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.platform._switches import Down
from lacewing_bench.platform._switches import FaultSwitches
from support.claims_bench import Answer
from support.claims_bench import bench_of
from support.claims_bench import RANGE

LIMIT_S = 20
POLL_S = 0.005
SHORT_S = 1.5


@given('{agents:d} agents and {routers:d} router')
@given('{agents:d} agents and {routers:d} routers')
def given_fleet(context: Context, agents: int, routers: int) -> None:
    """Start all over one platform."""
    bench_of(context).start(agents, routers)


@given('the workers hold their answers')
def given_held(context: Context) -> None:
    """Execute calls but answer none."""
    for site in bench_of(context).sites:
        site.worker.go_on.clear()


@when('the workers go on')
def when_go_on(context: Context) -> None:
    """Answer what was executed."""
    for site in bench_of(context).sites:
        site.worker.go_on.set()


@when('a caller asks through router {router:d} with key "{key}"')
def when_asked(context: Context, router: int, key: str) -> None:
    """Call and wait for the answer."""
    bench = bench_of(context)
    bench.run(bench.call(router, key))


@when('a caller asks for "{body}" through router {router:d} with key "{key}"')
def when_asked_body(
    context: Context, body: str, router: int, key: str
) -> None:
    """Call with a body and wait for the answer."""
    bench = bench_of(context)
    bench.run(bench.call(router, key, body))


@when('a caller of "{team}" asks through router {router:d} with key "{key}"')
def when_team_asked(
    context: Context, team: str, router: int, key: str
) -> None:
    """Call as another team."""
    bench = bench_of(context)
    bench.run(bench.call(router, key, 'issue', team))


@when(
    'a call "{name}" through router {router:d} with key "{key}" is under way'
)
def when_under_way(context: Context, name: str, router: int, key: str) -> None:
    """Call and leave it open."""
    bench_of(context).begin(name, router, key)


@when('key "{key}" is being executed')
def when_executed(context: Context, key: str) -> None:
    """Wait until a worker has begun."""
    bench = bench_of(context)
    bench.wait(lambda: bench.executions(key) > 0)


@when(
    '{count:d} callers ask at once with key "{one}" and {more:d} with key'
    ' "{two}"'
)
def when_many(
    context: Context, count: int, one: str, more: int, two: str
) -> None:
    """Ask through all routers in turn."""
    bench = bench_of(context)

    async def ask() -> None:
        calls = []
        for number, key in enumerate([one] * count + [two] * more):
            router = number % len(bench.routers) + 1
            calls.append(bench.call(router, key))
        await asyncio.gather(*calls)

    bench.run(ask())


@then('the answer is 200, not replayed')
def then_first(context: Context) -> None:
    """Check a first answer."""
    answer = bench_of(context).answer
    assert answer.status == 200, answer
    assert not answer.replayed, answer
    assert answer.verdict == 'ran', answer


@then('the answer is 200, replayed, and equals the first')
def then_replayed(context: Context) -> None:
    """Check a replay."""
    bench = bench_of(context)
    assert bench.answer.status == 200, bench.answer
    assert bench.answer.replayed, bench.answer
    assert bench.answer.body == bench.answers[0].body, bench.answers


@then('the answer is {status:d} "{code}" with verdict "{verdict}"')
def then_refused(
    context: Context, status: int, code: str, verdict: str
) -> None:
    """Check a refusal."""
    answer = bench_of(context).answer
    seen = (answer.status, answer.code, answer.verdict)
    assert seen == (status, code, verdict), answer


@then('key "{key}" was executed {count:d} time')
@then('key "{key}" was executed {count:d} times')
def then_executed(context: Context, key: str, count: int) -> None:
    """Count at the workers."""
    executed = bench_of(context).executions(key)
    assert executed == count, executed


@then('the calls "{one}" and "{two}" end with 200 and the same body')
def then_both(context: Context, one: str, two: str) -> None:
    """Check that both callers got the one answer."""
    bench = bench_of(context)
    first: Answer = bench.run(_ended(bench.calls[one]))
    second: Answer = bench.run(_ended(bench.calls[two]))
    assert (first.status, second.status) == (200, 200), (first, second)
    assert first.body == second.body, (first, second)
    assert [first.replayed, second.replayed].count(True) == 1


async def _ended(call: 'asyncio.Task[Answer]') -> Answer:
    return await call


@then('all answers are 200')
def then_all(context: Context) -> None:
    """Check each answer."""
    answers = bench_of(context).answers
    assert {answer.status for answer in answers} == {200}, answers


@given('{agents:d} agent and {routers:d} router')
def given_one(context: Context, agents: int, routers: int) -> None:
    """Start all over one platform."""
    bench_of(context).start(agents, routers)


@given('agents that have no platform')
def given_no_platform(context: Context) -> None:
    """Start agents whose settings name no platform."""
    bench_of(context).has_platform = False


@given('the first answer is due in {due_ms:d} ms')
def given_due(context: Context, due_ms: int) -> None:
    """Set the service's deadline."""
    bench_of(context).first_token_ms = float(due_ms)


@given('outcomes wait {seconds:d} s for the next claim')
def given_linger(context: Context, seconds: int) -> None:
    """Write no outcome by itself."""
    _limit(context, linger_s=float(seconds))


@given('a range writes {burst:d} times at once and then once in {seconds:d} s')
def given_pace(context: Context, burst: int, seconds: int) -> None:
    """Bound the writes; outcomes wait as long."""
    pace_s = float(seconds)
    _limit(
        context, pace_s=pace_s, burst=burst, linger_s=pace_s, wait_s=SHORT_S
    )


@given('a claim is waited for {wait_ms:d} ms')
def given_wait(context: Context, wait_ms: int) -> None:
    """Bound the wait for a claim."""
    _limit(context, wait_s=wait_ms / 1000)


@given('answers of up to {size:d} bytes are kept')
def given_body_bytes(context: Context, size: int) -> None:
    """Bound each answer."""
    _limit(context, body_bytes=size)


@given('answers of up to {size:d} bytes together are kept')
def given_bodies_bytes(context: Context, size: int) -> None:
    """Bound all answers of a range."""
    _limit(context, bodies_bytes=size)


@given('a range holds {size:d} bytes')
def given_object_bytes(context: Context, size: int) -> None:
    """Bound the object of a range."""
    _limit(context, object_bytes=size)


def _limit(context: Context, **changes: Any) -> None:
    bench = bench_of(context)
    bench.limits = replace(bench.limits, **changes)


@given('the platform of all agents is down')
def given_down(context: Context) -> None:
    """Refuse each call to the platform."""
    bench_of(context).store.set_faults(FaultSwitches(down=Down.REFUSE))


@when('the platform of all agents is back')
def when_back(context: Context) -> None:
    """End the outage."""
    bench_of(context).store.set_faults(FaultSwitches())


@given('the platform loses its next {count:d} answers')
@when('the platform loses its next {count:d} answers')
def given_losses(context: Context, count: int) -> None:
    """Lose answers to writes that take effect."""
    bench_of(context).store.set_faults(FaultSwitches(lose_next=count))


@given('the home agent loses an answer and then the platform')
def given_lost_and_cut(context: Context) -> None:
    """Lose the answer to a write, then every call."""
    bench_of(context).home.store.lose_then_cut = True


@when('the home agent loses the platform')
def when_cut(context: Context) -> None:
    """Fail each call of one agent."""
    bench_of(context).home.store.cut = True


@when('the home agent reaches the platform again')
def when_reached(context: Context) -> None:
    """Let its calls through."""
    bench_of(context).home.store.cut = False


@given("the home agent's writes are held")
def given_writes_held(context: Context) -> None:
    """Hold its writes before their effect, as a pause does."""
    bench_of(context).home.store.go_on.clear()


@when("the home agent's write is held")
def when_write_held(context: Context) -> None:
    """Wait until it wants to write."""
    bench = bench_of(context)
    bench.wait(lambda: bench.home.store.held_puts > 0)


@when('the home agent has a request waiting for its next write')
def when_waiting(context: Context) -> None:
    """Wait until a request is queued behind the write under way."""
    bench = bench_of(context)
    writers = bench.home.agent._claims._writers
    bench.wait(lambda: len(writers[RANGE]._tickets) > 0)


@when("the home agent's writes go on")
def when_writes_go_on(context: Context) -> None:
    """Let its writes through."""
    bench_of(context).home.store.go_on.set()


@when('the home agent leaves router {router:d}')
def when_left(context: Context, router: int) -> None:
    """Send the router's new calls to the other agent."""
    bench = bench_of(context)
    bench.leave(bench.home, router)


@when('the home agent comes back to router {router:d}')
def when_came_back(context: Context, router: int) -> None:
    """Send the router's new calls to the home agent."""
    bench_of(context).come_back(router)


@when('the home agent restarts')
def when_restarted(context: Context) -> None:
    """Lose the agent and start the next run."""
    bench = bench_of(context)
    bench.run(bench.home.crash())
    bench.run(bench.home.start(bench.bundles, bench.limits))
    bench.wait(bench.linked)


@when('the home agent drains')
def when_drained(context: Context) -> None:
    """Drain it to its end."""
    bench = bench_of(context)
    bench.run(bench.home.agent.drain())


@given("the home agent's worker takes no connection")
def given_worker_closed(context: Context) -> None:
    """Close the worker's listener."""
    bench = bench_of(context)
    bench.run(bench.home.worker.close())


@when('a caller asks through router {router:d} without a key')
def when_no_key(context: Context, router: int) -> None:
    """Call without an idempotency key."""
    bench = bench_of(context)
    bench.run(bench.call(router, ''))


@when(
    'a caller asks through router {router:d} with key "{key}" until it is'
    ' served'
)
def when_until_served(context: Context, router: int, key: str) -> None:
    """Repeat the call as long as it is told to come back."""
    bench = bench_of(context)

    async def ask() -> None:
        async with asyncio.timeout(LIMIT_S):
            while (await bench.call(router, key)).status != 200:
                await asyncio.sleep(0.01)

    bench.run(ask())


@when('a caller asks with new keys until one is refused')
def when_until_refused(context: Context) -> None:
    """Fill a range."""
    bench = bench_of(context)
    for number in range(100):
        bench.run(bench.call(1, f'new-{number}'))
        if bench.answer.status != 200:
            return


@when('the call "{name}" ends')
def when_ended(context: Context, name: str) -> None:
    """Wait for a call's answer."""
    bench = bench_of(context)
    bench.run(_ended(bench.calls[name]))


@when('the claim of key "{key}" comes to stand as "{state}"')
@then('the claim of key "{key}" comes to stand as "{state}"')
def then_comes(context: Context, key: str, state: str) -> None:
    """Wait until the platform has a claim in a state."""
    _wait_for_state(context, key, state)


@then('the claim of key "{key}" stands as "{state}"')
def then_stands(context: Context, key: str, state: str) -> None:
    """Check a claim in the platform."""
    assert _state(context, key) == state, _state(context, key)


@then('the claim of key "{key}" comes to be withdrawn')
def then_withdrawn(context: Context, key: str) -> None:
    """Wait until the platform has no such claim."""
    _wait_for_state(context, key, '')


def _wait_for_state(context: Context, key: str, state: str) -> None:
    bench = bench_of(context)
    tries = round(LIMIT_S / POLL_S)
    for _ in range(tries):
        if _state(context, key) == state:
            return
        bench.run(asyncio.sleep(POLL_S))
    raise AssertionError(f'{key!r} stays {_state(context, key)!r}')


def _state(context: Context, key: str) -> str:
    claim = bench_of(context).claim(key)
    return '' if claim is None else claim.state.name


@then('the answer tells when to come back')
def then_retry_after(context: Context) -> None:
    """Check the Retry-After header."""
    answer = bench_of(context).answer
    assert int(answer.headers['Retry-After']) >= 1, answer


@then('the answer has verdict "{verdict}"')
def then_verdict(context: Context, verdict: str) -> None:
    """Check the verdict alone."""
    answer = bench_of(context).answer
    assert answer.verdict == verdict, answer


@then('the answer is 200, replayed, and equals answer {number:d}')
def then_replayed_of(context: Context, number: int) -> None:
    """Check a replay of a certain answer."""
    bench = bench_of(context)
    assert bench.answer.status == 200, bench.answer
    assert bench.answer.replayed, bench.answer
    assert bench.answer.body == bench.answers[number - 1].body, bench.answers


@then('the answer is 200, replayed, and equals the first answer of 200')
def then_replayed_first(context: Context) -> None:
    """Check a replay that follows refusals."""
    bench = bench_of(context)
    served = [one for one in bench.answers if one.status == 200]
    assert bench.answer.replayed, bench.answer
    assert bench.answer.body == served[0].body, bench.answers


@then('the platform saw {count:d} writes')
def then_writes(context: Context, count: int) -> None:
    """Count the writes at the platform."""
    calls = bench_of(context).store.counts.calls
    assert sum(calls.get('put', {}).values()) == count, calls
