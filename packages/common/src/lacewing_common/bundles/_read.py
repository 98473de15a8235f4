"""Decode a bundle from JSON and report all of its problems."""

from functools import cache
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import msgspec

from lacewing_common.bundle import Bundle
from lacewing_common.bundles._check import check_bundle
from lacewing_common.bundles._problems import closest
from lacewing_common.bundles._problems import Problem
from lacewing_common.decode_errors import DECODE_ERRORS

_ROOT = '$'


def read_bundle_text(text: bytes) -> Bundle | tuple[Problem, ...]:
    """Decode and validate a bundle; return it, or all of its problems.

    msgspec stops at the first invalid field, but a person who edits the file
    needs all problems, each with its JSON path.
    """
    try:
        raw = msgspec.json.decode(text)
    except DECODE_ERRORS as error:
        return (Problem(_ROOT, f'expected JSON: {error}'),)
    problems = _unknown_fields(raw, Bundle, _ROOT)
    if not problems:
        problems = _wrong_types(raw)
    if problems:
        return tuple(problems)
    bundle = msgspec.convert(raw, Bundle)
    return check_bundle(bundle) or bundle


def _unknown_fields(raw: Any, kind: Any, path: str) -> list[Problem]:
    """Compare decoded JSON with the types and collect unknown fields."""
    if get_origin(kind) is tuple:
        return _unknown_in_list(raw, get_args(kind)[0], path)
    if not isinstance(kind, type) or not issubclass(kind, msgspec.Struct):
        return []
    if not isinstance(raw, dict):
        return []
    field_types = _field_types(kind)
    problems: list[Problem] = []
    for name, value in raw.items():
        if name not in field_types:
            problems.append(
                Problem(
                    f'{path}.{name}',
                    f'unknown field {name!r}',
                    closest(name, field_types),
                )
            )
            continue
        problems.extend(
            _unknown_fields(value, field_types[name], f'{path}.{name}')
        )
    return problems


def _unknown_in_list(raw: Any, kind: Any, path: str) -> list[Problem]:
    problems: list[Problem] = []
    if not isinstance(raw, list):
        return problems
    for index, item in enumerate(raw):
        problems.extend(_unknown_fields(item, kind, f'{path}[{index}]'))
    return problems


def _wrong_types(raw: Any) -> list[Problem]:
    """Convert each element separately, to report one problem for each."""
    if not isinstance(raw, dict):
        return [Problem(_ROOT, 'expected an object')]
    field_types = _field_types(Bundle)
    problems: list[Problem] = []
    for name, value in raw.items():
        path = f'{_ROOT}.{name}'
        kind = field_types[name]
        if get_origin(kind) is not tuple or not isinstance(value, list):
            problems.extend(_convert(value, kind, path))
            continue
        for index, item in enumerate(value):
            problems.extend(
                _convert(item, get_args(kind)[0], f'{path}[{index}]')
            )
    return problems


@cache
def _field_types(kind: type) -> dict[str, Any]:
    return get_type_hints(kind)


def _convert(raw: Any, kind: Any, path: str) -> list[Problem]:
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        message, _, inner = str(error).partition(' - at `$')
        return [Problem(path + inner.rstrip('`'), message)]
    return []
