"""Generate workloads and feed wrong answers to their checks."""

from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.load._judge import expected_text
from lacewing_bench.load._judge import Finding
from lacewing_bench.load._judge import judge
from lacewing_bench.load._profile import profile_named
from lacewing_bench.load._report import is_faulty
from lacewing_bench.load._report import summarize
from lacewing_bench.load._request import TimedRequest
from lacewing_bench.load._trace import check_teams
from lacewing_bench.load._trace import read_trace
from lacewing_bench.load._trace import TraceError
from lacewing_bench.load._trace import write_trace
from lacewing_bench.load._work import wasted_tokens
from lacewing_bench.load._workload import working_set_blocks
from lacewing_bench.load._workload import WorkloadOptions
from support.load_bench import faulty_answer
from support.load_bench import generate
from support.load_bench import GOOD_LINE
from support.load_bench import hottest_chapters
from support.load_bench import keyed_outcome
from support.load_bench import model_requests
from support.load_bench import streamed_request
from support.load_bench import WEIGHTS
from support.load_bench import work_on

BLOCK_TOKENS = 64
# About as long as a text of the innermost level is in use.
IN_USE_S = 15.0
LEVELS = 3


@given('the workload of {deployment} for {seconds:d} s with seed {seed:d}')
def given_workload(
    context: Context, deployment: str, seconds: int, seed: int
) -> None:
    """Choose a workload."""
    context.deployment = deployment
    context.options = WorkloadOptions(seed, float(seconds))


@given('its hot prefixes shift at {at_s:d} s')
def given_shift(context: Context, at_s: int) -> None:
    """Choose when the hot prefixes shift."""
    old = context.options
    context.options = WorkloadOptions(old.seed, old.seconds, float(at_s))


@given('a streamed request to the tutor for {tokens:d} tokens')
def given_request(context: Context, tokens: int) -> None:
    """Make a request whose answer is known."""
    context.request = streamed_request('what does clause 4 mean?', tokens)


@given('{count:d} calls with a key, each with its right answer')
def given_right_calls(context: Context, count: int) -> None:
    """Make calls that ended well."""
    context.outcomes = [
        keyed_outcome(number, Finding.RIGHT) for number in range(count)
    ]


@given('{count:d} calls with a key, each refused as not-run')
def given_refused_calls(context: Context, count: int) -> None:
    """Make calls that were refused."""
    context.outcomes = [
        keyed_outcome(number, Finding.REFUSED) for number in range(count)
    ]


@given('engines that computed blocks a, b and c before the window')
def given_blocks(context: Context) -> None:
    """Note what was computed before the window."""
    context.before = work_on({'a': 1, 'b': 1, 'c': 2})


@given('a trace whose second line is {line}')
def given_wrong_trace(context: Context, line: str) -> None:
    """Write a trace with a wrong line."""
    directory = context.resources.enter_context(TemporaryDirectory())
    context.trace = Path(directory) / 'trace.jsonl'
    context.trace.write_text(f'{GOOD_LINE}\n{line}\n')


@given('a trace of the teams t1 and t2')
def given_two_teams(context: Context) -> None:
    """Make requests of two teams."""
    path = '/services/registry/a'
    context.requests = (
        TimedRequest(0.0, 't1', 'registry', path),
        TimedRequest(0.0, 't2', 'registry', path),
    )


@when('it is generated')
@when('it is generated twice')
def generate_twice(context: Context) -> None:
    """Generate a workload two times."""
    context.requests = generate(context.deployment, context.options)
    context.again = generate(context.deployment, context.options)


@when('it is written as a trace and read')
def write_and_read(context: Context) -> None:
    """Write a trace and read it back."""
    directory = context.resources.enter_context(TemporaryDirectory())
    trace = Path(directory) / 'trace.jsonl'
    context.requests = generate(context.deployment, context.options)
    write_trace(context.requests, trace)
    context.again = read_trace(trace, WEIGHTS)


@when('its answer is {fault}')
def judge_answer(context: Context, fault: str) -> None:
    """Judge an answer with a fault."""
    answer = faulty_answer(context.request, fault)
    context.finding = judge(answer, expected_text(context.request, WEIGHTS))


@when('the plain service has run the second call {times}')
def run_second(context: Context, times: str) -> None:
    """Sum up with the second call's executions."""
    by_key = {'k1': {'once': 1, 'twice': 2}[times]}
    context.summary = summarize(context.outcomes, {}, by_key)


@when('the plain service has run none of them')
def run_none(context: Context) -> None:
    """Sum up without any execution."""
    context.summary = summarize(context.outcomes, {}, {})


@when('one engine computes a, d and d again in the window')
def compute_again(context: Context) -> None:
    """Note what was computed at the window's end."""
    context.after = work_on({'a': 2, 'b': 1, 'c': 2, 'd': 2})


@when('the trace is read')
def read_wrong_trace(context: Context) -> None:
    """Read a trace that is wrong."""
    context.error = ''
    try:
        read_trace(context.trace, WEIGHTS)
    except TraceError as error:
        context.error = str(error)


@when('it is checked against a key of t1 only')
def check_keys(context: Context) -> None:
    """Check the teams of a trace."""
    context.error = ''
    try:
        check_teams(context.requests, {'t1': 'key'})
    except TraceError as error:
        context.error = str(error)


@then('both have the same requests')
def same_requests(context: Context) -> None:
    """Compare all requests."""
    assert context.requests, 'expected some requests'
    assert context.requests == context.again


@then('another seed gives other requests')
def other_requests(context: Context) -> None:
    """Compare with another seed's."""
    options = WorkloadOptions(8, context.options.seconds)
    assert generate(context.deployment, options) != context.requests


@then('its times grow and end before {seconds:d} s')
def times_grow(context: Context, seconds: int) -> None:
    """Check the order of the times."""
    times = [request.at_s for request in context.requests]
    assert times == sorted(times)
    assert 0 < times[0] < times[-1] < seconds


@then('its prompts are nested in {levels:d} levels before the question')
def nested(context: Context, levels: int) -> None:
    """Check that each text has one parent, and questions are new."""
    parents: dict[str, str] = {}
    questions: set[str] = set()
    for request in model_requests(context.requests):
        texts = [each['content'] for each in request.body['messages']]
        assert len(texts) == levels + 1, len(texts)
        for parent, text in zip(texts[:-2], texts[1:-1], strict=True):
            assert parents.setdefault(text, parent) == parent
        assert texts[-1] not in questions
        questions.add(texts[-1])


@then(
    'the largest of {teams:d} teams sends over {times:d} times as much as'
    ' the smallest'
)
def unequal_teams(context: Context, teams: int, times: int) -> None:
    """Check the teams' shares."""
    counts = Counter(request.team for request in context.requests)
    assert len(counts) == teams, counts
    assert max(counts.values()) > times * min(counts.values()), counts


@then('the hottest first prefix has over {percent:d}% of the model requests')
def hot_prefix(context: Context, percent: int) -> None:
    """Check that some prefix is very hot."""
    asked = model_requests(context.requests)
    counts = Counter(each.body['messages'][0]['content'] for each in asked)
    _, most = counts.most_common(1)[0]
    assert most * 100 > percent * len(asked), (most, len(asked))


@then('each call that must not be repeated has a key of its own')
def own_keys(context: Context) -> None:
    """Check the idempotency keys."""
    keyed = [each for each in context.requests if each.idempotency_key]
    assert keyed
    assert len({each.idempotency_key for each in keyed}) == len(keyed)


@then(
    "one engine's cache holds from {least:d}% to {most:d}% of the prefixes"
    ' in use'
)
def cache_share(context: Context, least: int, most: int) -> None:
    """Compare the cache with what some seconds of load need."""
    window = [r for r in context.requests if r.at_s < IN_USE_S]
    in_use = working_set_blocks(tuple(window))
    capacity = profile_named(context.deployment).capacity_blocks
    share = 100 * capacity / in_use
    assert least <= share <= most, f'{share:.0f}% of {in_use} blocks'


@then('it is the same as without the shift before {at_s:d} s')
def same_before(context: Context, at_s: int) -> None:
    """Compare with the workload that doesn't shift."""
    options = WorkloadOptions(context.options.seed, context.options.seconds)
    steady = generate(context.deployment, options)
    before = [each for each in context.requests if each.at_s < at_s]
    assert before == [each for each in steady if each.at_s < at_s]
    assert context.requests != steady


@then('the hottest chapter before {at_s:d} s is another than after')
def other_chapter(context: Context, at_s: int) -> None:
    """Compare the hottest texts under the hottest first text."""
    asked = model_requests(context.requests)
    counts = Counter(each.body['messages'][0]['content'] for each in asked)
    first, _ = counts.most_common(1)[0]
    before = hottest_chapters([each for each in asked if each.at_s < at_s])
    after = hottest_chapters([each for each in asked if each.at_s >= at_s])
    assert before[first] != after[first]


@then('it is found to be {finding}')
def found(context: Context, finding: str) -> None:
    """Compare the finding."""
    assert context.finding is Finding(finding), context.finding


@then('the summary has {count:d} {what}')
def summary_has(context: Context, count: int, what: str) -> None:
    """Compare one count."""
    name = {'false refusal': 'false_refusals'}.get(what, what)
    assert getattr(context.summary, name) == count, context.summary


@then('the run is faulty')
def run_is_faulty(context: Context) -> None:
    """Check that the run fails."""
    assert is_faulty(context.summary)


@then('the run is not faulty')
def run_is_not_faulty(context: Context) -> None:
    """Check that the run passes."""
    assert not is_faulty(context.summary)


@then('{blocks:d} blocks of 64 tokens are wasted')
def blocks_wasted(context: Context, blocks: int) -> None:
    """Compare the wasted tokens."""
    found_tokens = wasted_tokens(context.before, context.after)
    assert found_tokens == blocks * BLOCK_TOKENS, found_tokens


@then('the error names line {number:d} and says {message}')
def error_says(context: Context, number: int, message: str) -> None:
    """Check what the error tells the reader."""
    assert f'line {number}:' in context.error, context.error
    assert message in context.error, context.error


@then('the error names the team {team}')
def error_names_team(context: Context, team: str) -> None:
    """Check that the error tells the team."""
    assert repr(team) in context.error, context.error
