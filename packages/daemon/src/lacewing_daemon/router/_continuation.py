"""Go on with a cut stream on another worker, as if it were one."""

from dataclasses import replace
from typing import Any

import msgspec
from lacewing_common.prefix import chain

from lacewing_daemon.router._call import Call
from lacewing_daemon.router._parse import CHAT_PATH
from lacewing_daemon.router._parse import Prompt
from lacewing_daemon.router._transcript import Chunk
from lacewing_daemon.router._transcript import DONE
from lacewing_daemon.router._transcript import Event
from lacewing_daemon.router._transcript import events_of
from lacewing_daemon.router._transcript import Transcript

_NOT_CHUNKS = (
    msgspec.DecodeError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
)
_LIMITS = ('max_tokens', 'max_completion_tokens')


def may_be_continued(call: Call) -> bool:
    """Tell whether the service and the request allow a continuation."""
    if call.prompt is None or not call.service.continue_elsewhere:
        return False
    return call.prompt.choices == 1


def may_continue(call: Call, transcript: Transcript) -> bool:
    """Tell whether a stream cut after some text may go on elsewhere."""
    if not may_be_continued(call):
        return False
    transcript.parse()
    return transcript.readable and transcript.first is not None


def is_complete(call: Call, transcript: Transcript) -> bool:
    """Tell whether nothing but the end is missing of a cut stream."""
    if transcript.done or transcript.finished:
        return True
    limit = None
    if call.prompt is not None:
        limit = call.prompt.max_tokens
    return limit is not None and transcript.tokens >= limit


def closing_events(call: Call, transcript: Transcript) -> bytes:
    """Return the events that a complete stream still lacks."""
    number = transcript.number
    events = b''
    first = transcript.first
    if not transcript.finished and first is not None:
        number += 1
        events += _event(number, _last_chunk(call, first))
    if not transcript.done:
        events += _event(number + 1, DONE)
    return events


def continued(call: Call, transcript: Transcript) -> Call:
    """Return a call for the rest: the prompt, then the text so far.

    ``call`` is the caller's own, not an earlier continuation.
    """
    prompt = call.prompt
    assert prompt is not None
    text = transcript.text
    body: dict[str, Any] = msgspec.json.decode(call.asked.body)
    if call.asked.path == CHAT_PATH:
        _append_message(body, text)
        segments = (*prompt.segments, f'assistant\n{text}\n'.encode())
    else:
        body['prompt'] += text
        segments = (prompt.segments[0] + text.encode(),)
    for name in _LIMITS:
        if body.get(name) is not None:
            body[name] -= transcript.tokens
    return replace(
        call,
        asked=replace(call.asked, body=msgspec.json.encode(body)),
        chain=chain(call.salt, segments),
        prompt=_shortened(prompt, segments, transcript.tokens),
    )


class Joiner:
    """Renumber and rename the rest's events to those of one stream."""

    def __init__(self, transcript: Transcript) -> None:
        assert transcript.first is not None
        self._first = transcript.first
        self._given_tokens = transcript.tokens
        self._number = transcript.number

    def join(self, payload: bytes) -> bytes | None:
        """Return whole events as the caller expects them next.

        None when they are not a model's chunks.
        """
        joined: list[bytes] = []
        try:
            for event in events_of(payload):
                self._number += 1
                joined.append(_event(self._number, self._renamed(event)))
        except _NOT_CHUNKS:
            return None
        return b''.join(joined)

    def _renamed(self, event: Event) -> bytes:
        if event.data == DONE:
            return DONE
        chunk: dict[str, Any] = msgspec.json.decode(event.data)
        chunk['id'] = self._first.id
        chunk['created'] = self._first.created
        for choice in chunk.get('choices', ()):
            if 'delta' in choice:
                choice['delta'].pop('role', None)
        usage = chunk.get('usage')
        if usage:
            # The text so far was this worker's prompt and the caller's
            # answer.
            usage['prompt_tokens'] -= self._given_tokens
            usage['completion_tokens'] += self._given_tokens
        return msgspec.json.encode(chunk)


def _append_message(body: dict[str, Any], text: str) -> None:
    body['messages'].append({'role': 'assistant', 'content': text})
    # Engines that would open a new message take these two as the order to
    # go on with the last one.
    body['continue_final_message'] = True
    body['add_generation_prompt'] = False


def _shortened(
    prompt: Prompt, segments: tuple[bytes, ...], given: int
) -> Prompt:
    limit = prompt.max_tokens
    if limit is not None:
        limit -= given
    return replace(prompt, segments=segments, max_tokens=limit)


def _last_chunk(call: Call, first: Chunk) -> bytes:
    chat = call.asked.path == CHAT_PATH
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if chat:
        choice['delta'] = {}
    else:
        choice['text'] = ''
    kind = 'chat.completion.chunk' if chat else 'text_completion'
    chunk = {
        'id': first.id,
        'object': kind,
        'created': first.created,
        'choices': [choice],
    }
    return msgspec.json.encode(chunk)


def _event(number: int, data: bytes) -> bytes:
    return b'id: %d\ndata: %s\n\n' % (number, data)
