"""Judge one answer by what the stand-in ought to have said."""

from enum import Enum

import msgspec

from lacewing_bench.answers import answer_text
from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import parse_model_request
from lacewing_bench.answers import plain_answer
from lacewing_bench.caller import Answer
from lacewing_bench.caller import Call
from lacewing_bench.fleet import MODEL_WEIGHTS
from lacewing_bench.load._judge import Finding as Text
from lacewing_bench.load._judge import judge as judge_text

_OK = 200
_NO_ANSWER = 599
_ERROR_EVENT = 'event: error\n'
_VERDICTS = ('not-run', 'may-have-run', 'ran')
_NOT_RUN = 'not-run'


class Finding(Enum):
    """Tell what came of one try.

    ``unsent``: no connection. ``refused``: not run, it says. ``failed``: an
    error that says it may have run. ``marked``: a stream that ends with an
    error event. ``unmarked``: an error without a verdict. ``silent``: a
    stream or body that ends too soon. ``broken``: no byte of an answer.
    """

    RIGHT = 'right'
    UNSENT = 'unsent'
    REFUSED = 'refused'
    FAILED = 'failed'
    MARKED = 'marked'
    UNMARKED = 'unmarked'
    SILENT = 'silent'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    HUNG_UP = 'hung-up'
    DOUBLED = 'doubled'
    CROSSED = 'crossed'


def expected_text(call: Call) -> str:
    """Return what the stand-in ought to say to a call."""
    body = b'' if call.body is None else msgspec.json.encode(call.body)
    if call.path.startswith('/services/'):
        _, _, _, path = call.path.split('/', 3)
        return plain_answer(f'/{path}', body).decode()
    asked = parse_model_request(call.path, body)
    source = AnswerSource(asked.model, asked.adapter, MODEL_WEIGHTS)
    return answer_text(asked.prompt, source, asked.max_tokens)


def judge(answer: Answer, raw: str, call: Call) -> Finding:
    """Judge an answer, ``raw`` being its body as it came."""
    if not answer.sent:
        return Finding.UNSENT
    if answer.status not in (_OK, _NO_ANSWER):
        if answer.verdict not in _VERDICTS:
            return Finding.UNMARKED
        if answer.verdict == _NOT_RUN:
            return Finding.REFUSED
        return Finding.FAILED
    expected = expected_text(call)
    text = judge_text(_as_ok(answer), expected)
    if text is Text.DUPLICATED:
        return Finding.DOUBLED
    if text is Text.CROSSED and not _is_cut_body(answer, call):
        return Finding.CROSSED
    if answer.status == _OK and text is Text.RIGHT:
        return Finding.RIGHT
    if call.streamed and _ERROR_EVENT in raw:
        # The stream says itself that it is not whole.
        return Finding.MARKED
    if answer.whole or raw:
        return Finding.SILENT
    return Finding.BROKEN


def _is_cut_body(answer: Answer, call: Call) -> bool:
    """Tell whether a whole answer is a piece that can't be read as JSON."""
    return not call.streamed and not answer.whole


def _as_ok(answer: Answer) -> Answer:
    # The connection broke; what came before is compared all the same.
    return Answer(
        status=_OK,
        verdict=answer.verdict,
        request_id=answer.request_id,
        text=answer.text,
        events=answer.events,
        cached_tokens=answer.cached_tokens,
        whole=answer.whole,
        first_ms=answer.first_ms,
    )
