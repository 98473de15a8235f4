"""Keep connections to upstreams open between requests."""

from collections.abc import Iterable

from lacewing_daemon.direct._connection import connect
from lacewing_daemon.direct._connection import UpstreamConnection
from lacewing_daemon.direct._upstream import Upstream

# Connecting takes one round trip of a few ms; an opening packet that was
# dropped comes again only after a second, by when another upstream is better.
CONNECT_TIMEOUT_S = 0.4
# An upstream may drop an idle connection unseen, and what is sent on it next
# is reset: it may have run. A request that must not run twice is then lost,
# so it takes only a connection used this recently, else a new one.
FRESH_S = 0.8
# Upstreams that say nothing close idle connections after some seconds.
IDLE_S = 4.0
# Closed this much before the peer would, so that its close crosses nothing.
KEEP_MARGIN_S = 0.7

_Endpoint = tuple[str, int, str]


class ConnectionPool:
    """Hold the idle connections of each start of an upstream."""

    def __init__(self) -> None:
        self._idle: dict[_Endpoint, list[UpstreamConnection]] = {}

    async def acquire(
        self, upstream: Upstream, only_fresh: bool
    ) -> UpstreamConnection:
        """Return an idle connection or a new one; raises OSError."""
        idle = self._idle.get(upstream.endpoint, [])
        longest_s = FRESH_S if only_fresh else IDLE_S
        while idle:
            connection = idle[-1]
            if connection.is_usable and connection.idle_s > longest_s:
                # The ones below have been idle for longer still.
                break
            idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        return await connect(upstream.address, CONNECT_TIMEOUT_S)

    def release(
        self,
        upstream: Upstream,
        connection: UpstreamConnection,
        keep_alive_s: float | None,
        max_idle: int,
    ) -> None:
        """Keep a connection whose answer is complete.

        ``max_idle`` bounds those kept for an upstream. It accepts a limited
        number from all routers together and resets any beyond; idle ones
        count, and after a burst each router holds as many as it had open.
        """
        if keep_alive_s is not None:
            keep_alive_s = max(0.0, keep_alive_s - KEEP_MARGIN_S)
        idle = self._idle.setdefault(upstream.endpoint, [])
        if len(idle) >= max_idle:
            connection.close()
            return
        if connection.release(keep_alive_s):
            idle.append(connection)

    def close_expired(self, known: Iterable[Upstream]) -> None:
        """Close connections that are idle for long or to unknown peers."""
        kept = frozenset(upstream.endpoint for upstream in known)
        for endpoint in list(self._idle):
            idle = self._idle[endpoint]
            remaining = []
            for connection in idle:
                if endpoint in kept and connection.is_usable:
                    if connection.idle_s < IDLE_S:
                        remaining.append(connection)
                        continue
                connection.close()
            self._idle[endpoint] = remaining
            if not remaining:
                del self._idle[endpoint]

    def close(self) -> None:
        """Close all idle connections."""
        self.close_expired(())
