"""Use tornado's curl client without its known faults."""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient


class CurlClient(CurlAsyncHTTPClient):
    """Leave no timer behind when closed with calls under way.

    Ending such calls, libcurl sets the client's timer anew; firing later,
    it would find no client and log an ``AttributeError``.
    """

    def close(self) -> None:
        """Close all connections and the timer."""
        super().close()
        if self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)


def connect_directly(curl: pycurl.Curl) -> None:
    """Have a call ignore the proxies named in the environment.

    The system speaks to addresses of its own network; a proxy would answer
    for them, and its answer would pass for the process' own.
    """
    curl.setopt(pycurl.NOPROXY, '*')
