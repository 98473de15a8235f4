"""Set up a router's cluster state with engines, without a store."""

from collections.abc import Mapping
from collections.abc import Sequence

from lacewing_daemon.direct import Engine
from lacewing_daemon.direct import Limits
from lacewing_daemon.direct import Route
from lacewing_daemon.direct import RoutingConfig
from lacewing_daemon.direct import Service
from lacewing_daemon.direct import TrafficShare
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._cluster_state import ClusterState

MODEL = 'tutor'
SERVICE_NAME = 'models'
SLOTS = 48
ENGINE = Engine(SLOTS, 100000, 192512.0, 1.8e11, (MODEL,), True)
SERVICE = Service(SERVICE_NAME, 300, ENGINE)
ROUTE = Route(
    'check',
    'handbook.example',
    '/check/',
    False,
    True,
    True,
    5.0,
    0.4,
    1,
    2,
    True,
    (TrafficShare(SERVICE_NAME, 1.0),),
)
_LIMITS = Limits(10**6, 15.0)


def register_engines(
    cluster_state: ClusterState,
    zones: Sequence[str],
    other_services: Mapping[str, Service] | None = None,
) -> list[str]:
    """Add one engine for each zone in the list; return their ids."""
    services = {SERVICE_NAME: SERVICE, **(other_services or {})}
    cluster_state.update_routing_config(
        RoutingConfig(1, (ROUTE,), services, None, _LIMITS)
    )
    upstream_ids = []
    for number, zone in enumerate(zones):
        upstream_id = f'engine-{number}'
        address = f'127.0.0.1:{number + 1}'
        cluster_state.update_upstream(
            upstream_id,
            Upstream(
                upstream_id,
                SERVICE_NAME,
                address,
                zone,
                SLOTS,
                False,
                {MODEL: 1},
            ),
        )
        upstream_ids.append(upstream_id)
    return upstream_ids
