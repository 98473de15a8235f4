"""Call the platform, the stand-ins and the operators' listeners."""

import json
from typing import Any

from lacewing_common.curl import connect_directly
from lacewing_common.curl import CurlClient
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse

_TIMEOUT_S = 10.0
_CALLS_AT_ONCE = 64


class ControlClient:
    """Send small JSON calls to the processes of a fleet."""

    def __init__(self, ca_file: str | None) -> None:
        self._client = CurlClient(
            force_instance=True, max_clients=_CALLS_AT_ONCE
        )
        self._ca_file = ca_file

    async def get(self, url: str) -> HTTPResponse:
        """Read from a URL; the status says what came of it."""
        return await self._client.fetch(
            HTTPRequest(
                url,
                request_timeout=_TIMEOUT_S,
                ca_certs=self._ca_file,
                prepare_curl_callback=connect_directly,
            ),
            raise_error=False,
        )

    async def post(self, url: str, value: object) -> Any:
        """Post JSON; return the decoded answer, None for an empty one."""
        response = await self._client.fetch(
            HTTPRequest(
                url,
                method='POST',
                headers={'Content-Type': 'application/json'},
                body=json.dumps(value),
                request_timeout=_TIMEOUT_S,
                prepare_curl_callback=connect_directly,
            )
        )
        return json.loads(response.body) if response.body else None

    async def post_bytes(self, url: str, body: bytes) -> None:
        """Post bytes; raise HTTPError unless they are taken."""
        await self._client.fetch(
            HTTPRequest(
                url,
                method='POST',
                body=body,
                request_timeout=_TIMEOUT_S,
                ca_certs=self._ca_file,
                prepare_curl_callback=connect_directly,
            )
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
