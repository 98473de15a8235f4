"""Check the stand-in workers' answers, caches and counts."""

import asyncio
import json
import signal
from math import isclose
from typing import Any

from behave import then
from behave.runner import Context
from lacewing_bench.answers import answer_text
from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import plain_answer
from lacewing_bench.standins import KvStore
from support.standins_bench import Bench
from support.standins_bench import bench_of
from support.standins_bench import block_names
from support.standins_bench import SALT
from support.standins_bench import text_of
from tornado.httpclient import HTTPClientError


@then('it prints where each of the three listens and answers there')
def then_prints(context: Context) -> None:
    """Read the three lines and ask each worker for its load."""
    bench = bench_of(context)
    for kind in ('engine', 'plain', 'kv'):
        line = json.loads(context.process.stdout.readline())
        assert line['event'] == 'listening', line
        assert line['kind'] == kind, line
        assert line['name'] == f'{kind}-1', line
        load = bench.run(bench.fetch_at(line['address'], '/load'))
        assert json.loads(load.body)['running'] == 0, load.body


@then('it ends with 0 on SIGTERM')
def then_ends(context: Context) -> None:
    """Stop the process."""
    context.process.send_signal(signal.SIGTERM)
    context.process.communicate()
    assert context.process.returncode == 0, context.process.returncode


@then('the stand-in settings are refused naming "{field}"')
def then_refused(context: Context, field: str) -> None:
    """Look at the error."""
    assert field in context.error, context.error


@then('{path} of "{name}" shows {expected}')
def then_shows(context: Context, path: str, name: str, expected: str) -> None:
    """Compare the named fields of a worker's answer."""
    answer = bench_of(context).get(name, path)
    for field, value in json.loads(expected).items():
        # Summed up step by step, so that the last digits vary.
        if isinstance(value, float):
            assert isclose(answer[field], value), answer
            continue
        assert answer[field] == value, answer


@then('the usage of "{rid}" is {tokens:d} prompt tokens, {hit:d} cached')
def then_usage(context: Context, rid: str, tokens: int, hit: int) -> None:
    """Look at an answer's usage."""
    usage = bench_of(context).answers[rid]['usage']
    assert usage['prompt_tokens'] == tokens, usage
    assert usage['prompt_tokens_details'] == {'cached_tokens': hit}, usage


@then('the answers "{first}" and "{second}" are {alike}')
def then_alike(context: Context, first: str, second: str, alike: str) -> None:
    """Compare texts."""
    bench = bench_of(context)
    same = text_of(bench, first) == text_of(bench, second)
    assert same is {'alike': True, 'different': False}[alike]


@then('the answer "{rid}" is what the load tool expects of "{prompt}"')
def then_expected(context: Context, rid: str, prompt: str) -> None:
    """Compare a text with the shared function's."""
    text = text_of(bench_of(context), rid)
    source = AnswerSource('diag', '', 'w1')
    words = len(text.split(' '))
    assert text == answer_text(prompt.encode(), source, words), text


@then('the answer "{second}" ends the answer "{first}" after {words:d} words')
def then_ends_answer(
    context: Context, second: str, first: str, words: int
) -> None:
    """Compare a continuation."""
    bench = bench_of(context)
    rest = text_of(bench, first).split(' ')[words:]
    assert text_of(bench, second) == ' ' + ' '.join(rest)


@then('the stream "{rid}" is cut after {count:d} events')
def then_cut(context: Context, rid: str, count: int) -> None:
    """Look for a broken stream."""
    stream = bench_of(context).streams[rid]
    assert stream.broken
    assert len(stream.events) == count, stream.events


@then('the stream "{rid}" breaks')
def then_breaks(context: Context, rid: str) -> None:
    """Wait for the stream's end and look at it."""
    bench = bench_of(context)
    bench.run(bench.settled())
    assert bench.streams[rid].broken
    assert '[DONE]' not in bench.streams[rid].data.decode()


@then('the events of "{rid}" are numbered 1 to {last:d} and end with [DONE]')
def then_numbered(context: Context, rid: str, last: int) -> None:
    """Look at the numbers of a stream's events."""
    events = bench_of(context).streams[rid].events
    numbers = [event.partition('\n')[0] for event in events]
    assert numbers == [f'id: {n}' for n in range(1, last + 1)], numbers
    assert events[-1].endswith('data: [DONE]'), events[-1]


@then('the stream "{rid}" ends with the finish reason "{reason}"')
def then_finish(context: Context, rid: str, reason: str) -> None:
    """Look at a stream's last chunk."""
    chunk = bench_of(context).streams[rid].chunks[-1]
    assert chunk['choices'][0]['finish_reason'] == reason, chunk
    assert chunk['id'] == rid, chunk


@then('the requests ended in the order "{order}"')
def then_order(context: Context, order: str) -> None:
    """Look at the order of the answers."""
    bench = bench_of(context)
    bench.run(bench.settled())
    ended = bench.ended
    assert ended == order.split(', '), ended


@then('"{name}" holds {count:d} blocks of the prompt "{letter}"')
def then_holds(context: Context, name: str, count: int, letter: str) -> None:
    """Ask an engine or a store for the leading blocks that it holds."""
    bench = bench_of(context)
    query = {'salt': SALT.hex(), 'blocks': block_names(letter)}
    if isinstance(bench.workers[name], KvStore):
        held = bench.get(name, '/kv/held', query)['held']
    else:
        held = bench.get(name, '/truth', query)['hit_blocks']
    assert held == count, held


@then(
    'the snapshot of "{name}" is the chain that the system computes'
    ' for "{letter}"'
)
def then_chain(context: Context, name: str, letter: str) -> None:
    """Compare both ways of hashing."""
    snapshot = bench_of(context).get(name, '/cache/snapshot')
    assert sorted(snapshot['blocks']) == sorted(block_names(letter))


@then('the cache events of "{name}" {tell} its snapshot')
def then_events(context: Context, name: str, tell: str) -> None:
    """Follow the events up to the snapshot's number, as an agent does."""
    bench = bench_of(context)
    snapshot = bench.get(name, '/cache/snapshot')
    events = bench.run(bench.events_until(name, snapshot['sequence']))
    numbers = [event['sequence'] for event in events]
    held: set[str] = set()
    for event in events:
        assert event['epoch'] == snapshot['epoch'], event
        if event['kind'] == 'stored':
            held.update(event['blocks'])
            continue
        held.difference_update(event['blocks'])
    whole = list(range(1, snapshot['sequence'] + 1))
    if tell == 'tell':
        assert numbers == whole, numbers
        assert held == set(snapshot['blocks'])
        return
    assert numbers != whole, numbers
    assert set(numbers) < set(whole), numbers


@then('the last order is answered {status:d}')
def then_order_status(context: Context, status: int) -> None:
    """Look at the answer to an order."""
    response = context.order
    assert response.code == status, response.body
    assert json.loads(response.body)['fence'] == 5, response.body


@then(
    'a request for other weights than "{weights}" is refused by "{name}"'
    ' with {status:d}'
)
def then_other_weights(
    context: Context, weights: str, name: str, status: int
) -> None:
    """Ask with the wrong and the right version."""
    bench = bench_of(context)
    body = {'model': 'diag', 'prompt': 'why', 'max_tokens': 1}
    for version, expected in (('w0', status), (weights, 200)):
        headers = {'X-Weights-Version': version}
        response = bench.run(
            bench.fetch(name, '/v1/completions', body, headers)
        )
        assert response.code == expected, response.body


@then('"{name}" has another epoch')
def then_epoch(context: Context, name: str) -> None:
    """Compare with the epoch before the last faults."""
    bench = bench_of(context)
    epoch = bench.get(name, '/load')['epoch']
    assert epoch != bench.first_epoch, epoch


@then('"{name}" no longer knows the request "{rid}"')
def then_unknown(context: Context, name: str, rid: str) -> None:
    """Ask for an answer."""
    bench = bench_of(context)
    response = bench.run(bench.fetch(name, f'/requests/{rid}/answer'))
    assert response.code == 404, response.body


@then('"{name}" refuses connections, then serves no model')
def then_refuses(context: Context, name: str) -> None:
    """Try until the worker is back."""
    bench = bench_of(context)
    refused = bench.run(_refusals(bench, name))
    assert refused > 0
    assert bench.get(name, '/v1/models')['data'] == []


async def _refusals(bench: Bench, name: str) -> int:
    refused = 0
    while True:
        try:
            await bench.fetch(name, '/v1/models')
        except HTTPClientError:
            refused += 1
            await asyncio.sleep(0.02)
            continue
        return refused


@then('"{name}" answers no request until its pause is over')
def then_paused(context: Context, name: str) -> None:
    """Compare with a call that is not frozen, and with the clock."""
    bench = bench_of(context)
    bench.run(_paused(bench, name))


async def _paused(bench: Bench, name: str) -> None:
    frozen = asyncio.create_task(bench.fetch(name, '/load'))
    await bench.fetch(name, '/truth')
    assert not frozen.done()
    assert (await frozen).code == 200
    pause_s = bench.workers[name].faults.now.pause_s
    assert bench.loop.time() >= bench.faults_at + pause_s


@then('the calls "{first}" and "{second}" got each other\'s answer')
def then_crossed(context: Context, first: str, second: str) -> None:
    """Look at ids and bodies."""
    _check_answer(bench_of(context), first, second)
    _check_answer(bench_of(context), second, first)


@then('the calls "{first}" and "{second}" got their own answer')
def then_own(context: Context, first: str, second: str) -> None:
    """Look at ids and bodies."""
    _check_answer(bench_of(context), first, first)
    _check_answer(bench_of(context), second, second)


def _check_answer(bench: Bench, caller: str, answered: str) -> None:
    response = bench.responses[caller]
    assert response.headers['X-Request-Id'] == answered, response.headers
    answer: Any = json.loads(response.body)
    if 'digest' in answer:
        body = json.dumps(bench.call_body(answered)).encode()
        assert response.body == plain_answer('/v1/completions', body)
        return
    source = AnswerSource('diag', '', 'w1')
    assert answer['id'] == answered, answer
    expected = answer_text(answered.encode(), source, 4)
    assert answer['choices'][0]['text'] == expected, answer
