"""Cut a worker's stream into server-sent events and check each."""

from dataclasses import dataclass

import msgspec
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.whole_number import whole_number
from lacewing_common.wire import CacheReport

from lacewing_daemon.agent._metrics import MISMATCHED

BLOCK_TOKENS = 64

_END_OF_EVENT = b'\n\n'
_DONE = b'[DONE]'


class PromptDetails(msgspec.Struct, frozen=True):
    """Hold how many prompt tokens the engine took from its cache."""

    cached_tokens: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Hold the token counts that end an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None

    @property
    def cached_tokens(self) -> int:
        """Return the prompt tokens taken from the cache."""
        if self.prompt_tokens_details is None:
            return 0
        return self.prompt_tokens_details.cached_tokens

    def cache_report(self, epoch: str) -> CacheReport:
        """Return the reuse in blocks of 64 tokens."""
        return CacheReport(
            epoch,
            self.cached_tokens // BLOCK_TOKENS,
            self.prompt_tokens // BLOCK_TOKENS,
        )


class AnswerDocument(msgspec.Struct, frozen=True):
    """Hold what the agent reads of a chunk or of a whole answer."""

    id: str = ''
    usage: Usage | None = None


@dataclass(frozen=True)
class Event:
    """Hold one server-sent event: number, data and its exact bytes."""

    number: int
    data: bytes
    text: bytes


_documents = msgspec.json.Decoder(AnswerDocument)


def read_document(text: bytes) -> AnswerDocument | None:
    """Read an answer's id and usage; None if it is not such a document."""
    try:
        return _documents.decode(text)
    except DECODE_ERRORS:
        return None


class EventReader:
    """Take the events of one request in order, each once.

    Survives a broken connection: fed with the resumed stream, it goes on
    after the last event taken.
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._buffer = b''
        self._last = 0
        self._gap = False
        self._done = False
        self._usage = Usage()

    @property
    def last(self) -> int:
        """Return the number of the last event taken."""
        return self._last

    @property
    def gap(self) -> bool:
        """Tell whether an event is missing: resume after ``last``."""
        return self._gap

    @property
    def done(self) -> bool:
        """Tell whether the final event was taken."""
        return self._done

    @property
    def usage(self) -> Usage:
        """Return the token counts, zeros before the last chunk."""
        return self._usage

    def restart(self) -> None:
        """Prepare for the resumed stream."""
        self._buffer = b''
        self._gap = False

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes; return the whole events that follow the last one."""
        if self._gap or self._done:
            return b''
        texts = (self._buffer + chunk).split(_END_OF_EVENT)
        self._buffer = texts.pop()
        taken: list[bytes] = []
        for text in texts:
            event = _parse(text + _END_OF_EVENT)
            if event is None:
                continue
            if not self._take(event):
                continue
            taken.append(event.text)
        return b''.join(taken)

    def _take(self, event: Event) -> bool:
        if self._gap or self._done:
            return False
        if not self._is_ours(event):
            # An engine that crosses answers writes another request's
            # tokens into this stream. Only the id inside tells.
            MISMATCHED.labels('event').inc()
            return False
        if event.number <= self._last:
            return False
        if event.number != self._last + 1:
            self._gap = True
            MISMATCHED.labels('gap').inc()
            return False
        self._last = event.number
        self._done = event.data == _DONE
        return True

    def _is_ours(self, event: Event) -> bool:
        if event.data == _DONE:
            return True
        document = read_document(event.data)
        if document is None or document.id != self._request_id:
            return False
        if document.usage is not None:
            self._usage = document.usage
        return True


def _parse(text: bytes) -> Event | None:
    head, _, tail = text[:-2].partition(b'\n')
    number = _number(head[4:])
    plain = head.startswith(b'id: ') and tail.startswith(b'data: ')
    if plain and number is not None and b'\n' not in tail:
        return Event(number, tail[6:], text)
    return _parse_fields(text)


def _number(digits: bytes) -> int | None:
    return whole_number(digits.decode('latin1'))


def _parse_fields(text: bytes) -> Event | None:
    number = -1
    data: list[bytes] = []
    for line in text.split(b'\n'):
        if line.startswith(b'data:'):
            data.append(line[5:].strip())
            continue
        if line.startswith(b'id:'):
            found = _number(line[3:].strip())
            number = number if found is None else found
    if not data:
        return None
    return Event(number, b'\n'.join(data), text)
