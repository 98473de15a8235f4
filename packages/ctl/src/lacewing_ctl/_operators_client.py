"""Query the operators' listeners of many processes concurrently."""

import asyncio
from dataclasses import dataclass

import pycurl
from lacewing_common.curl import connect_once
from lacewing_common.curl import CurlClient
from lacewing_common.settings import TlsFiles
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

_TIMEOUT_S = 3.0
_MAX_CONCURRENT_CALLS = 64
_OK = 200


@dataclass(frozen=True)
class Unanswered:
    """Report a process that did not answer a query, and why."""

    address: str
    message: str


class OperatorsClient:
    """Call operators' listeners; create it inside an event loop.

    Each call has a connection of its own, as its answer does not name it.
    """

    def __init__(self, tls: TlsFiles | None) -> None:
        self._tls = tls
        self._client = CurlClient(
            force_instance=True, max_clients=_MAX_CONCURRENT_CALLS
        )

    async def get(self, address: str, path: str) -> bytes | Unanswered:
        """Read one path of one process."""
        return await self._send(address, self._request(address, path))

    async def post(
        self, address: str, path: str, body: bytes
    ) -> bytes | Unanswered:
        """Send a body to one path of one process."""
        request = self._request(address, path)
        request.method = 'POST'
        request.body = body
        return await self._send(address, request)

    async def _send(
        self, address: str, request: HTTPRequest
    ) -> bytes | Unanswered:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return Unanswered(address, error.message or str(error))
        if response.code != _OK:
            return Unanswered(address, f'HTTP status {response.code}')
        return response.body

    async def get_all(
        self, addresses: tuple[str, ...], path: str
    ) -> list[bytes | Unanswered]:
        """Read one path of many processes; keep their order."""
        calls = [self.get(address, path) for address in addresses]
        return await asyncio.gather(*calls)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _request(self, address: str, path: str) -> HTTPRequest:
        if self._tls is None:
            return HTTPRequest(
                f'http://{address}{path}',
                request_timeout=_TIMEOUT_S,
                prepare_curl_callback=connect_once,
            )
        return HTTPRequest(
            f'https://{address}{path}',
            request_timeout=_TIMEOUT_S,
            ca_certs=self._tls.authority,
            client_cert=self._tls.certificate,
            client_key=self._tls.key,
            prepare_curl_callback=_prepare_tls,
        )


def _prepare_tls(curl: pycurl.Curl) -> None:
    """Verify the certificate's authority but not the host name.

    VMs are replaced at any time and their addresses are reused.
    """
    connect_once(curl)
    curl.setopt(pycurl.SSL_VERIFYHOST, 0)
