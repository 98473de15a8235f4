"""Set a scripted worker up and drive its agent over the wire."""

import asyncio
import time

from behave import given
from behave import when
from behave.runner import Context
from lacewing_common.bundle import ServiceKind
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import ProcessName
from lacewing_common.wire import Ack
from lacewing_common.wire import Ask
from lacewing_common.wire import Cancel
from lacewing_common.wire import Demands
from lacewing_common.wire_limits import TeamDemand
from lacewing_daemon.agent._watch import WorkerWatch
from support.agent_bench import bench_of
from support.agent_bench import dropped_counts
from support.agent_bench import seen_of


@given('an agent beside a {kind} worker')
def given_agent(context: Context, kind: str) -> None:
    """Start a worker and its agent."""
    bench = bench_of(context)
    bench.run(bench.start_agent(ServiceKind(kind)))
    context.dropped = dropped_counts()


@given('an agent with {slots:d} slot beside a model worker')
def given_small_agent(context: Context, slots: int) -> None:
    """Start an agent that lets few requests run at once."""
    bench = bench_of(context)
    bench.slots = slots
    bench.run(bench.start_agent(ServiceKind.MODEL))


@given('the worker holds each stream after event {number:d}')
def given_hold(context: Context, number: int) -> None:
    """Stop streams, and plain calls, until the worker goes on."""
    bench_of(context).worker.plan.hold_after = number


@given('the worker streams {count:d} events of {size:d} bytes')
def given_long(context: Context, count: int, size: int) -> None:
    """Make the streams long."""
    plan = bench_of(context).worker.plan
    plan.events = count
    plan.event_bytes = size


@given("the worker's body has {size:d} bytes")
def given_body(context: Context, size: int) -> None:
    """Make the whole answers long."""
    bench_of(context).worker.plan.body_bytes = size


@given('the worker slips in an event of another request')
def given_foreign(context: Context) -> None:
    """Write a foreign event before the third."""
    bench_of(context).worker.plan.cross_before = 3


@given('the worker skips event {number:d}')
def given_skip(context: Context, number: int) -> None:
    """Leave an event out."""
    bench_of(context).worker.plan.skip = number


@given('the worker crosses the next {part}')
def given_crossed(context: Context, part: str) -> None:
    """Answer with another request's header or body."""
    setattr(bench_of(context).worker.plan, f'cross_{part}', True)


@given('the worker fails the next call, names none, and does so again late')
def given_late_failure(context: Context) -> None:
    """Fail a call twice, without its id."""
    bench_of(context).worker.plan.fail_unnamed = True


@given('the worker swaps the answers of two calls')
def given_swapped(context: Context) -> None:
    """Answer two calls on each other's connections."""
    bench_of(context).worker.swaps = True


@given('a watch that has seen the worker')
def given_watch(context: Context) -> None:
    """Watch the worker beside the agent, by hand."""
    bench = bench_of(context)
    agent = bench.agent
    context.watch = WorkerWatch(
        agent._worker, agent._load, lambda: True, lambda: None
    )
    bench.run(context.watch.poll())


@when("the worker's load can't be read")
def when_no_load(context: Context) -> None:
    """Fail each poll."""
    bench_of(context).worker.load_status = 500


@given('the worker sends each answer to a poll twice')
def given_late(context: Context) -> None:
    """Have the second answer come where the next one is expected."""
    bench_of(context).worker.late_copies = True


@when('the watch polls the worker')
def when_polls(context: Context) -> None:
    """Poll once."""
    bench_of(context).run(context.watch.poll())


@given('the worker cuts the stream after event {number:d}')
def given_cut(context: Context, number: int) -> None:
    """Close the connection in mid stream."""
    bench_of(context).worker.plan.cut_after = number


@given('the worker forgets all requests')
@when('the worker forgets all requests')
def given_forgets(context: Context) -> None:
    """Know no request when asked to resume it."""
    bench_of(context).worker.resume_status = 404


@given('the worker takes streams up from the beginning')
def given_resumed_from_start(context: Context) -> None:
    """Ignore ``Last-Event-ID``."""
    bench_of(context).worker.repeats = True


@given("the worker leaves the request's id out")
def given_no_id(context: Context) -> None:
    """Answer without ``X-Request-Id``."""
    bench_of(context).worker.echoes = False


@given('the worker takes streams up as "{epoch}"')
def given_resumed_epoch(context: Context, epoch: str) -> None:
    """Name another epoch on resumed streams."""
    bench_of(context).worker.resume_epoch = epoch


@given('the worker refuses to resume with status {status:d}')
def given_resume_status(context: Context, status: int) -> None:
    """Refuse each resumption."""
    bench_of(context).worker.resume_status = status


@given('the worker answers with status {status:d}')
def given_status(context: Context, status: int) -> None:
    """Refuse each request."""
    bench_of(context).worker.plan.status = status


@given('answers are due within {budget:d} ms')
def given_answer_ms(context: Context, budget: int) -> None:
    """Roll a bundle with another bound."""
    bench = bench_of(context)
    bench.roll(ServiceKind.MODEL, float(budget))


@given('the worker is gone')
def given_gone(context: Context) -> None:
    """Refuse connections."""
    bench = bench_of(context)
    bench.run(bench.worker.close())


@when('the worker will vanish with the next call')
def when_vanish(context: Context) -> None:
    """Run the next call and close its connection."""
    bench_of(context).worker.plan.vanish = True


@when('the worker goes on')
def when_goes_on(context: Context) -> None:
    """Let the held streams go on."""
    bench_of(context).worker.plan.go_on.set()


@when('the worker comes back as "{epoch}"')
def when_restarted(context: Context, epoch: str) -> None:
    """Start another epoch."""
    bench_of(context).worker.epoch = epoch


@when('"{router}" starts stream {sequence:d}')
def when_stream(context: Context, router: str, sequence: int) -> None:
    """Start a streamed request."""
    bench = bench_of(context)
    bench.run(bench.router(router).start(sequence))


@when('"{router}" starts stream {sequence:d} of weights "{weights}"')
def when_weights(
    context: Context, router: str, sequence: int, weights: str
) -> None:
    """Start a request for other weights."""
    bench = bench_of(context)
    bench.run(bench.router(router).start(sequence, weights=weights))


@when('"{router}" starts stream {sequence:d} due in {budget:d} ms')
def when_due(
    context: Context, router: str, sequence: int, budget: int
) -> None:
    """Start a request with little time."""
    bench = bench_of(context)
    bench.run(bench.router(router).start(sequence, budget_ms=float(budget)))


@when('"{router}" starts stream {sequence:d} of priority {priority:d}')
def when_priority(
    context: Context, router: str, sequence: int, priority: int
) -> None:
    """Start an urgent request."""
    bench = bench_of(context)
    bench.run(bench.router(router).start(sequence, priority=priority))


@when('"{router}" starts stream {sequence:d} with none older open')
def when_floor(context: Context, router: str, sequence: int) -> None:
    """Start a request that raises the floor to itself."""
    bench = bench_of(context)
    bench.run(bench.router(router).start(sequence, oldest_open=sequence))


@when('"{router}" starts {count:d} streams of team "{team}" from {first:d}')
def when_team(
    context: Context, router: str, count: int, team: str, first: int
) -> None:
    """Start several requests of a team."""
    bench = bench_of(context)
    for sequence in range(first, first + count):
        bench.run(bench.router(router).start(sequence, team=team))


@when('"{router}" starts {kind:w} {sequence:d}')
def when_other(
    context: Context, router: str, kind: str, sequence: int
) -> None:
    """Start a request for a whole answer, or a plain call."""
    bench = bench_of(context)
    fields: dict[str, object] = {'stream': False}
    if kind == 'call':
        fields |= _call(idempotent=True)
    bench.run(bench.router(router).start(sequence, **fields))


@when('"{router}" starts call {sequence:d} that must not be repeated')
def when_once(context: Context, router: str, sequence: int) -> None:
    """Start a plain call that is not idempotent."""
    bench = bench_of(context)
    fields = _call(idempotent=False)
    bench.run(bench.router(router).start(sequence, **fields))


@when('"{router}" starts empty call {sequence:d} that must not be repeated')
def when_empty_once(context: Context, router: str, sequence: int) -> None:
    """Start a call without a body that is not idempotent."""
    bench = bench_of(context)
    fields = _call(idempotent=False) | {'body': b''}
    bench.run(bench.router(router).start(sequence, **fields))


def _call(idempotent: bool) -> dict[str, object]:
    return {
        'path': '/certificates',
        'model': '',
        'weights': '',
        'stream': False,
        'idempotent': idempotent,
    }


@when('"{router}" asks for {sequence:d}')
def when_asks(context: Context, router: str, sequence: int) -> None:
    """Ask from the last byte received."""
    bench = bench_of(context)
    link = bench.router(router)
    seen = seen_of(context, router, sequence)
    seen.outcomes_before = len(seen.outcomes)
    offset = len(seen.payload)
    bench.run(link.send(Ask(link.attempt(sequence), offset)))


@when('"{router}" asks for {count:d} attempts never sent')
def when_asks_many(context: Context, router: str, count: int) -> None:
    """Ask for the ids from 1 on."""
    bench = bench_of(context)
    link = bench.router(router)

    async def ask() -> None:
        for sequence in range(1, count + 1):
            await link.send(Ask(link.attempt(sequence), 0))

    bench.run(ask())
    bench.wait(lambda: link.seen.get(count))


@when('"{router}" cancels {sequence:d}')
def when_cancels(context: Context, router: str, sequence: int) -> None:
    """Cancel an attempt."""
    bench = bench_of(context)
    link = bench.router(router)
    bench.run(link.send(Cancel(link.attempt(sequence))))


@when('"{router}" confirms {sequence:d} as it comes')
def when_confirms(context: Context, router: str, sequence: int) -> None:
    """Confirm all bytes until the outcome is there."""
    seen = seen_of(context, router, sequence)
    link = bench_of(context).router(router)

    async def confirm() -> None:
        while not seen.outcomes:
            await link.send(Ack(link.attempt(sequence), len(seen.payload)))
            await asyncio.sleep(0.001)

    bench_of(context).run(asyncio.wait_for(confirm(), 30))


@when('the link of "{router}" breaks')
def when_breaks(context: Context, router: str) -> None:
    """Drop the connection and wait until the agent has noticed."""
    bench = bench_of(context)
    bench.run(bench.router(router).break_link())
    bench.wait(lambda: not bench.agent._links)


@when('the old link of "{router}" breaks')
def when_old_breaks(context: Context, router: str) -> None:
    """Drop the connection before the last; wait until it is noticed."""
    bench = bench_of(context)
    bench.router(router).break_old_link()
    bench.wait(lambda: len(bench.agent._links) == 1)


@when('"{router}" reports demand of team "{team}"')
def when_demand(context: Context, router: str, team: str) -> None:
    """Report a demand and wait until it is counted."""
    bench = bench_of(context)
    demand = TeamDemand(team, 1.0, 1.0, 1)
    bench.run(bench.router(router).send(Demands((demand,))))
    bench.wait(lambda: bench.agent._team_limits.team_count)


@when('"{router}" links again')
def when_links(context: Context, router: str) -> None:
    """Open another link; an old one may still be open."""
    bench = bench_of(context)
    bench.run(bench.router(router).link())


@when('the agent restarts')
def when_agent_restarts(context: Context) -> None:
    """Replace the agent by one with an empty memory."""
    bench = bench_of(context)
    bench.run(bench.restart_agent())


@when('the agent begins to drain')
def when_drains(context: Context) -> None:
    """Start the drain and leave it running."""
    bench = bench_of(context)
    bench.draining = bench.loop.create_task(bench.agent.drain())


@when('{seconds:d} s later the agent sweeps')
def when_sweeps(context: Context, seconds: int) -> None:
    """Sweep as of a later time."""
    bench_of(context).agent._sweeper.sweep(time.monotonic() + seconds)


@when('{count:d} other routers have come and gone since')
def when_others(context: Context, count: int) -> None:
    """Let more routers pass than the agent keeps numbers of."""
    attempts = bench_of(context).agent._attempts
    for number in range(count):
        name = str(ProcessName(f'other-{number}', new_incarnation()))
        attempts.link_opened(name)
        attempts.link_closed(name)
    attempts.forget_idle(time.monotonic() + 1000)


@when('the worker has begun {sequence:d} of "{router}"')
def when_begun(context: Context, sequence: int, router: str) -> None:
    """Wait until the worker runs an attempt."""
    bench = bench_of(context)
    request_id = str(bench.router(router).attempt(sequence))
    bench.wait(lambda: bench.worker.runs[request_id] == 1)
