"""Repeat calls that must run at most once, and break things between."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.claims_bench import Answer
from support.claims_bench import bench_of


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
