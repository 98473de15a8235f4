"""Find the start of another answer in a body that was cut short.

An upstream that cuts an answer off and keeps the connection open may send
another one. Its first bytes arrive where the rest of the body is due.
"""

import re

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5][0-9]{2}[ \r]')
_START = b'HTTP/1.'
_HEAD_END = b'\r\n\r\n'


def holds_answer(body: bytes, following: bytes, id_header: str) -> bool:
    """Return whether another answer begins inside a body.

    ``following`` is what was received after the body, ``id_header`` the
    header in which answers name their requests. A text on HTTP may have a
    status line as well; it names no request, and is not followed by the rest
    of an answer.
    """
    received = body + following
    name = id_header.lower().encode() + b':'
    for match in _STATUS_LINE.finditer(received):
        if match.start() >= len(body):
            return False
        if _is_inside_answer(following):
            return True
        end = received.find(_HEAD_END, match.start())
        head = received[match.start() : end if end >= 0 else None]
        if name in head.lower():
            return True
    return False


def _is_inside_answer(following: bytes) -> bool:
    """Return whether bytes do not begin where an answer does."""
    return following[: len(_START)] != _START[: len(following)]
