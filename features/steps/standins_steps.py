"""Start stand-in workers, call them and set their faults."""

import json
import subprocess
import sys
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.answers import answer_tokens
from lacewing_bench.answers import AnswerSource
from lacewing_bench.standins import ConfigError
from lacewing_bench.standins import parse_config
from support.standins_bench import bench_of
from support.standins_bench import block_names
from support.standins_bench import long_prompt
from support.standins_bench import OTHER_SALT
from support.standins_bench import text_of
from support.standins_bench import until_load

_KINDS = {'engine': 'engine', 'plain service': 'plain', 'KV store': 'kv'}


@given('the stand-in engines "{first}" and "{second}"')
def given_engines(context: Context, first: str, second: str) -> None:
    """Start two engines alike."""
    bench_of(context).add('engine', first, '{}')
    bench_of(context).add('engine', second, '{}')


@given('the stand-in {kind} "{name}" with {settings}')
def given_worker(
    context: Context, kind: str, name: str, settings: str
) -> None:
    """Start a worker with some settings."""
    bench_of(context).add(_KINDS[kind], name, settings)


@given('the stand-in engine "{name}" that fetches weights from "{platform}"')
def given_fetching(context: Context, name: str, platform: str) -> None:
    """Start an engine with a weight store."""
    bench = bench_of(context)
    url = f'http://{bench.workers[platform].address}'
    bench.add('engine', name, json.dumps({'platform': url}))


@given('a chat whose answer begins as that of its text and a role line')
def given_ambiguous(context: Context) -> None:
    """Try questions until two answers begin alike."""
    context.source = AnswerSource('diag', '', 'w1')
    for number in count():
        prompt = f'user\nquestion {number}\n'.encode()
        longer = prompt + b'assistant\n'
        own = answer_tokens(prompt, context.source, 5)
        other = answer_tokens(longer, context.source, 5)
        if own[0] == other[0]:
            context.prompt, context.tokens = longer, own
            return


@when('the chat is continued after one word')
def when_word_continued(context: Context) -> None:
    """Append the word as a message of the assistant's."""
    prompt = context.prompt + context.tokens[0].encode() + b'\n'
    context.rest = answer_tokens(prompt, context.source, 4)


@then('the rest of its own answer follows')
def then_own_rest(context: Context) -> None:
    """Compare the words."""
    assert context.rest == context.tokens[1:], context.rest


@when('"{name}" is asked "{prompt}" for {tokens:d} tokens as "{rid}"')
def when_asked(
    context: Context, name: str, prompt: str, tokens: int, rid: str
) -> None:
    """Get a whole answer."""
    bench = bench_of(context)
    bench.run(bench.ask(name, prompt, tokens, rid, 0))


@when(
    '"{name}" continues "{prompt}" and the first {words:d} words of "{first}"'
    ' for {tokens:d} tokens as "{rid}"'
)
def when_continued(
    context: Context,
    name: str,
    prompt: str,
    words: int,
    first: str,
    tokens: int,
    rid: str,
) -> None:
    """Append the first words of an answer to its prompt."""
    bench = bench_of(context)
    said = ' '.join(text_of(bench, first).split(' ')[:words])
    bench.run(bench.ask(name, prompt + said, tokens, rid, 0))


@when(
    '"{name}" is asked a prompt "{letter}" of {blocks:d} blocks and'
    ' {extra:d} bytes as "{rid}"'
)
def when_asked_blocks(
    context: Context,
    name: str,
    letter: str,
    blocks: int,
    extra: int,
    rid: str,
) -> None:
    """Get a whole answer to a long prompt."""
    bench = bench_of(context)
    bench.run(bench.ask(name, long_prompt(letter, blocks, extra), 2, rid, 0))


@when("the salt is another team's")
def when_other_salt(context: Context) -> None:
    """Ask in another team's name from now on."""
    bench_of(context).salt = OTHER_SALT


@when('"{name}" is given the faults {faults}')
def when_faults(context: Context, name: str, faults: str) -> None:
    """Set the fault switches over HTTP."""
    bench = bench_of(context)
    bench.first_epoch = bench.workers[name].epoch
    bench.faults_at = bench.loop.time()
    response = bench.run(bench.fetch(name, '/faults', json.loads(faults)))
    assert response.code == 200, response.body


@when('"{name}" streams "{prompt}" for {tokens:d} tokens as "{rid}"')
def when_streams(
    context: Context, name: str, prompt: str, tokens: int, rid: str
) -> None:
    """Follow a stream to its end."""
    bench = bench_of(context)
    bench.run(bench.stream(name, prompt, tokens, rid))


@when('"{name}" begins to stream "{prompt}" for {tokens:d} tokens as "{rid}"')
def when_begins(
    context: Context, name: str, prompt: str, tokens: int, rid: str
) -> None:
    """Follow a stream until its first event came."""
    bench = bench_of(context)
    bench.start(bench.stream(name, prompt, tokens, rid))
    bench.run(bench.first_event(rid))


@when('"{name}" begins to stream a prompt "{letter}" of 2 blocks as "{rid}"')
def when_begins_blocks(
    context: Context, name: str, letter: str, rid: str
) -> None:
    """Follow a long prompt's stream until its first event came."""
    when_begins(context, name, long_prompt(letter, 2), 100_000, rid)


@when('the stream "{rid}" is resumed at "{name}" after event {number:d}')
def when_resumed(context: Context, rid: str, name: str, number: int) -> None:
    """Resume a stream by its request id."""
    bench = bench_of(context)
    extra = {'Last-Event-ID': str(number)}
    path = f'/requests/{rid}/stream'
    bench.run(bench.follow(name, path, None, rid, extra))


@when('the request "{rid}" is cancelled at "{name}"')
@then('the request "{rid}" can be cancelled at "{name}" once more')
def when_cancelled(context: Context, rid: str, name: str) -> None:
    """Cancel by request id."""
    bench = bench_of(context)
    bench.get(name, f'/requests/{rid}/cancel', {})
    bench.run(bench.settled())


@when('a request "{rid}" of priority {rank:d} waits at "{name}"')
def when_waits(context: Context, rid: str, rank: int, name: str) -> None:
    """Queue a request behind the running one."""
    bench = bench_of(context)
    before = bench.workers[name].batch.waiting
    bench.start(bench.ask(name, 'why', 2, rid, rank))
    bench.workers[name].history.lag_s = 0.0
    bench.run(until_load(bench, name, 1, before + 1))


@when('"{name}" is ordered to load "{weights}" with the fencing number {n:d}')
def when_ordered(context: Context, name: str, weights: str, n: int) -> None:
    """Order new weights."""
    bench = bench_of(context)
    order = {
        'fence': n,
        'order': 'load',
        'model': 'diag',
        'weights': weights,
    }
    context.order = bench.run(bench.fetch(name, '/orders', order))


@when('"{name}" {moves} {n:d} blocks of the prompt "{letter}" at "{store}"')
def when_moved(
    context: Context, name: str, moves: str, n: int, letter: str, store: str
) -> None:
    """Move blocks between an engine and a store and count them."""
    bench = bench_of(context)
    path = {'exports': '/kv/export', 'imports': '/kv/import'}[moves]
    url = f'http://{bench.workers[store].address}'
    query = {'store': url, 'blocks': block_names(letter)}
    moved = bench.get(name, path, query)
    assert moved == {'blocks': n}, moved


@when('"{name}" gets the calls "{first}" and "{second}" at once')
def when_at_once(context: Context, name: str, first: str, second: str) -> None:
    """Call a worker twice at the same time."""
    bench = bench_of(context)
    bench.run(bench.call_all(name, (first, second), {}))


@when('"{name}" is called as "{rid}" with the idempotency key "{key}"')
def when_called(context: Context, name: str, rid: str, key: str) -> None:
    """Call a plain service."""
    bench = bench_of(context)
    bench.run(bench.call_all(name, (rid,), {'Idempotency-Key': key}))


@when('the call "{rid}" is under way at "{name}"')
def when_under_way(context: Context, rid: str, name: str) -> None:
    """Start a call and wait until it runs."""
    bench = bench_of(context)
    bench.start(bench.call_all(name, (rid,), {}))
    while rid not in bench.get(name, '/counts')['executions']:
        continue


@when('the calls "{first}" and "{second}" wait at "{name}"')
def when_calls_wait(
    context: Context, first: str, second: str, name: str
) -> None:
    """Let one call run and one queue."""
    bench = bench_of(context)
    bench.workers[name].history.lag_s = 0.0
    bench.start(bench.call_all(name, (first,), {}))
    bench.run(until_load(bench, name, 1, 0))
    bench.start(bench.call_all(name, (second,), {}))
    bench.run(until_load(bench, name, 1, 1))


@when('stand-in settings are read with {text}')
def when_settings(context: Context, text: str) -> None:
    """Read settings and keep the error."""
    context.error = ''
    try:
        parse_config(text.encode())
    except ConfigError as error:
        context.error = str(error)


@when(
    'a stand-in process is started for an engine, a plain service and a store'
)
def when_process(context: Context) -> None:
    """Start a process with three workers."""
    directory = context.resources.enter_context(TemporaryDirectory())
    path = Path(directory) / 'standins.json'
    kinds = ('engine', 'plain', 'kv')
    workers = [{'kind': kind, 'name': f'{kind}-1'} for kind in kinds]
    path.write_text(json.dumps({'workers': workers}))
    command = [sys.executable, '-m', 'lacewing_bench.standins']
    context.process = subprocess.Popen(
        [*command, '--config', str(path)], stdout=subprocess.PIPE, text=True
    )
    context.resources.callback(context.process.kill)
