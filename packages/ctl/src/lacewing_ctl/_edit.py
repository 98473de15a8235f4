"""Set one value in the JSON of a bundle, named by a path."""

from typing import Any

import msgspec


class EditError(ValueError):
    """Say which step of the path was not found, and what is there."""


def set_value(raw: Any, assignment: str) -> None:
    """Carry out ``path=JSON``, with a path as ``bundle diff`` prints it.

    Elements of a list are named by their name, such as ``teams.brno.share``.
    """
    path, equals, text = assignment.partition('=')
    if not equals or not path:
        raise EditError(f'expected PATH=JSON, got {assignment!r}')
    try:
        value = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise EditError(f'expected JSON after {path}=: {error}') from error
    steps = path.split('.')
    for step in steps[:-1]:
        raw = _descend(raw, step, path)
    _assign(raw, steps[-1], value, path)


def _descend(raw: Any, step: str, path: str) -> Any:
    if isinstance(raw, dict):
        if step not in raw:
            raise _absent(step, path, raw)
        return raw[step]
    return raw[_index(raw, step, path)]


def _assign(raw: Any, step: str, value: Any, path: str) -> None:
    if isinstance(raw, dict):
        raw[step] = value
        return
    raw[_index(raw, step, path)] = value


def _index(raw: Any, step: str, path: str) -> int:
    if not isinstance(raw, list):
        raise EditError(f'{path}: there is nothing below a plain value')
    names: list[str] = []
    for index, each in enumerate(raw):
        name = each.get('name') if isinstance(each, dict) else str(index)
        if name == step:
            return index
        names.append(str(name))
    raise _absent(step, path, names)


def _absent(step: str, path: str, known: Any) -> EditError:
    return EditError(f'{path}: no {step!r} among {", ".join(known)}')
