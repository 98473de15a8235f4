"""Read and compare the ids of events."""

import re

_FIELD = b'id'
_WHOLE_NUMBER = re.compile('[0-9]+')
# A header can't hold them.
_CONTROL_CHARACTERS = re.compile('[\x00-\x08\x0a-\x1f\x7f]')
_PADDING = ' \t'


def event_id(event: bytes) -> str | None:
    """Return the id of an event as a header has it, None if it has none."""
    found = None
    for line in event.splitlines():
        name, _, value = line.partition(b':')
        if name != _FIELD:
            continue
        text = value.decode('latin1').strip(_PADDING)
        if _CONTROL_CHARACTERS.search(text) is None:
            found = text or None
    return found


def is_whole_number(text: str) -> bool:
    """Return whether an id is a whole number, of any length."""
    return _WHOLE_NUMBER.fullmatch(text) is not None


def is_after(text: str, other: str) -> bool:
    """Return whether an id is a greater number than another.

    Both must be whole numbers. They are not converted, as that takes long
    for long ones and is limited to some thousand digits.
    """
    return _order(text) > _order(other)


def _order(text: str) -> tuple[int, str]:
    digits = text.lstrip('0')
    return len(digits), digits
