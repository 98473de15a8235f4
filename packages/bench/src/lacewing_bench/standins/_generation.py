"""Keep one request of an engine and the answer made for it so far."""

import asyncio
import time
from enum import Enum
from typing import Protocol

import msgspec

from lacewing_bench.answers import answer_tokens
from lacewing_bench.answers import AnswerSource
from lacewing_bench.answers import ModelRequest
from lacewing_bench.standins._blocks import BLOCK_TOKENS
from lacewing_bench.standins._cache import Lease


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
    """Hold a request, its place in the batch and its numbered events."""

    def __init__(
        self,
        request_id: str,
        request: ModelRequest,
        source: AnswerSource,
        blocks: tuple[bytes, ...],
        priority: int,
    ) -> None:
        self.request_id = request_id
        self.request = request
        self.blocks = blocks
        self.priority = priority
        self.lease: Lease | None = None
        self.prefill_left = request.prompt_tokens
        self.expected_prefill = request.prompt_tokens
        self.cached_tokens = 0
        self.events: list[bytes] = []
        self.finished = asyncio.Event()
        self.ending: Ending | None = None
        self._tokens = answer_tokens(
            request.prompt, source, request.max_tokens
        )
        self._emitted = 0
        self._created = int(time.time())
        self._readers: list[Reader] = []
        self._head = self._chunk_head()

    @property
    def text(self) -> str:
        """Return the answer's text so far."""
        return ''.join(self._tokens[: self._emitted])

    @property
    def created(self) -> int:
        """Return the start in seconds since 1970."""
        return self._created

    @property
    def usage(self) -> Usage:
        """Return the tokens used so far."""
        prompt_tokens = self.request.prompt_tokens
        return Usage(
            prompt_tokens,
            self._emitted,
            prompt_tokens + self._emitted,
            PromptDetails(self.cached_tokens),
        )

    @property
    def model_name(self) -> str:
        """Return the model as the request named it."""
        if not self.request.adapter:
            return self.request.model
        return f'{self.request.model}:{self.request.adapter}'

    def start(self, lease: Lease) -> None:
        """Enter the batch with the cached blocks that were found."""
        self.lease = lease
        self.cached_tokens = lease.held * BLOCK_TOKENS
        self.prefill_left -= self.cached_tokens

    def advance(self) -> None:
        """Emit one token; end after the last."""
        token = self._tokens[self._emitted]
        role = self.request.chat and self._emitted == 0
        self._emitted += 1
        self._add_chunk(token, role)
        if self._emitted == len(self._tokens):
            self.finish(Ending.LENGTH)

    def finish(self, ending: Ending) -> None:
        """End the answer; a crash leaves it without its last events."""
        if self.ending is not None:
            return
        self.ending = ending
        if ending is not Ending.CRASHED:
            self._add_last(ending)
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

    def _add_chunk(self, token: str, role: bool) -> None:
        # The words are plain ASCII without quotes, so that the chunk can be
        # written without an encoder; this runs for every token.
        if self.request.chat:
            named = '"role":"assistant",' if role else ''
            piece = f'"delta":{{{named}"content":"{token}"}}'
        else:
            piece = f'"text":"{token}"'
        self._add(
            f'{self._head},"choices":[{{"index":0,{piece},'
            '"finish_reason":null}]}'
        )

    def _add_last(self, ending: Ending) -> None:
        piece = '"delta":{}' if self.request.chat else '"text":""'
        usage = msgspec.json.encode(self.usage).decode()
        self._add(
            f'{self._head},"choices":[{{"index":0,{piece},'
            f'"finish_reason":"{ending.value}"}}],"usage":{usage}}}'
        )
        self._add('[DONE]')

    def _add(self, data: str) -> None:
        number = len(self.events) + 1
        self.events.append(f'id: {number}\ndata: {data}\n\n'.encode())

    def _chunk_head(self) -> str:
        kind = 'text_completion'
        if self.request.chat:
            kind = 'chat.completion.chunk'
        head = ChunkHead(self.request_id, kind, self._created, self.model_name)
        return msgspec.json.encode(head).decode().removesuffix('}')
