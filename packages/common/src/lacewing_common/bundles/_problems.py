"""Name what is wrong in a bundle, where, and what may be meant."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches


@dataclass(frozen=True)
class Problem:
    """Hold one problem; ``path`` is a JSON path such as ``$.teams[0]``."""

    path: str
    message: str
    suggestion: str = ''

    def __str__(self) -> str:
        text = f'{self.message} - at `{self.path}`'
        if not self.suggestion:
            return text
        return f'{text}; did you mean {self.suggestion!r}?'


def closest(word: str, known: Iterable[str]) -> str:
    """Return the known word most like another, '' if none is."""
    matches = get_close_matches(word, sorted(known), n=1)
    return matches[0] if matches else ''
