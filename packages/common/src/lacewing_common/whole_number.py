"""Parse whole numbers that other processes send as text."""

import re

# As many as a signed 64-bit number may have; int() refuses thousands.
MAX_DIGITS = 19
_PATTERN = re.compile(f'[0-9]{{1,{MAX_DIGITS}}}')


def whole_number(text: str) -> int | None:
    """Return an unsigned number of ASCII digits, None for other texts."""
    return int(text) if _PATTERN.fullmatch(text) else None
