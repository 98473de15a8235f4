"""Hold a workload and its checks for the steps of a scenario."""

from collections import Counter
from dataclasses import replace

from lacewing_bench.answers import answer_tokens
from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import CHAT_PATH
from lacewing_bench.answers import parse_model_request
from lacewing_bench.caller import Answer
from lacewing_bench.load._client import Outcome
from lacewing_bench.load._judge import encoded_body
from lacewing_bench.load._judge import Finding
from lacewing_bench.load._profile import loaded_deployment
from lacewing_bench.load._profile import profile_named
from lacewing_bench.load._request import TimedRequest
from lacewing_bench.load._work import Work
from lacewing_bench.load._workload import Workload
from lacewing_bench.load._workload import WorkloadOptions

WEIGHTS = 'w1'
OLDER_WEIGHTS = 'w0'
GOOD_LINE = (
    '{"at_s": 0, "team": "t1", "service": "registry",'
    ' "path": "/services/registry/a"}'
)
RIGHT_ANSWER = Answer(
    status=200,
    verdict='ran',
    request_id='r1',
    text='',
    events=1,
    cached_tokens=None,
    whole=True,
    first_ms=1.0,
)


def generate(
    deployment: str, options: WorkloadOptions
) -> tuple[TimedRequest, ...]:
    """Return the requests of a deployment's workload."""
    profile = profile_named(deployment)
    workload = Workload(loaded_deployment(profile), profile, options)
    return workload.requests()


def model_requests(
    requests: tuple[TimedRequest, ...],
) -> list[TimedRequest]:
    """Return the requests to the model."""
    return [request for request in requests if request.is_model]


def hottest_chapters(requests: list[TimedRequest]) -> dict[str, str]:
    """Return the most used second text under each first text."""
    counts: dict[str, Counter[str]] = {}
    for request in requests:
        first, second, *_ = request.body['messages']
        under = counts.setdefault(first['content'], Counter())
        under[second['content']] += 1
    hottest: dict[str, str] = {}
    for first_text, counted in counts.items():
        hottest[first_text] = counted.most_common(1)[0][0]
    return hottest


def streamed_request(question: str, tokens: int) -> TimedRequest:
    """Return a streamed request to the tutor."""
    body = {
        'model': 'governance-tutor',
        'stream': True,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': question}],
    }
    return TimedRequest(0.0, 't1', 'tutor', CHAT_PATH, body)


def tokens_of(
    request: TimedRequest, weights: str = WEIGHTS
) -> tuple[str, ...]:
    """Return the tokens that an engine ought to send."""
    asked = parse_model_request(request.path, encoded_body(request))
    source = AnswerSource(asked.model, asked.adapter, weights)
    return answer_tokens(asked.prompt, source, asked.max_tokens)


def said(tokens: tuple[str, ...]) -> Answer:
    """Return a whole answer of some tokens."""
    return replace(RIGHT_ANSWER, text=''.join(tokens), events=len(tokens))


def faulty_answer(request: TimedRequest, fault: str) -> Answer:
    """Return the answer with a fault, named as in the feature."""
    tokens = tokens_of(request)
    right = said(tokens)
    other = streamed_request('another question', len(tokens))
    failed = replace(right, text='', events=0, whole=False)
    answers = {
        'as expected': right,
        'cut after 3 tokens': replace(said(tokens[:3]), whole=False),
        'without its end': replace(right, whole=False),
        'empty': replace(said(()), whole=False),
        'with its last token twice': said((*tokens, tokens[-1])),
        'with its third token twice': said((*tokens[:3], *tokens[2:])),
        'sent twice': said((*tokens, *tokens)),
        'that of another request': said(tokens_of(other)),
        'that of the older weights': said(tokens_of(request, OLDER_WEIGHTS)),
        'with one letter changed': replace(right, text=right.text[:-1] + '#'),
        'with its third token missing': said((*tokens[:2], *tokens[3:])),
        'a broken connection': replace(failed, status=599, verdict=''),
        'an error that may have run': replace(
            failed, status=502, verdict='may-have-run'
        ),
        'an error that did not run': replace(
            failed, status=503, verdict='not-run'
        ),
        'a connection never made': replace(
            failed, status=599, verdict='', sent=False
        ),
    }
    return answers[fault]


def keyed_outcome(number: int, finding: Finding) -> Outcome:
    """Return the outcome of a call with the key ``k<number>``."""
    request = TimedRequest(
        0.0, 't1', 'registry', '/services/registry/a', {}, f'k{number}'
    )
    return Outcome(request, finding, 200, 1, 0.0, None, '')


def work_on(blocks: dict[str, int]) -> Work:
    """Return the work of engines that computed blocks so often."""
    return Work(0, 0, 0, {}, blocks, {}, {})
