"""Check what callers got and what agents were asked."""

import http.client
import json

from behave import then
from behave.runner import Context
from lacewing_bench.fake_agent import chat_events
from lacewing_bench.fake_agent import ChatPart
from lacewing_bench.fake_agent import until
from lacewing_common.prefix import cache_salt
from lacewing_common.prefix import chain
from support.router_bench import ask
from support.router_bench import attempts_of
from support.router_bench import CHAT
from support.router_bench import chat_body
from support.router_bench import chunks_of
from support.router_bench import dropped_frames
from support.router_bench import go_on
from support.router_bench import MB
from support.router_bench import MESSAGES
from support.router_bench import run_soon
from support.router_bench import SECRET
from support.router_bench import token_events


@then('the status is {status:d} and the verdict is "{verdict}"')
def then_status(context: Context, status: int, verdict: str) -> None:
    """Check the answer's head."""
    answer = context.answer
    assert answer.status == status, answer
    assert answer.headers['Lacewing-Verdict'] == verdict, answer.headers


@then("the answer is the agent's, with the caller's request id")
def then_whole(context: Context) -> None:
    """Check the answer's body and id."""
    answer = context.answer
    assert json.loads(answer.body) == {'ok': True}, answer.body
    assert answer.headers['X-Request-Id'] == 'request-1', answer.headers


@then("the agent was given the prompt's hashes and the text unchanged")
def then_hashes(context: Context) -> None:
    """Check the Start against the published hashing rule."""
    start = context.agents[0].seen.starts[0]
    salt = cache_salt(bytes.fromhex(SECRET), 'rahmat', 'handbook', '', 'w1')
    segments = [f'{m["role"]}\n{m["content"]}\n' for m in MESSAGES]
    expected = chain(salt, tuple(text.encode() for text in segments))
    assert start.salt == salt, start
    assert start.blocks == b''.join(expected.blocks), start
    assert start.levels == expected.levels, start
    assert start.body == context.asked_body, start


@then('the caller got {count:d} tokens, each once and in order, then the end')
def then_stream(context: Context, count: int) -> None:
    """Check the stream byte by byte."""
    assert context.answer.body == b''.join(token_events(count)), context.answer


@then(
    'every stream has {count:d} words, one id, events numbered in order,'
    ' its end'
)
def then_words(context: Context, count: int) -> None:
    """Check each stream as a caller's library would read it."""
    for answer in context.answers:
        chunks = chunks_of(answer)
        assert {chunk['id'] for chunk in chunks} == {'chatcmpl-fake'}, chunks
        deltas = [chunk['choices'][0]['delta'] for chunk in chunks]
        text = ''.join(delta.get('content', '') for delta in deltas)
        assert text == ''.join(f' w{n}' for n in range(1, count + 1)), text
        roles = [delta['role'] for delta in deltas if 'role' in delta]
        assert roles == ['assistant'], roles
        assert chunks[-1]['choices'][0]['finish_reason'] == 'length', chunks


@then('the usage counts {answer:d} words of answer to {prompt:d} of prompt')
def then_usage(context: Context, answer: int, prompt: int) -> None:
    """Check the last chunk of the continued stream."""
    usage = chunks_of(context.answer)[-1]['usage']
    assert usage['completion_tokens'] == answer, usage
    assert usage['prompt_tokens'] == prompt, usage


@then('the second agent was asked for {count:d} words after "{words}"')
def then_continued(context: Context, count: int, words: str) -> None:
    """Check the body and the hashes of the continuation."""
    start = context.agents[1].seen.starts[-1]
    body = json.loads(start.body)
    assert body['max_tokens'] == count, body
    assert body['messages'][:-1] == MESSAGES, body
    said = body['messages'][-1]
    assert said == {'role': 'assistant', 'content': f' {words}'}, said
    first = context.agents[0].seen.starts[0]
    assert start.blocks.startswith(first.blocks), start


@then('the stream has {count:d} words and then an error event with "{code}"')
def then_error_event(context: Context, count: int, code: str) -> None:
    """Check the words and the last event."""
    words = chat_events(ChatPart('chatcmpl-fake', 6))[:count]
    body = context.answer.body
    assert body.startswith(b''.join(words)), body
    last = body.removeprefix(b''.join(words)).decode()
    event, data, *rest = last.split('\n')
    assert event == 'event: error', last
    assert rest == ['', ''], last
    error = json.loads(data.removeprefix('data: '))['error']
    assert error['code'] == code, error
    assert error['verdict'] == 'ran', error


@then('the caller sees that the answer was cut')
def then_cut(context: Context) -> None:
    """Check that the chunked answer had no end."""
    assert isinstance(context.cut, http.client.IncompleteRead)


@then('the caller has all {size:d} MB')
def then_all(context: Context, size: int) -> None:
    """Check the length of the answer."""
    assert context.length == size * MB, context.length


@then('only the second agent was asked, under the weights "{weights}"')
def then_weights(context: Context, weights: str) -> None:
    """Check the Starts and their salt."""
    first, second = context.agents
    assert not first.seen.starts, first.seen
    salt = cache_salt(bytes.fromhex(SECRET), 'rahmat', 'handbook', '', weights)
    for start in second.seen.starts:
        assert start.weights == weights, start
        assert start.salt == salt, start


@then('the agent got "{method}" on "{path}" as idempotent')
def then_plain(context: Context, method: str, path: str) -> None:
    """Check the Start of a plain call."""
    start = context.agents[0].seen.starts[0]
    assert (start.method, start.path) == (method, path), start
    assert start.idempotent, start


@then('the error has the code "{code}" and says "{message}"')
def then_error(context: Context, code: str, message: str) -> None:
    """Check the error body."""
    error = context.answer.error
    assert error['code'] == code, error
    assert message in error['message'], error
    assert error['verdict'] == context.answer.headers['Lacewing-Verdict']
    assert error['request_id'] == context.answer.headers['X-Request-Id']


@then('the answer says when to come back')
def then_retry_after(context: Context) -> None:
    """Check the Retry-After header."""
    assert int(context.answer.headers['Retry-After']) >= 1


@then('the models are "{names}"')
def then_models(context: Context, names: str) -> None:
    """Check the list of models."""
    listed = json.loads(context.answer.body)['data']
    assert [model['id'] for model in listed] == names.split(', '), listed


@then('every status was {status:d}')
def then_every_status(context: Context, status: int) -> None:
    """Check all answers."""
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {status}, statuses


@then('every status was {status:d} and every verdict "{verdict}"')
def then_every_verdict(context: Context, status: int, verdict: str) -> None:
    """Check all answers' heads."""
    for answer in context.answers:
        assert answer.status == status, answer
        assert answer.headers['Lacewing-Verdict'] == verdict, answer


@then('every error has the code "{code}" and a Retry-After of {seconds} s')
def then_every_error(context: Context, code: str, seconds: str) -> None:
    """Check that the callers are told the workers' reason and time."""
    for answer in context.answers:
        assert answer.error['code'] == code, answer
        assert answer.headers['Retry-After'] == seconds, answer


@then('no request was started more than once on one agent')
def then_once_each(context: Context) -> None:
    """Check that no agent had two Starts of one request."""
    for agent in context.agents:
        ids = [start.request_id for start in agent.seen.starts]
        assert len(ids) == len(set(ids)), ids


@then('at most {count:d} attempts were made')
def then_at_most(context: Context, count: int) -> None:
    """Check the agents' counts: 40 requests, a burst and their share."""
    attempts = attempts_of(context)
    assert len(context.answers) < attempts <= count, attempts


@then('{count:d} attempt was made in all')
@then('{count:d} attempts were made in all')
def then_attempts(context: Context, count: int) -> None:
    """Check the agents' counts."""
    assert attempts_of(context) == count, attempts_of(context)


@then('the agent was asked to resume after {count:d} tokens')
def then_resumed(context: Context, count: int) -> None:
    """Check the offset of the Ask."""
    asks = context.agents[0].seen.asks
    expected = len(b''.join(token_events(6)[:count]))
    assert [ask.offset for ask in asks] == [expected], asks


@then('the router counted dropped frames')
def then_dropped(context: Context) -> None:
    """Check the counts: two frames of other attempts and a repeat."""
    now = dropped_frames()
    new: dict[str, float] = {}
    for cause, count in now.items():
        if count > context.dropped.get(cause, 0.0):
            new[cause] = count - context.dropped.get(cause, 0.0)
    expected = {'crossed': 1.0, 'attempt-closed': 1.0, 'repeated': 1.0}
    assert new == expected, new


@then('the agent is told to cancel the attempt')
def then_cancelled(context: Context) -> None:
    """Wait for the Cancel of the one attempt."""
    seen = context.agents[0].seen
    context.loop.call(until(lambda: bool(seen.cancels)))
    assert seen.cancels[0].attempt == seen.starts[0].attempt, seen


@then('the router has no open requests')
def then_none_open(context: Context) -> None:
    """Wait until the router has forgotten the request."""
    router = context.router
    context.loop.call(until(lambda: router.status.open_requests == 0))


@then(
    'a new request is refused with {status:d} "{code}" and its connection'
    ' closed'
)
def then_draining(context: Context, status: int, code: str) -> None:
    """Ask a draining router."""
    answer = ask(context, 'POST', CHAT, chat_body())
    assert answer.status == status, answer
    assert answer.error['code'] == code, answer
    assert answer.headers['Connection'] == 'close', answer.headers
    assert 'Retry-After' in answer.headers, answer.headers


@then('the drain ends only after the open stream got all {count:d} tokens')
def then_drained(context: Context, count: int) -> None:
    """Let the agent go on, read the rest, then wait for the drain."""
    assert not context.drain.done()
    then_open_stream(context, count)
    context.loop.call(until(context.drain.done))


@then('the open stream gets all {count:d} tokens')
def then_open_stream(context: Context, count: int) -> None:
    """Let the agent go on and read the rest of the stream."""
    context.loop.call(go_on(context.agents[0]))
    read = context.read + context.stream.read()
    context.reader.connection.close()
    assert read == b''.join(token_events(count)), read


@then('the next {count:d} requests go to the second agent')
def then_second(context: Context, count: int) -> None:
    """Ask, and check the agents' counts."""
    first = len(context.agents[0].seen.starts)
    for _ in range(count):
        assert ask(context, 'POST', CHAT, chat_body()).status == 200
    assert len(context.agents[0].seen.starts) == first
    asked = len(context.agents[1].seen.starts) - context.before
    assert asked == count, asked


@then('the agent never gets the call once it reads again')
def then_never_sent(context: Context) -> None:
    """Let the agent read and answer another call, then look at all."""
    agent = context.agents[0]
    seen = agent.seen
    begun = [a for a in context.by_id.values() if a.status == 504]
    context.loop.call(run_soon(agent.thaw))
    context.loop.call(until(lambda: len(seen.cancels) == len(begun)))
    answer = ask(context, 'POST', '/services/archive/records', b'last')
    assert answer.status == 200, answer
    bodies = [start.body[:5] for start in seen.starts]
    assert bodies == [b'xxxxx'] * len(begun) + [b'last'], bodies


@then('the router sees {count:d} attempt of {blocks:d} blocks at the agent')
def then_seen(context: Context, count: int, blocks: int) -> None:
    """Check what the policy is told of the worker."""
    links = context.router._serving.links
    view = links.eligible('tutor', 'handbook:w1').view('agent-1')
    assert (view.in_flight, view.in_flight_blocks) == (count, blocks), view
