"""Make a router's knowledge of engines without a store."""

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


def know_engines(
    knowledge: ClusterState,
    zones: Sequence[str],
    others: Mapping[str, Service] | None = None,
) -> list[str]:
    """Tell of one engine in each zone named; return their ids."""
    services = {SERVICE_NAME: SERVICE, **(others or {})}
    knowledge.update_routing_config(
        RoutingConfig(1, (ROUTE,), services, None, _LIMITS)
    )
    names = []
    for number, zone in enumerate(zones):
        name = f'engine-{number}'
        address = f'127.0.0.1:{number + 1}'
        knowledge.update_upstream(
            name,
            Upstream(
                name, SERVICE_NAME, address, zone, SLOTS, False, {MODEL: 1}
            ),
        )
        names.append(name)
    return names
