"""Find and replace the values of a document."""

from collections.abc import Iterator
from typing import Any

from hypothesis import HealthCheck
from hypothesis import settings

Path = tuple[str | int, ...]


def value_paths(value: object, path: Path = ()) -> Iterator[Path]:
    """Yield the path of each value of a document."""
    yield path
    if isinstance(value, dict):
        for name, member in value.items():
            yield from value_paths(member, (*path, name))
    if isinstance(value, list):
        for index, member in enumerate(value):
            yield from value_paths(member, (*path, index))


def replace_value(document: Any, path: Path, value: object) -> Any:
    """Return a document with another value, if it still has the path."""
    if not path:
        return value
    name: Any = path[0]
    if isinstance(document, dict) and name in document:
        return {
            **document,
            name: replace_value(document[name], path[1:], value),
        }
    if isinstance(document, list) and name in range(len(document)):
        changed = list(document)
        changed[name] = replace_value(changed[name], path[1:], value)
        return changed
    return document


def same_draws(count: int) -> settings:
    """Return settings to draw so many documents, the same in each run."""
    return settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
