"""Carry messages about limits between routers."""

from grpclib.const import Handler

from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._peer_link import unary
from lacewing_daemon.direct.limits._limiter import RateLimiter
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest
from lacewing_daemon.peers import PeerCallFailed


class LimitService:
    """Serve the pools of a limiter to its peers, and call theirs."""

    def __init__(
        self, link: PeerLink, limiter: RateLimiter, method: str
    ) -> None:
        self._link = link
        self._limiter = limiter
        self._method = method

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""
        return {
            self._method: unary(self._limiter.serve, TokenRequest, TokenReply)
        }

    async def move(
        self, address: str, request: TokenRequest, timeout_s: float
    ) -> TokenReply | None:
        """Return the reply of a keeper, None if there was none in time."""
        reply = await self._link.call(
            address, self._method, request, TokenReply, timeout_s
        )
        return None if isinstance(reply, PeerCallFailed) else reply
