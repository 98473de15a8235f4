"""Check a model request's JSON and read its prompt."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import TypeVar

import msgspec
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 64

T = TypeVar('T')

CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'


class _TextPart(msgspec.Struct, frozen=True):
    text: str
    type: str = 'text'


class _ChatMessage(msgspec.Struct, frozen=True):
    role: str
    content: str | list[_TextPart] | None = None


class _Body(msgspec.Struct, frozen=True, kw_only=True):
    model: str
    stream: bool = False
    max_tokens: int | None = None
    n: int = 1


class _ChatBody(_Body, frozen=True, kw_only=True):
    messages: list[_ChatMessage]
    max_completion_tokens: int | None = None


class _CompletionBody(_Body, frozen=True, kw_only=True):
    prompt: str


@dataclass(frozen=True)
class Prompt:
    """Hold what routing needs of a model request.

    ``segments``: canonical prompt bytes, one segment a nested level.
    ``choices``: the number of answers asked for at once.
    """

    model: str
    adapter: str
    stream: bool
    choices: int
    max_tokens: int | None
    segments: tuple[bytes, ...]


_chat_decoder = msgspec.json.Decoder(_ChatBody)
_completion_decoder = msgspec.json.Decoder(_CompletionBody)


def parse_chat(body: bytes) -> Prompt | Refusal:
    """Read the body of a chat completion."""
    decoded = _decode(_chat_decoder.decode, body)
    if isinstance(decoded, Refusal):
        return decoded
    segments: list[bytes] = []
    for message in decoded.messages:
        segments.append(_canonical(message))
    limit = decoded.max_tokens
    if limit is None:
        limit = decoded.max_completion_tokens
    return _prompt(decoded, limit, tuple(segments))


def parse_completion(body: bytes) -> Prompt | Refusal:
    """Read the body of a completion."""
    decoded = _decode(_completion_decoder.decode, body)
    if isinstance(decoded, Refusal):
        return decoded
    segments = (decoded.prompt.encode(),)
    return _prompt(decoded, decoded.max_tokens, segments)


def too_large(size: int) -> Refusal:
    """Build the refusal of an oversized body of ``size`` bytes."""
    return not_run(
        Reason.TOO_LARGE,
        f'expected a body of at most {MAX_BODY_BYTES} bytes,'
        f' got {size} or more',
    )


def bad_request(message: str) -> Refusal:
    """Build the refusal of a malformed request."""
    return not_run(Reason.BAD_REQUEST, message)


def _decode(decode: Callable[[bytes], T], body: bytes) -> T | Refusal:
    try:
        decoded = decode(body)
    except RecursionError:
        return _too_deep()
    except msgspec.ValidationError as error:
        return bad_request(f'the JSON body is not as expected: {error}')
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return bad_request(f'expected a JSON object as body: {error}')
    if _is_too_deep(body):
        return _too_deep()
    return decoded


def _too_deep() -> Refusal:
    return bad_request(
        f'expected JSON nested at most {MAX_DEPTH} levels deep, got more'
    )


def _is_too_deep(body: bytes) -> bool:
    # Few brackets can't nest deeply; only a body with many is walked.
    if body.count(b'[') + body.count(b'{') <= MAX_DEPTH:
        return False
    try:
        level: list[Any] = [msgspec.json.decode(body)]
    except RecursionError:
        return True
    for _ in range(MAX_DEPTH):
        level = _containers_within(level)
        if not level:
            return False
    return True


def _containers_within(containers: list[Any]) -> list[Any]:
    found: list[Any] = []
    for container in containers:
        members = container
        if isinstance(container, dict):
            members = container.values()
        for member in members:
            if isinstance(member, (dict, list)):
                found.append(member)
    return found


def _canonical(message: _ChatMessage) -> bytes:
    content = message.content
    if content is None:
        content = ''
    if isinstance(content, list):
        content = ''.join(part.text for part in content)
    return f'{message.role}\n{content}\n'.encode()


def _prompt(
    body: _Body, limit: int | None, segments: tuple[bytes, ...]
) -> Prompt | Refusal:
    if limit is not None and limit < 1:
        return bad_request(f'expected max_tokens of at least 1, got {limit}')
    model, _, adapter = body.model.partition(':')
    return Prompt(
        model=model,
        adapter=adapter,
        stream=body.stream,
        choices=body.n,
        max_tokens=limit,
        segments=segments,
    )
