"""Write the requests that the demo sends."""

from typing import Any

from lacewing_bench.caller import Call
from lacewing_bench.fleet import Deployment

_CHAT = '/v1/chat/completions'
_COMPLETIONS = '/v1/completions'
_TOKENS = 12
_HANDBOOK = 'Model line B, motor family 7. ' * 70
_CHAPTER = 'Hub motor M7-250, controller 3.2. ' * 30


def steps(deployment: Deployment) -> list[Call]:
    """Return the requests, to be sent one after the other."""
    first, second = deployment.teams[0].name, deployment.teams[1].name
    model = deployment.model
    plain = f'/services/{deployment.plain_service}'
    at_most_once = f'{plain}{deployment.at_most_once[0]}'
    return [
        Call('models', first, '/v1/models'),
        Call('stream, new prefix', first, _CHAT, _chat(model, 'dump 41')),
        Call('stream, same prefix', first, _CHAT, _chat(model, 'dump 42')),
        Call('stream, same prefix', first, _CHAT, _chat(model, 'dump 43')),
        Call('same words, other team', second, _CHAT, _chat(model, 'dump 42')),
        Call(
            'whole, with adapter',
            second,
            _CHAT,
            _chat(f'{model}:{deployment.adapters[0]}', 'dump 44', False),
        ),
        Call('whole, completion', first, _COMPLETIONS, _completion(model)),
        Call('plain read', first, f'{plain}/warranties/M7-250-0042'),
        Call(
            'at most once',
            second,
            at_most_once,
            {'motor': 'M7-250-0042'},
            idempotency_key='demo-1',
        ),
        Call(
            'wrong key',
            'nobody',
            _CHAT,
            _chat(model, 'dump 45'),
            is_refused=True,
        ),
    ]


def _chat(model: str, question: str, stream: bool = True) -> dict[str, Any]:
    return {
        'model': model,
        'stream': stream,
        'max_tokens': _TOKENS,
        'messages': [
            {'role': 'system', 'content': _HANDBOOK},
            {'role': 'system', 'content': _CHAPTER},
            {'role': 'user', 'content': f'What does fault {question} mean?'},
        ],
    }


def _completion(model: str) -> dict[str, Any]:
    return {
        'model': model,
        'max_tokens': _TOKENS,
        'prompt': _HANDBOOK + 'The usual cause of fault 12 is',
    }
