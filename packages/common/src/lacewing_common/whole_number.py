"""Bound whole numbers that other processes send."""

import re
from typing import Annotated

import msgspec

# As many as a signed 64-bit number may have; int() refuses thousands.
MAX_DIGITS = 19
MAX_WHOLE_NUMBER = 2**63 - 1
# For fields of documents: JSON decoders accept numbers of thousands of
# digits, which no encoder takes.
WholeNumber = Annotated[
    int, msgspec.Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)
]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_WHOLE_NUMBER)]
_PATTERN = re.compile(f'[0-9]{{1,{MAX_DIGITS}}}')


def whole_number(text: str) -> int | None:
    """Return an unsigned number of ASCII digits, None for other texts."""
    return int(text) if _PATTERN.fullmatch(text) else None
