"""Describe problems of a bundle, with JSON path and suggestion."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches


@dataclass(frozen=True)
class Problem:
    """Describe one problem; ``path`` is a JSON path like ``$.teams[0]``."""

    path: str
    message: str
    suggestion: str = ''

    def __str__(self) -> str:
        text = f'{self.message} - at `{self.path}`'
        if not self.suggestion:
            return text
        return f'{text}; did you mean {self.suggestion!r}?'


def closest(word: str, known: Iterable[str]) -> str:
    """Return the known word closest to ``word``, '' if none is close."""
    matches = get_close_matches(word, sorted(known), n=1)
    return matches[0] if matches else ''
