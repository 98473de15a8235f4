"""Use tornado's curl client without its known faults."""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest


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

    def abort(self, request: HTTPRequest, message: str) -> None:
        """End a call that is under way, as if its time were over.

        Its connection is closed and its handle is free at once. libcurl's
        own time limits can't be used: they count from the start of a call,
        and silence by whole seconds.
        """
        if self._multi is None:
            # Closed: its calls never return, and its handles are gone.
            return
        for curl in self._curls:
            info = getattr(curl, 'info', None)
            # The client holds a proxy of the request, with its defaults.
            if info is not None and info['request'].request is request:
                self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, message)
                self._process_queue()
                return


def connect_directly(curl: pycurl.Curl) -> None:
    """Have a call ignore the proxies named in the environment.

    The system speaks to addresses of its own network; a proxy would answer
    for them, and its answer would pass for the process' own.
    """
    curl.setopt(pycurl.NOPROXY, '*')
