"""State how the body of an answer ended."""

from enum import Enum

from tornado.httputil import HTTPHeaders


class BodyEnd(Enum):
    """Name how the transfer of a body ended.

    LENGTH: all announced bytes were received. CHUNKS: the last chunk was
    received. CLOSED: the body had no framing and its connection was closed
    in an orderly way. BROKEN: the connection ended before the body did.
    """

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSED = 'closed'
    BROKEN = 'broken'


def end_of_parsed_body(headers: HTTPHeaders, has_error: bool) -> BodyEnd:
    """Return how a body ended that the parser read to its end.

    ``has_error``: the connection was closed by an error. The parser reads a
    body without framing until the connection is closed and does not
    distinguish a reset from an orderly close.
    """
    if 'Transfer-Encoding' in headers:
        return BodyEnd.CHUNKS
    if 'Content-Length' in headers:
        return BodyEnd.LENGTH
    return BodyEnd.BROKEN if has_error else BodyEnd.CLOSED
