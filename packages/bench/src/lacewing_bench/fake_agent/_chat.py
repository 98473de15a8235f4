"""Make the server-sent events of a fake chat, whole or its rest."""

from dataclasses import dataclass
from typing import Any

import msgspec


@dataclass(frozen=True)
class ChatPart:
    """Say which words of an answer to stream.

    The words are w1 to w``count``; ``given`` of them are in the prompt.
    """

    chunk_id: str
    count: int
    given: int = 0


def chat_events(part: ChatPart) -> tuple[bytes, ...]:
    """Return numbered events: a word each, the usage, the end mark."""
    datas: list[bytes] = []
    for word in range(part.given + 1, part.count + 1):
        delta: dict[str, Any] = {'content': f' w{word}'}
        if word == part.given + 1:
            delta['role'] = 'assistant'
        datas.append(_chunk(part, delta, None))
    datas.append(_chunk(part, {}, 'length'))
    datas.append(b'[DONE]')
    events: list[bytes] = []
    for number, data in enumerate(datas, start=1):
        events.append(b'id: %d\ndata: %s\n\n' % (number, data))
    return tuple(events)


def rest_of(part: ChatPart, body: bytes) -> ChatPart:
    """Return the part that a prompt with the first words asks for."""
    last = msgspec.json.decode(body)['messages'][-1]
    if last['role'] != 'assistant':
        return part
    given = len(last['content'].split())
    return ChatPart(part.chunk_id, part.count, given)


def _chunk(part: ChatPart, delta: dict[str, Any], finish: str | None) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish}
    chunk: dict[str, Any] = {
        'id': part.chunk_id,
        'object': 'chat.completion.chunk',
        'created': 1_700_000_000,
        'choices': [choice],
    }
    if finish is not None:
        tokens = part.count - part.given
        chunk['usage'] = {
            'prompt_tokens': 20 + part.given,
            'completion_tokens': tokens,
            'total_tokens': 20 + part.count,
        }
    return msgspec.json.encode(chunk)
