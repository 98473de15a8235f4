"""Carry messages about team limits between routers."""

from grpclib.const import Handler

from lacewing_daemon.direct._peer_link import PeerLink
from lacewing_daemon.direct._peer_link import unary
from lacewing_daemon.direct.limits._limiter import TeamLimiter
from lacewing_daemon.direct.limits._messages import MOVE_METHOD
from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest
from lacewing_daemon.peers import PeerCallFailed

# A keeper answers within a few ms, unless its VM is busy or lost. A request
# waits for it, and has a part of its latency target left after this.
MOVE_TIMEOUT_S = 0.1


class LimitService:
    """Serve the pools of a router to its peers, and call theirs."""

    def __init__(self, link: PeerLink, limiter: TeamLimiter) -> None:
        self._link = link
        self._limiter = limiter

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, for grpclib."""
        return {
            MOVE_METHOD: unary(self._limiter.serve, TokenRequest, TokenReply)
        }

    async def move(
        self, address: str, request: TokenRequest
    ) -> TokenReply | None:
        """Return the reply of a keeper, None if there was none in time."""
        reply = await self._link.call(
            address, MOVE_METHOD, request, TokenReply, MOVE_TIMEOUT_S
        )
        return None if isinstance(reply, PeerCallFailed) else reply
