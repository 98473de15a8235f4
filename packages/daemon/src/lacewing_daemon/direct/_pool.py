"""Keep connections to upstreams open between requests."""

from collections.abc import Callable
from collections.abc import Iterable
from functools import partial

from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._connection import connect
from lacewing_daemon.direct._connection import UpstreamConnection
from lacewing_daemon.direct._stray_answers import StrayAnswers
from lacewing_daemon.direct._upstream import Upstream

# Connecting takes one round trip of a few ms. A lost SYN packet is resent only
# after a second; by then another upstream is the better choice.
CONNECT_TIMEOUT_S = 0.4
# An upstream may close an idle connection unnoticed. The next request on it is
# reset, and it is unknown whether the request ran. A request that must not run
# twice would be lost, so it uses only a connection that was idle for less than
# this, or else a new one.
MAX_NON_RETRYABLE_IDLE_S = 0.8
# Upstreams that send no keep-alive time close idle connections after some
# seconds.
MAX_IDLE_S = 4.0
# An idle connection is closed this long before the peer would close it, so
# that no request is under way when the peer closes.
KEEP_ALIVE_MARGIN_S = 0.7

_Endpoint = tuple[str, int, str]


class ConnectionPool:
    """Hold the idle connections of each upstream incarnation.

    Services whose refusals lack the id of the request get a new connection
    for each request, since such a refusal counts only on a new one.
    """

    def __init__(self) -> None:
        self._idle: dict[_Endpoint, list[UpstreamConnection]] = {}
        self._single_use_services: set[str] = set()
        self._stray_answers = StrayAnswers()

    async def acquire(
        self,
        upstream: Upstream,
        max_idle_s: float,
        request: CallerRequest,
        on_lost: Callable[[], None],
    ) -> UpstreamConnection:
        """Return an idle connection or a new one; raise OSError on failure.

        ``max_idle_s`` is for how long it may have been idle, 0 for a new one.
        ``on_lost`` is called if the upstream has closed an idle one.

        A connection carries a request only once. An upstream may send a
        response twice, the second time where the next one is expected, and
        the id does not tell two sends of one request apart.
        """
        idle = self._idle.get(upstream.endpoint, [])
        if upstream.service in self._single_use_services:
            idle = []
        for connection in reversed(tuple(idle)):
            if not connection.is_usable:
                if connection.is_closed:
                    on_lost()
                idle.remove(connection)
                connection.close()
                continue
            if connection.idle_s > max_idle_s:
                # The remaining ones have been idle for even longer.
                break
            if connection.has_carried(request):
                continue
            idle.remove(connection)
            return connection
        return await connect(
            upstream.address,
            CONNECT_TIMEOUT_S,
            partial(self._record_refusal, upstream.service),
            partial(self._stray_answers.record, upstream),
        )

    def release(
        self,
        upstream: Upstream,
        connection: UpstreamConnection,
        keep_alive_s: float | None,
        max_idle: int,
    ) -> None:
        """Keep a connection whose response is complete.

        ``max_idle`` limits the idle connections to an upstream. An upstream
        accepts a limited number of connections from all routers together and
        resets any beyond that. Idle ones count, and after a burst each router
        would keep as many as it had open.
        """
        if keep_alive_s is not None:
            keep_alive_s = max(0.0, keep_alive_s - KEEP_ALIVE_MARGIN_S)
        idle = self._idle.setdefault(upstream.endpoint, [])
        is_single_use = upstream.service in self._single_use_services
        if is_single_use or len(idle) >= max_idle:
            connection.close()
            return
        if connection.release(keep_alive_s):
            idle.append(connection)

    def close_expired(self, known: Iterable[Upstream]) -> frozenset[str]:
        """Close expired idle connections and those to unknown upstreams.

        Returns the ids of upstreams that have closed an idle one.
        """
        lost = set()
        known_endpoints = frozenset(upstream.endpoint for upstream in known)
        for endpoint in list(self._idle):
            idle = self._idle[endpoint]
            remaining = []
            for connection in idle:
                if endpoint in known_endpoints and connection.is_usable:
                    if connection.idle_s < MAX_IDLE_S:
                        remaining.append(connection)
                        continue
                if connection.is_closed:
                    lost.add(endpoint[0])
                connection.close()
            self._idle[endpoint] = remaining
            if not remaining:
                del self._idle[endpoint]
        return frozenset(lost)

    def _record_refusal(self, service: str, is_named: bool) -> None:
        if is_named:
            self._single_use_services.discard(service)
            return
        self._single_use_services.add(service)

    def close(self) -> None:
        """Close all idle connections."""
        self.close_expired(())
