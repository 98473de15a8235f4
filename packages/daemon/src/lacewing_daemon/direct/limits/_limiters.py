"""Set up the limiters of a router and connect them to other routers."""

from random import Random
from typing import TYPE_CHECKING

from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._router_count import RouterCount
from lacewing_daemon.direct.limits._allowance import WindowBounds
from lacewing_daemon.direct.limits._ledger import LimitTerms
from lacewing_daemon.direct.limits._teams import TeamLimiter
from lacewing_daemon.direct.limits._upstreams import UpstreamLimiter

if TYPE_CHECKING:
    from lacewing_daemon.direct._peer_link import PeerLink


class Limiters:
    """Hold a router's limiter of teams and that of upstreams.

    ``address`` is where this router takes calls of its peers.
    """

    def __init__(
        self,
        address: str,
        cluster_state: ClusterState,
        router_count: RouterCount,
        random: Random,
    ) -> None:
        self._cluster_state = cluster_state
        self._router_count = router_count
        self._teams = TeamLimiter(
            address, self._terms, lambda: router_count.addresses, random
        )
        self._upstreams = UpstreamLimiter(
            address, self._terms, lambda: router_count.addresses, random
        )

    @property
    def teams(self) -> TeamLimiter:
        """Return the limiter that charges requests of teams."""
        return self._teams

    @property
    def upstreams(self) -> UpstreamLimiter:
        """Return the limiter that keeps to what upstreams say they take."""
        return self._upstreams

    def connect(self, link: 'PeerLink') -> None:
        """Move tokens over the connections between routers from now on."""
        # Imported late: the modules of the connections take long to import,
        # and the router serves before it needs them.
        from lacewing_daemon.direct.limits._messages import MOVE_METHOD
        from lacewing_daemon.direct.limits._messages import (
            MOVE_UPSTREAM_METHOD,
        )
        from lacewing_daemon.direct.limits._service import LimitService

        teams = LimitService(link, self._teams, MOVE_METHOD)
        upstreams = LimitService(
            link, self._upstreams.limiter, MOVE_UPSTREAM_METHOD
        )
        link.add_service(teams)
        link.add_service(upstreams)
        self._teams.connect(teams)
        self._upstreams.connect(upstreams)

    def _terms(self) -> LimitTerms:
        config = self._cluster_state.routing_config
        bounds = self._cluster_state.bounds
        unclaimed_s = 0.0
        if self._router_count.has_predecessor:
            unclaimed_s = self._cluster_state.process_age_s
        return LimitTerms(
            {} if config is None else config.quotas,
            WindowBounds(
                bounds.limit_window_s, bounds.limit_overage, bounds.limit_slack
            ),
            self._router_count.share,
            self._router_count.share_holders,
            unclaimed_s,
        )
