"""Compare two bundles in a human-readable form."""

from typing import Any

import msgspec

from lacewing_common.bundle import Bundle

_SECRET_PATH = 'prefix_secret'


class Difference(msgspec.Struct, frozen=True):
    """Hold one difference; a missing value is ''.

    ``path`` refers to elements by name, for example ``teams.brno.share``.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        if not self.before:
            return f'+ {self.path} = {self.after}'
        if not self.after:
            return f'- {self.path} = {self.before}'
        return f'{self.path}: {self.before} -> {self.after}'


def diff_bundles(before: Bundle, after: Bundle) -> tuple[Difference, ...]:
    """Return the differences, sorted by path."""
    old = _flatten(before)
    new = _flatten(after)
    differences: list[Difference] = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) == new.get(path):
            continue
        if path == _SECRET_PATH:
            differences.append(
                Difference(path, '(secret)', '(another secret)')
            )
            continue
        differences.append(
            Difference(path, old.get(path, ''), new.get(path, ''))
        )
    return tuple(differences)


def _flatten(bundle: Bundle) -> dict[str, str]:
    flat: dict[str, str] = {}
    _flatten_into(flat, '', msgspec.to_builtins(bundle))
    return flat


def _flatten_into(flat: dict[str, str], path: str, value: Any) -> None:
    if isinstance(value, dict):
        for name, inner in value.items():
            _flatten_into(flat, _join(path, name), inner)
        return
    if _is_named_list(value):
        for inner in value:
            _flatten_into(flat, _join(path, inner['name']), inner)
        return
    flat[path] = msgspec.json.encode(value).decode()


def _is_named_list(value: Any) -> bool:
    if not isinstance(value, list | tuple) or not value:
        return False
    return all(isinstance(each, dict) and 'name' in each for each in value)


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
