"""Judge an answer by what the stand-in ought to have said."""

from enum import Enum

import msgspec

from lacewing_bench.answers import answer_text
from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import BadRequest
from lacewing_bench.answers import parse_model_request
from lacewing_bench.answers import plain_answer
from lacewing_bench.caller import Answer
from lacewing_bench.load._request import PLAIN_PREFIX
from lacewing_bench.load._request import TimedRequest

_OK = 200
_NOT_RUN = 'not-run'


class Finding(Enum):
    """Tell what came of a request.

    ``refused``: a true or false not-run, the counts tell which. ``lost``:
    no answer though it may have run. ``incomplete``: the answer's first part
    only. ``duplicated``: the answer and then more of it. ``crossed``: some
    other answer.
    """

    RIGHT = 'right'
    REFUSED = 'refused'
    LOST = 'lost'
    INCOMPLETE = 'incomplete'
    DUPLICATED = 'duplicated'
    CROSSED = 'crossed'


def encoded_body(request: TimedRequest) -> bytes:
    """Return the bytes that are sent as a request's body."""
    return b'' if request.body is None else msgspec.json.encode(request.body)


def expected_text(request: TimedRequest, weights: str) -> str:
    """Return what the stand-in ought to say; raise BadRequest."""
    body = encoded_body(request)
    if not request.is_model:
        prefix = f'{PLAIN_PREFIX}{request.service}'
        if not request.path.startswith(prefix):
            raise BadRequest(
                f'expected a path under {prefix}, got {request.path!r}'
            )
        return plain_answer(request.path.removeprefix(prefix), body).decode()
    asked = parse_model_request(request.path, body)
    source = AnswerSource(asked.model, asked.adapter, weights)
    return answer_text(asked.prompt, source, asked.max_tokens)


def judge(answer: Answer, expected: str) -> Finding:
    """Compare an answer with the expected text."""
    if answer.status != _OK:
        if answer.verdict == _NOT_RUN or not answer.sent:
            return Finding.REFUSED
        return Finding.LOST if not answer.events else Finding.INCOMPLETE
    if answer.text == expected:
        return Finding.RIGHT if answer.whole else Finding.INCOMPLETE
    if expected.startswith(answer.text):
        return Finding.INCOMPLETE
    if _repeats(answer.text, expected):
        return Finding.DUPLICATED
    return Finding.CROSSED


def _repeats(text: str, expected: str) -> bool:
    """Tell whether a text is the expected one with a part sent twice."""
    surplus = len(text) - len(expected)
    if surplus <= 0:
        return False
    common = 0
    while common < len(expected) and text[common] == expected[common]:
        common += 1
    # The second sending of the part begins where the texts part, or earlier
    # when the part's first letters are those that follow it.
    for end in range(max(common, surplus), surplus - 1, -1):
        again = expected[end - surplus :]
        if expected[:end] + again == text:
            return True
    return False
