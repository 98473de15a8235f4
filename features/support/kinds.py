"""Send a request of each kind that upstreams serve."""

from support.direct_bench import Answer
from support.direct_bench import DirectBench
from support.direct_bench import PREFIX

# A request that may be repeated, one that may run once, and both as streams.
KINDS = ('/records/', '/certificates/', '/chat/', '/talk/')
REPEATABLE = ('/records/', '/chat/')


def ask_kind(bench: DirectBench, path: str, number: int) -> Answer:
    """Ask for what nobody else asks for: others would be held off."""
    if path == '/records/':
        return bench.ask(f'/records/{number}?page={number}')
    if path == '/certificates/':
        body = f'order {number}'.encode()
        return bench.ask('/certificates/1', method='POST', body=body)
    prefix = f'a{number}:100,b{number}:100'.replace('-', '')
    return bench.ask_model(
        f'{path}{number}', **{PREFIX + 'Prompt-Prefix': prefix}
    )
