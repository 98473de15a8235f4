"""Say what a stand-in ought to answer to a request.

The engines and the load tool share these functions, so that a tool can
check an answer without asking the worker that gave it. An engine's answer
depends on the canonical prompt, the model, the adapter and the weights
version; a plain service's on path and body.
"""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'
TOKEN_BYTES = 4
DEFAULT_MAX_TOKENS = 16

# Opens each answer, so that a prompt which ends with the first words of an
# answer is told from any other prompt.
_ANSWER_MARK = '=>'
_DIGEST_BYTES = 64
_ONSETS = 'b d f g k l m n p r s t v z ch sh'.split()
_RHYMES = 'ad el in or um ak et is ow ur am en ip od us ay'.split()
_WORDS = tuple(onset + rhyme for onset in _ONSETS for rhyme in _RHYMES)
# Shared by all answers, so that a kept answer costs a pointer a token.
_LATER_TOKENS = tuple(' ' + word for word in _WORDS)


class BadRequest(ValueError):
    """Report a body that is not a request; say what was expected."""


class ChatMessage(msgspec.Struct, frozen=True):
    """Hold one message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Hold what a stand-in reads of a chat request."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """Hold what a stand-in reads of a completion request."""

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class PlainAnswer(msgspec.Struct, frozen=True):
    """Hold a plain service's answer: the path and a digest of the call."""

    path: str
    digest: str


@dataclass(frozen=True)
class ModelRequest:
    """Hold a parsed request to an engine; ``prompt`` is canonical text."""

    model: str
    adapter: str
    prompt: bytes
    max_tokens: int
    stream: bool
    chat: bool

    @property
    def prompt_tokens(self) -> int:
        """Return the prompt's tokens, a started one counted whole."""
        return -(-len(self.prompt) // TOKEN_BYTES)


@dataclass(frozen=True)
class AnswerSource:
    """Name what an answer depends on besides the prompt."""

    model: str
    adapter: str
    weights: str


def parse_model_request(path: str, body: bytes) -> ModelRequest:
    """Read a request to an engine; raise BadRequest when malformed."""
    chat = path == CHAT_PATH
    kind: Any = ChatBody if chat else CompletionBody
    try:
        parsed = msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise BadRequest(f'expected a {kind.__name__}: {error}') from error
    if parsed.max_tokens < 1:
        raise BadRequest(
            f'expected max_tokens of at least 1, got {parsed.max_tokens}'
        )
    model, _, adapter = parsed.model.partition(':')
    prompt = _canonical(parsed)
    return ModelRequest(
        model, adapter, prompt, parsed.max_tokens, parsed.stream, chat
    )


def _canonical(body: ChatBody | CompletionBody) -> bytes:
    if isinstance(body, CompletionBody):
        return body.prompt.encode()
    pieces: list[str] = []
    for message in body.messages:
        pieces.append(f'{message.role}\n{message.content}\n')
    return ''.join(pieces).encode()


def answer_tokens(
    prompt: bytes, source: AnswerSource, count: int
) -> tuple[str, ...]:
    """Return the ``count`` tokens of an answer; joined, they are its text.

    A prompt that ends with the first words of its own answer, as a new
    assistant message or as appended text, is continued after those words.
    """
    base, given = _split_continuation(prompt, source)
    tokens = _tokens(base, source, given + count)
    return tokens[given:]


def answer_text(prompt: bytes, source: AnswerSource, count: int) -> str:
    """Return the whole text of an answer of ``count`` tokens."""
    return ''.join(answer_tokens(prompt, source, count))


def call_digest(target: str, content: bytes) -> str:
    """Name a call by what it asks, the same at the caller and the worker.

    ``target`` is a path or a model, ``content`` a body or a prompt.
    """
    return blake2b(content, digest_size=12, key=_key(target)).hexdigest()


def plain_answer(path: str, body: bytes) -> bytes:
    """Return a plain service's answer to a call, JSON."""
    digest = blake2b(body, digest_size=16, key=_key(path)).hexdigest()
    return msgspec.json.encode(PlainAnswer(path, digest))


def _key(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=32).digest()


def _tokens(
    prompt: bytes, source: AnswerSource, count: int
) -> tuple[str, ...]:
    named = '\x1f'.join([source.model, source.adapter, source.weights])
    seed = blake2b(prompt, key=_key(named)).digest()
    numbers: list[int] = []
    part = 0
    while len(numbers) < count:
        digest = blake2b(
            part.to_bytes(8, 'big'), digest_size=_DIGEST_BYTES, key=seed
        ).digest()
        numbers.extend(digest)
        part += 1
    first = _ANSWER_MARK + _WORDS[numbers[0]]
    later = [_LATER_TOKENS[number] for number in numbers[1:count]]
    return (first, *later)


def _split_continuation(
    prompt: bytes, source: AnswerSource
) -> tuple[bytes, int]:
    mark = prompt.rfind(_ANSWER_MARK.encode())
    if mark < 0:
        return prompt, 0
    said = prompt[mark:].removesuffix(b'\n')
    count = said.count(b' ') + 1
    before = prompt[:mark]
    # A chat's words so far are a message of the assistant's. Were the prompt
    # with its role line tried first, one in 256 would begin with the same
    # word by chance and go on with another answer.
    for base in (before.removesuffix(b'assistant\n'), before):
        text = ''.join(_tokens(base, source, count)).encode()
        if text == said:
            return base, count
    return prompt, 0
