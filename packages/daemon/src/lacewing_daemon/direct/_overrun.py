"""Find the start of another answer in one that was cut short.

An upstream that cuts an answer off and keeps the connection open may send
another one. Its first bytes arrive where the rest of the first one is due.
"""

import re

from tornado.httputil import HTTPHeaders

_START = b'HTTP/'
_STATUS_LINE = r'HTTP/[0-9]\.[0-9] [0-9]{3}'
_TEXT_WITH_STATUS_LINE = re.compile(_STATUS_LINE)
_LINE_OF_HEAD = re.compile(
    rb'^(%b|content-length:|transfer-encoding:)' % _STATUS_LINE.encode(),
    re.MULTILINE | re.IGNORECASE,
)


class AnswerFinder:
    """Find answers that name their requests in a header of a given name."""

    def __init__(self, id_header: str) -> None:
        # One pass: a head ends with an empty line.
        self._tokens = re.compile(
            rb'(?P<start>%b)|(?P<end>\n\r?\n)|(?P<name>\n%b:)'
            % (_STATUS_LINE.encode(), re.escape(id_header).encode()),
            re.IGNORECASE,
        )

    def is_in_body(self, body: bytes, following: bytes) -> bool:
        """Return whether another answer begins inside a body.

        ``following`` is what was received after the body. A text on HTTP may
        have a status line as well; it names no request, and is not followed
        by the rest of an answer.
        """
        received = body + following if following else body
        if _START not in received:
            return False
        is_in_head = False
        for token in self._tokens.finditer(received):
            if token['start'] is not None:
                if token.start() >= len(body):
                    return False
                if not _begins_like_answer(following):
                    return True
                is_in_head = True
                continue
            if token['end'] is not None:
                is_in_head = False
                continue
            if is_in_head:
                return True
        return False

    def is_in_event(self, event: bytes) -> bool:
        """Return whether another answer begins inside an event.

        No line of an event begins with a status line or states a framing.
        """
        if _START not in event:
            return False
        if _LINE_OF_HEAD.search(event) is not None:
            return True
        return self.is_in_body(event, b'')


def is_in_head(reason: str, headers: HTTPHeaders) -> bool:
    """Return whether another answer begins inside a head."""
    for text in (reason, *headers.values()):
        if _TEXT_WITH_STATUS_LINE.search(text) is not None:
            return True
    return False


def _begins_like_answer(following: bytes) -> bool:
    """Return whether bytes are none, or begin as an answer does."""
    text = following.lstrip(b'\r\n')[: len(_START)]
    return _START.startswith(text)
