"""Check what routers got from an agent and what its worker ran."""

import asyncio
import socket
from typing import Any

from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.wire import ANSWER_WINDOW_BYTES
from lacewing_common.wire import End
from lacewing_common.wire import Refused
from lacewing_daemon.agent._attempt import Attempt
from support.agent_bench import AgentBench
from support.agent_bench import bench_of
from support.agent_bench import dropped_counts
from support.agent_bench import DROPPED_PARTS
from support.agent_bench import seen_of
from support.scripted_worker import stream_text
from support.scripted_worker import whole_text

# What one read from the worker and one frame may add to a full window.
SLACK_BYTES = 128 * 1024


def _attempt(context: Context, router: str, sequence: int) -> Attempt | None:
    bench = bench_of(context)
    attempt_id = bench.routers[router].attempt(sequence)
    return bench.agent._attempts.find(attempt_id)


def _held(bench: AgentBench) -> int:
    return sum(one.answer.held for one in bench.agent._attempts.all())


@then('the watch sees "{epoch}"')
def then_sees(context: Context, epoch: str) -> None:
    """Look at the worker's epoch."""
    assert context.watch.epoch == epoch


@then('the watch sees the model "{name}"')
def then_model(context: Context, name: str) -> None:
    """Check the models that are known to be loaded."""
    assert context.watch.models == (name,), context.watch.models


@then('the watch sees no worker')
def then_sees_none(context: Context) -> None:
    """Look at the worker's epoch."""
    assert context.watch.epoch == ''


@when('the agent has the outcome of {sequence:d} from "{router}"')
@then('the agent has the outcome of {sequence:d} from "{router}"')
def then_known(context: Context, sequence: int, router: str) -> None:
    """Wait until an attempt has ended."""

    def ended() -> bool:
        attempt = _attempt(context, router, sequence)
        return attempt is not None and attempt.outcome is not None

    bench_of(context).wait(ended)


@when('"{router}" has the outcome of {sequence:d}')
@then('"{router}" has the outcome of {sequence:d}')
def then_outcome(context: Context, router: str, sequence: int) -> None:
    """Wait for End or Refused."""
    seen = seen_of(context, router, sequence)
    bench_of(context).wait(lambda: seen.outcomes)


@when('"{router}" has {count:d} events of {sequence:d}')
@then('"{router}" has {count:d} events of {sequence:d}')
def then_events(
    context: Context, router: str, count: int, sequence: int
) -> None:
    """Wait for whole events."""
    seen = seen_of(context, router, sequence)
    bench_of(context).wait(lambda: seen.payload.count(b'\n\n') == count)


@then('"{router}" has the whole {kind:w} {sequence:d}, each byte once')
def then_whole(
    context: Context, router: str, kind: str, sequence: int
) -> None:
    """Compare an answer byte by byte."""
    bench = bench_of(context)
    seen = seen_of(context, router, sequence)
    bench.wait(lambda: seen.outcomes)
    request_id = str(bench.router(router).attempt(sequence))
    text = stream_text if kind == 'stream' else whole_text
    assert bytes(seen.payload) == text(request_id, bench.worker.plan)
    assert (seen.repeated, seen.gaps) == (0, 0), seen
    assert isinstance(seen.outcomes[0], End), seen.outcomes
    assert seen.outcomes[0].length == len(seen.payload)
    assert len(seen.outcomes) == 1, seen.outcomes


@then('"{router}" has the whole answer {sequence:d}')
def then_whole_answer(context: Context, router: str, sequence: int) -> None:
    """Compare a whole answer byte by byte."""
    then_whole(context, router, 'answer', sequence)


@then('"{router}" has the answer "{text}" to call {sequence:d}')
def then_call(context: Context, router: str, text: str, sequence: int) -> None:
    """Compare a plain answer."""
    seen = seen_of(context, router, sequence)
    bench_of(context).wait(lambda: seen.outcomes)
    assert seen.payload == text.encode(), seen
    assert seen.head is not None and seen.head.status == 200, seen
    assert isinstance(seen.outcomes[0], End), seen


@then('"{router}" has its own answer to call {sequence:d}')
def then_own_answer(context: Context, router: str, sequence: int) -> None:
    """Compare an answer that names its call."""
    bench = bench_of(context)
    attempt_id = bench.router(router).attempt(sequence)
    then_call(context, router, f'done {attempt_id}', sequence)


@then(
    'the end of {sequence:d} for "{router}" reports {hit:d} of {blocks:d}'
    ' blocks reused by "{epoch}"'
)
def then_cache(
    context: Context,
    sequence: int,
    router: str,
    hit: int,
    blocks: int,
    epoch: str,
) -> None:
    """Look at the cache report."""
    end = seen_of(context, router, sequence).outcomes[0]
    assert isinstance(end, End)
    cache = end.cache
    found = (cache.epoch, cache.hit_blocks, cache.prompt_blocks)
    assert found == (epoch, hit, blocks), end


@then('{sequence:d} of "{router}" is refused as "{verdict}" for "{reason}"')
def then_refused(
    context: Context, sequence: int, router: str, verdict: str, reason: str
) -> None:
    """Look at the outcome that followed the last frame sent."""
    seen = seen_of(context, router, sequence)
    bench_of(context).wait(lambda: len(seen.outcomes) > seen.outcomes_before)
    refused = seen.outcomes[-1]
    assert isinstance(refused, Refused), refused
    found = (refused.verdict.value, refused.reason.value)
    assert found == (verdict, reason), refused


@then('the refusal of {sequence:d} for "{router}" says when to come back')
def then_retry_after(context: Context, sequence: int, router: str) -> None:
    """Look at the time to retry after."""
    refused = seen_of(context, router, sequence).outcomes[0]
    assert isinstance(refused, Refused)
    assert refused.retry_after_s is not None and refused.retry_after_s > 0


@then('the refusal of {sequence:d} for "{router}" says "{text}"')
def then_says(context: Context, sequence: int, router: str, text: str) -> None:
    """Look at the text for the reader."""
    refused = seen_of(context, router, sequence).outcomes[0]
    assert isinstance(refused, Refused)
    assert text in refused.text, refused


@then('the worker ran {sequence:d} of "{router}" {count:d} time')
@then('the worker ran {sequence:d} of "{router}" {count:d} times')
def then_ran(context: Context, sequence: int, router: str, count: int) -> None:
    """Count the runs where they happen."""
    bench = bench_of(context)
    request_id = str(bench.router(router).attempt(sequence))
    assert bench.worker.runs[request_id] == count, bench.worker.runs


@then('the worker ran them in the order {numbers}')
def then_order(context: Context, numbers: str) -> None:
    """Look at the order in which the worker got the requests."""
    bench = bench_of(context)
    expected = []
    for number in numbers.split():
        expected.append(str(bench.router('r1').attempt(int(number))))
    assert bench.worker.order == expected, bench.worker.order


@then('the worker was told to cancel {sequence:d} of "{router}"')
def then_cancelled(context: Context, sequence: int, router: str) -> None:
    """Wait for the cancel."""
    bench = bench_of(context)
    request_id = str(bench.routers[router].attempt(sequence))
    bench.wait(lambda: request_id in bench.worker.cancelled)


@then('the count of {part} dropped has grown')
def then_dropped(context: Context, part: str) -> None:
    """Look at the agent's count."""
    name = DROPPED_PARTS[part]
    assert dropped_counts()[name] > context.dropped[name], dropped_counts()


@when('"{router}" gets no more than the window of {sequence:d} unconfirmed')
@then('"{router}" gets no more than the window of {sequence:d} unconfirmed')
def then_window(context: Context, router: str, sequence: int) -> None:
    """Wait until the window is full and look on."""
    bench = bench_of(context)
    seen = seen_of(context, router, sequence)
    bench.wait(lambda: len(seen.payload) >= ANSWER_WINDOW_BYTES)
    bench.run(asyncio.sleep(0.1))
    assert len(seen.payload) <= ANSWER_WINDOW_BYTES + SLACK_BYTES


@then('the agent holds no more than the window and the worker waits')
def then_bounded(context: Context) -> None:
    """Look at the agent's memory and at what the worker could write."""
    bench = bench_of(context)
    plan = bench.worker.plan
    assert _held(bench) <= ANSWER_WINDOW_BYTES + SLACK_BYTES, _held(bench)
    assert bench.worker.written < plan.events * plan.event_bytes


@then('the agent remembers at most {count:d} of "{router}"')
def then_remembers(context: Context, count: int, router: str) -> None:
    """Count what is remembered of a router."""
    bench = bench_of(context)
    history = bench.agent._attempts._history(str(bench.router(router).name))
    assert len(history._closed) + len(history._verdicts) <= count


@then("the agent remembers no router's history")
def then_no_history(context: Context) -> None:
    """Look at the table."""
    assert not list(bench_of(context).agent._attempts.histories())


@then('"{router}" hears that the worker is leaving')
def then_leaving(context: Context, router: str) -> None:
    """Wait for the notice."""
    link = bench_of(context).router(router)
    bench_of(context).wait(lambda: any(one.leaving for one in link.changes))


@then('"{router}" hears of "{epoch}"')
def then_epoch(context: Context, router: str, epoch: str) -> None:
    """Wait for the notice."""
    link = bench_of(context).router(router)
    bench_of(context).wait(
        lambda: any(one.epoch == epoch for one in link.changes)
    )


@then("the agent's connections have Nagle's algorithm off")
def then_no_delay(context: Context) -> None:
    """Look at the accepted sockets."""
    server: Any = bench_of(context).agent._server._server
    for handler in server._handlers:
        for stream in handler._tasks:
            sock = stream._transport.get_extra_info('socket')
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    assert server._handlers


@then('the agent has not drained')
def then_not_drained(context: Context) -> None:
    """Look whether the drain still waits."""
    bench = bench_of(context)
    bench.run(asyncio.sleep(0.1))
    assert bench.draining is not None and not bench.draining.done()


@then('the agent has drained')
def then_drained(context: Context) -> None:
    """Wait for the end of the drain."""
    bench = bench_of(context)
    assert bench.draining is not None
    bench.run(asyncio.wait_for(bench.draining, 10))


@then('the agent still counts the demand of "{router}" for team "{team}"')
def then_demand(context: Context, router: str, team: str) -> None:
    """Look at the team's ledger."""
    bench = bench_of(context)
    ledger = bench.agent._team_limits._teams[team]
    assert ledger.demand(str(bench.router(router).name)).concurrency == 1


@then('the agent counts no demand for team "{team}"')
def then_no_demand(context: Context, team: str) -> None:
    """Look at the team's ledger."""
    ledger = bench_of(context).agent._team_limits._teams[team]
    assert ledger.routers == 0
