"""Set the value at a path in the JSON of a bundle."""

from typing import Any

import msgspec


class EditError(ValueError):
    """Report a malformed assignment or a path step that does not exist."""


def set_value(raw: Any, assignment: str) -> None:
    """Apply ``path=JSON``, with a path as ``bundle diff`` prints it.

    List elements are addressed by name, such as in ``teams.brno.share``.
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
            raise _not_found_error(step, path, raw)
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
    raise _not_found_error(step, path, names)


def _not_found_error(step: str, path: str, known: Any) -> EditError:
    return EditError(f'{path}: no {step!r} among {", ".join(known)}')
