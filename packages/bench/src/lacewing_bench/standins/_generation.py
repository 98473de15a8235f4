"""Keep one request of an engine and the answer made for it so far."""

import asyncio
import time
from enum import Enum
from typing import Protocol

import msgspec

from lacewing_bench.answers import answer_tokens
from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import call_digest
from lacewing_bench.answers import ModelRequest
from lacewing_bench.standins._blocks import BLOCK_TOKENS
from lacewing_bench.standins._cache import Lease

_LAST_EVENTS = 2


class Ending(Enum):
    """Tell how a generation ended; the value is OpenAI's finish reason."""

    LENGTH = 'length'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'


class PromptDetails(msgspec.Struct, frozen=True):
    """Count the prompt tokens taken from the cache."""

    cached_tokens: int


class Usage(msgspec.Struct, frozen=True):
    """Count a request's tokens as OpenAI does."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptDetails


class ChunkHead(msgspec.Struct, frozen=True):
    """Hold the fields that all chunks of a stream share."""

    id: str
    object: str
    created: int
    model: str


class Reader(Protocol):
    """Follow a generation's events."""

    def push(self) -> None:
        """Send the events that are new."""

    def end(self) -> None:
        """Learn that no more events will come."""


class Generation:
    """Hold a request, its place in the batch and its answer so far.

    Events are numbered from 1: one a token, one with the usage, one that
    ends the stream. They are rendered when read, so that an answer kept for
    a resume takes little memory.
    """

    def __init__(
        self,
        request_id: str,
        request: ModelRequest,
        source: AnswerSource,
        blocks: tuple[bytes, ...],
        priority: int,
    ) -> None:
        self.request_id = request_id
        self.call = call_digest(request.model, request.prompt)
        self.chat = request.chat
        self.model_name = _model_name(request)
        self.prompt_tokens = request.prompt_tokens
        self.blocks = blocks
        self.priority = priority
        self.lease: Lease | None = None
        self.prefill_left = request.prompt_tokens
        self.expected_prefill = request.prompt_tokens
        self.cached_tokens = 0
        self.created = int(time.time())
        self.finished = asyncio.Event()
        self.ending: Ending | None = None
        self._tokens = answer_tokens(
            request.prompt, source, request.max_tokens
        )
        self._emitted = 0
        self._readers: list[Reader] = []
        self._head = self._chunk_head()

    @property
    def text(self) -> str:
        """Return the answer's text so far."""
        return ''.join(self._tokens[: self._emitted])

    @property
    def usage(self) -> Usage:
        """Return the tokens used so far."""
        return Usage(
            self.prompt_tokens,
            self._emitted,
            self.prompt_tokens + self._emitted,
            PromptDetails(self.cached_tokens),
        )

    @property
    def last_event(self) -> int:
        """Return the number of the latest event, 0 before the first."""
        if self.ending is None or self.ending is Ending.CRASHED:
            return self._emitted
        return self._emitted + _LAST_EVENTS

    def events(self, after: int, last: int) -> bytes:
        """Render the events after a number up to and with another."""
        rendered: list[str] = []
        for number in range(after + 1, last + 1):
            rendered.append(f'id: {number}\ndata: {self._data(number)}\n\n')
        return ''.join(rendered).encode()

    def start(self, lease: Lease) -> None:
        """Enter the batch with the cached blocks that were found."""
        self.lease = lease
        self.cached_tokens = lease.held * BLOCK_TOKENS
        self.prefill_left -= self.cached_tokens

    def advance(self) -> None:
        """Emit one token; end after the last."""
        self._emitted += 1
        if self._emitted == len(self._tokens):
            self.finish(Ending.LENGTH)

    def finish(self, ending: Ending) -> None:
        """End the answer; a crash leaves it without its last events."""
        if self.ending is not None:
            return
        self.ending = ending
        self.blocks = ()
        self.finished.set()

    def follow(self, reader: Reader) -> None:
        """Tell a reader of new events from now on."""
        self._readers.append(reader)

    def unfollow(self, reader: Reader) -> None:
        """Tell a reader nothing more."""
        if reader in self._readers:
            self._readers.remove(reader)

    def tell_readers(self) -> None:
        """Tell the readers of this step's events, in one write each."""
        for reader in tuple(self._readers):
            reader.push()
        if self.ending is None:
            return
        for reader in tuple(self._readers):
            reader.end()

    def _data(self, number: int) -> str:
        if number <= self._emitted:
            return self._token_chunk(number)
        if number == self._emitted + 1:
            return self._usage_chunk()
        return '[DONE]'

    def _token_chunk(self, number: int) -> str:
        # The words are plain ASCII without quotes, so that the chunk can be
        # written without an encoder; this runs for every token.
        token = self._tokens[number - 1]
        if self.chat:
            role = '"role":"assistant",' if number == 1 else ''
            piece = f'"delta":{{{role}"content":"{token}"}}'
        else:
            piece = f'"text":"{token}"'
        return (
            f'{self._head},"choices":[{{"index":0,{piece},'
            '"finish_reason":null}]}'
        )

    def _usage_chunk(self) -> str:
        piece = '"delta":{}' if self.chat else '"text":""'
        reason = '' if self.ending is None else self.ending.value
        usage = msgspec.json.encode(self.usage).decode()
        return (
            f'{self._head},"choices":[{{"index":0,{piece},'
            f'"finish_reason":"{reason}"}}],"usage":{usage}}}'
        )

    def _chunk_head(self) -> str:
        kind = 'chat.completion.chunk' if self.chat else 'text_completion'
        head = ChunkHead(self.request_id, kind, self.created, self.model_name)
        return msgspec.json.encode(head).decode().removesuffix('}')


def _model_name(request: ModelRequest) -> str:
    if not request.adapter:
        return request.model
    return f'{request.model}:{request.adapter}'
