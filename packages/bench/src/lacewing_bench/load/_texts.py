"""Make prompt texts that depend on their names alone."""

from hashlib import shake_128

from lacewing_bench.answers import TOKEN_BYTES

_LINE = 64


def prompt_text(name: str, tokens: int) -> str:
    """Return a text of so many tokens, in lines, begun with its name."""
    size = tokens * TOKEN_BYTES
    letters = shake_128(name.encode()).hexdigest(size)
    lines = [f'{name}:']
    for start in range(0, size, _LINE):
        lines.append(letters[start : start + _LINE])
    return '\n'.join(lines)[:size]
